package toucanorder_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanfakestore"
	"toucanport/toucanledger"
	"toucanport/toucanorder"
	"toucanport/toucanstore"
)

// writeHold is the point at which a process's writes to the store block.
type writeHold int

const (
	holdNone writeHold = iota
	// holdBefore blocks a write before it reaches the store, as if the process were paused.
	holdBefore
	// holdAfter blocks a write after it took effect, before its reply is returned.
	holdAfter
	// holdHead is holdBefore for writes of the head only.
	holdHead
	// holdLate reports a lost reply at once and performs the write on release.
	holdLate
)

// storeLink is one process's connection to the store.
type storeLink struct {
	toucanstore.Store
	mu      sync.Mutex
	mode    writeHold
	release chan struct{}
	late    []func()
	// dead is true once the process was killed. Blocked writes then never reach the store.
	dead bool
}

func newStoreLink(s toucanstore.Store) *storeLink {
	return &storeLink{Store: s, release: make(chan struct{})}
}

func (l *storeLink) setHold(mode writeHold) {
	for _, write := range l.change(mode) {
		write()
	}
}

// change sets the mode. For holdNone it also unblocks the held writes and returns the late writes to perform.
func (l *storeLink) change(mode writeHold) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode != holdNone {
		return nil
	}
	close(l.release)
	l.release = make(chan struct{})
	late := l.late
	l.late = nil
	return late
}

func (l *storeLink) current() (writeHold, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.release
}

func (l *storeLink) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

func (l *storeLink) kill() {
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	l.setHold(holdNone)
}

// CompareAndSwap implements toucanstore.Store. A write that is blocked before the store is not cancelled with its
// context, as in a paused process.
func (l *storeLink) CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error) {
	mode, release := l.current()
	write := func() (uint64, error) { return l.Store.CompareAndSwap(ctx, key, body, expected, opts...) }
	if mode == holdHead && strings.HasSuffix(key, "/head") {
		mode = holdBefore
	}
	switch mode {
	case holdBefore:
		<-release
		ctx = context.WithoutCancel(ctx)
		if l.isDead() {
			return 0, toucanstore.ErrUnavailable
		}
	case holdAfter:
		revision, err := write()
		<-release
		return revision, err
	case holdLate:
		ctx = context.WithoutCancel(ctx)
		l.mu.Lock()
		l.late = append(l.late, func() { _, _ = write() })
		l.mu.Unlock()
		return 0, toucanstore.ErrUnknownOutcome
	}
	return write()
}

// process is the Claims of one sidecar.
type process struct {
	claims *toucanorder.Claims
	link   *storeLink
}

// attempt is one call of Claim.
type attempt struct {
	process *process
	key     string
	done    chan struct{}
	claim   toucanorder.Claim
	err     error
}

func (a *attempt) String() string {
	select {
	case <-a.done:
	default:
		return "waiting"
	}
	if a.err == nil && a.claim.Recorded != nil {
		return fmt.Sprintf("recorded %d %s", a.claim.Recorded.Status, a.claim.Recorded.Body)
	}
	if a.err == nil {
		return "granted"
	}
	for _, known := range []struct {
		err  error
		text string
	}{
		{toucanorder.ErrInProgress, "in progress"},
		{toucanorder.ErrUnknownOutcome, "unknown"},
		{toucanorder.ErrOutcomeNotKept, "carried out, answer not kept"},
		{toucanorder.ErrKeyReused, "key reused"},
		{toucanorder.ErrKeyExpired, "key expired"},
		{toucanorder.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(a.err, known.err) {
			return known.text
		}
	}
	return "error: " + a.err.Error()
}

// fixture holds processes that share one store, and the keys of the orders that the endpoint executed.
type fixture struct {
	t         *testing.T
	store     *toucanfakestore.Memory
	limits    toucanledger.Limits
	processes map[string]*process
	attempts  map[string]*attempt
	executed  []string
}

func newFixture(t *testing.T) *fixture {
	return &fixture{
		t:         t,
		store:     toucanfakestore.New(),
		limits:    toucanledger.DefaultLimits(),
		processes: make(map[string]*process),
		attempts:  make(map[string]*attempt),
	}
}

func (r *fixture) process(name string) *process {
	p, ok := r.processes[name]
	if !ok {
		l := newStoreLink(r.store)
		claims := toucanorder.New(l, toucanorder.WithShards(1), toucanorder.WithLimits(r.limits), toucanorder.WithOutcomeBytes(200))
		p = &process{claims: claims, link: l}
		r.processes[name] = p
	}
	return p
}

// kill stops a process and prevents all its further writes.
func (r *fixture) kill(name string) {
	p, ok := r.processes[name]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(r.t.Context())
	cancel()
	p.link.kill()
	_ = p.claims.Close(ctx)
	delete(r.processes, name)
}

func (r *fixture) close() {
	r.store.SetFaults(toucanfakestore.Faults{})
	for name := range r.processes {
		r.kill(name)
	}
	synctest.Wait()
}

func (r *fixture) claim(name, processName, key string, body uint64, timeout time.Duration) *attempt {
	a := &attempt{process: r.process(processName), key: key, done: make(chan struct{})}
	r.attempts[name] = a
	k := toucanorder.Key{Team: "totora", Workspace: "shop", Service: "workshop", IdempotencyKey: key, RequestHash: body}
	go func() {
		defer close(a.done)
		ctx, cancel := context.WithTimeout(r.t.Context(), timeout)
		defer cancel()
		a.claim, a.err = a.process.claims.Claim(ctx, k)
	}()
	synctest.Wait()
	return a
}

// sendToEndpoint records the order as executed if the claim is still valid, and reports whether it did.
func (r *fixture) sendToEndpoint(a *attempt) bool {
	select {
	case <-a.done:
	default:
		return false
	}
	if a.err != nil || !a.claim.Valid(time.Now()) {
		return false
	}
	r.executed = append(r.executed, a.key)
	return true
}

// stored returns a summary of the head and chunks in the store.
func (r *fixture) stored() string {
	values, err := r.store.List(r.t.Context(), "orders/")
	assert.NilError(r.t, err)
	var head *toucanledger.Head
	var chunks []string
	for _, v := range values {
		if strings.HasSuffix(v.Key, "/head") {
			head, err = toucanledger.DecodeHead(v.Body)
			assert.NilError(r.t, err)
			continue
		}
		chunks = append(chunks, v.Key)
	}
	var compact int
	for _, ref := range head.GetChunks() {
		if ref.Compact {
			compact++
		}
	}
	return fmt.Sprintf("head %d records, refers to %d chunks (%d compact), store holds %d chunks",
		len(head.GetRecords()), len(head.GetChunks()), compact, len(chunks))
}
