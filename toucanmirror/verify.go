package toucanmirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanhistory"
)

const (
	// verifyInterval is the shortest time between two snapshots that verify what the watches reported. Processes that
	// exchange reports share these snapshots: the first one that finds a change tells the others.
	verifyInterval = 800 * time.Millisecond
	// verifyJitter bounds the random part that is added to the interval, as a fraction of it, so that only one process
	// takes a snapshot that is due.
	verifyJitter = 0.25
	// verifyByteRate limits the bytes per second that each process spends on these snapshots, and minVerifyByteRate is
	// the rate up to which all of them together may always read. A larger copy is verified less often.
	verifyByteRate    = 12 << 10
	minVerifyByteRate = 64 << 10
	// wakeGrace is how long a watch may take to begin its reply with a change that a peer already has, before a snapshot
	// replaces it.
	wakeGrace = 300 * time.Millisecond
)

// errWatchReplaced means that a watch was cancelled in favour of a snapshot.
var errWatchReplaced = errors.New("a snapshot replaces the watch")

// WithPeerSnapshotAge sets the function that returns the time since the last snapshot that a peer took from the store,
// or false if none did.
func WithPeerSnapshotAge(f func() (time.Duration, bool)) Option {
	return func(m *Mirror) { m.peerSnapshotAge = f }
}

// WithMissingVersion sets the function that returns the highest version of the settings that a peer has and this
// process lacks; zero if there is none.
func WithMissingVersion(f func() uint64) Option { return func(m *Mirror) { m.missingVersion = f } }

// WithLostVersionCallback calls f while a peer has a version of the settings that snapshots of the store lack, because the
// store came back from an older copy. f can read it from the peer.
func WithLostVersionCallback(f func(ctx context.Context)) Option {
	return func(m *Mirror) { m.onLostVersion = f }
}

// WithSnapshotCallback calls f after each snapshot from the store.
func WithSnapshotCallback(f func()) Option { return func(m *Mirror) { m.onSnapshot = f } }

// verifyDue reports whether neither this process nor a peer has verified the copy within the interval.
func (m *Mirror) verifyDue(now time.Time) bool {
	age := now.Sub(m.lastSnapshot)
	if shared, ok := m.peerSnapshotAge(); ok {
		age = min(age, shared)
	}
	return age > m.verifyAfter
}

// scheduleVerify sets how old the last snapshot of all processes may become before this process takes one.
func (m *Mirror) scheduleVerify() {
	processes := m.peerCount() + 1
	rate := max(minVerifyByteRate, processes*verifyByteRate)
	interval := max(verifyInterval, time.Duration(float64(m.copyBytes)/float64(rate)*float64(time.Second)))
	m.verifyAfter = interval + rand.N(time.Duration(verifyJitter*float64(interval)))
}

// lacksVersion reports whether a peer has a version of the settings that this process lacks, although the last step
// should have read it. It is true once for each version, so that a version that the store has lost causes one snapshot.
func (m *Mirror) lacksVersion() bool {
	missing := m.missingVersion()
	if missing <= m.requestedVersion {
		return false
	}
	m.requestedVersion = missing
	return true
}

// watch waits for changes after a position. Once it was woken, it returns errWatchReplaced if no reply begins to
// arrive within wakeGrace.
func (m *Mirror) watch(ctx context.Context, after toucanhistory.Position) ([]toucanhistory.Change, toucanhistory.Position, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := make(chan struct{})
	markBegun := sync.OnceFunc(func() { close(began) })
	go m.replaceWatch(ctx, began, cancel)
	changes, position, err := m.source.Changes(ctx, after, func() {
		markBegun()
		m.onAnswer()
	})
	if err != nil && errors.Is(context.Cause(ctx), errWatchReplaced) {
		return nil, after, errWatchReplaced
	}
	return changes, position, err
}

// replaceWatch cancels a watch that has not begun to reply within wakeGrace of Wake. A reply that is arriving is left alone,
// because a snapshot would have to bring the same again.
func (m *Mirror) replaceWatch(ctx context.Context, began <-chan struct{}, cancel context.CancelCauseFunc) {
	select {
	case <-m.wake:
	case <-began:
		return
	case <-ctx.Done():
		return
	}
	grace := time.NewTimer(wakeGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
		// The last step may have read the version since Wake.
		if m.missingVersion() > 0 {
			cancel(errWatchReplaced)
		}
	case <-began:
	case <-ctx.Done():
	}
}
