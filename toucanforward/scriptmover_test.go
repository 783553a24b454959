package toucanforward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"toucanport/toucangeneration"
	"toucanport/toucanmoveorder"
)

// coordinatorWithoutPeers is the toucangeneration.MoveCoordinator of an entry without peers.
type coordinatorWithoutPeers struct{}

func (*coordinatorWithoutPeers) Announce(uint64, []toucanmoveorder.Generation) {}
func (*coordinatorWithoutPeers) Ahead(time.Time, uint64, toucanmoveorder.Generation) bool {
	return false
}
func (*coordinatorWithoutPeers) BeginCopy(uint64) func()        { return func() {} }
func (*coordinatorWithoutPeers) Copying(time.Time, uint64) bool { return false }
func (*coordinatorWithoutPeers) CopyingByPeer(time.Time, uint64) bool {
	return false
}

func (*coordinatorWithoutPeers) StoreUnreachable(time.Time) bool { return true }
func (*coordinatorWithoutPeers) Changed() <-chan struct{}        { return make(chan struct{}) }

// scriptedMover answers each Copy with the next outcome of the script: ok, notRunning, ended, unreached, noCapacity, noCapacityStopped,
// unanswered and silent, at once and after the timeout, while the generation goes on, or lost, after it was stopped. With
// repeatedNotRunning and repeatedNoCapacity it was stopped too, its answer was lost, and that of a repeated call is returned. The last
// outcome applies to all further copies; without a script every copy succeeds.
type scriptedMover struct {
	deployment *deployment
	// mu also guards what evacuateTarget uses of the deployment.
	mu sync.Mutex
	// endpoints are those of the deployment when the mover was current. A move can outlast that.
	endpoints []*endpoint
	// retired is true once the deployment has another mover.
	retired  bool
	outcomes []string
	// shown bounds the copies that are shown, since the number of retries of failed moves varies; zero shows all.
	shown int
	seen  []string
	// drops holds the copies that were dropped.
	drops []string
	// lateDrops lets copies be dropped only after the caller has the whole answer.
	lateDrops bool
}

func (m *scriptedMover) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen, m.drops, m.shown = nil, nil, 0
}

// locked calls f under m.mu.
func (m *scriptedMover) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// retire keeps the moves that still go on from the deployment, whose endpoints are replaced.
func (m *scriptedMover) retire() { m.locked(func() { m.retired = true }) }

// await waits until n copies were requested and drops copies were dropped. Copies after the n-th are not shown.
func (m *scriptedMover) await(t *testing.T, n, drops int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		m.mu.Lock()
		enough := len(m.seen) >= n && len(m.drops) >= drops
		m.shown = n
		m.mu.Unlock()
		if enough {
			return
		}
	}
	t.Fatalf("timed out before %d copies were requested", n)
}

func (m *scriptedMover) shownCopies() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.seen
	if m.shown > 0 {
		seen = seen[:m.shown]
	}
	return append(append([]string(nil), seen...), m.drops...)
}

func (m *scriptedMover) Copy(ctx context.Context, source, _, target string, last bool) (string, error) {
	from, to := m.name(source), m.name(target)
	m.mu.Lock()
	if !m.retired {
		m.deployment.evacuateTarget(to.name, last)
	}
	outcome := "ok"
	if len(m.outcomes) > 0 {
		outcome = m.outcomes[0]
	}
	if len(m.outcomes) > 1 {
		m.outcomes = m.outcomes[1:]
	}
	m.seen = append(m.seen, fmt.Sprintf("copy %s to %s last=%t: %s", from.name, to.name, last, outcome))
	m.mu.Unlock()
	switch outcome {
	case "notRunning":
		return "", toucangeneration.ErrNotRunning
	case "unreached":
		return "", toucangeneration.ErrUnreached
	case "ended":
		return "", toucangeneration.ErrEnded
	case "unanswered":
		return "", io.ErrUnexpectedEOF
	case "silent":
		<-ctx.Done()
		return "", ctx.Err()
	case "noCapacity":
		return "", toucangeneration.ErrNoCapacity
	case "noCapacityStopped":
		from.stop()
		return "handle", toucangeneration.ErrNoCapacity
	case "lost":
		from.stop()
		return "", io.ErrUnexpectedEOF
	case "repeatedNotRunning":
		from.stop()
		return "", fmt.Errorf("%w: %w", toucangeneration.ErrRepeated, toucangeneration.ErrNotRunning)
	case "repeatedNoCapacity":
		from.stop()
		return "", fmt.Errorf("%w: %w", toucangeneration.ErrRepeated, toucangeneration.ErrNoCapacity)
	}
	if last {
		from.stop()
	}
	return "handle", nil
}

func (m *scriptedMover) Drop(_ context.Context, source, handle string) error {
	dropped := fmt.Sprintf("drop %s at %s", handle, m.name(source).name)
	late := false
	m.locked(func() { late = m.lateDrops })
	if late {
		<-m.deployment.answered
	}
	m.locked(func() { m.drops = append(m.drops, dropped) })
	return nil
}

func (m *scriptedMover) name(address string) *endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.endpoints {
		if e.address() == address {
			return e
		}
	}
	return &endpoint{name: "nobody"}
}
