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

// hold says where the writes of a process stop.
type hold int

const (
	holdNone hold = iota
	// holdBefore stops a write before the store sees it, as a pause of the process does.
	holdBefore
	// holdAfter stops it after its effect, before its reply is seen.
	holdAfter
	// holdHead is holdBefore for heads only.
	holdHead
	// holdLate reports a lost reply at once, and lets the write reach the store on release.
	holdLate
)

// link is one process's way to the store.
type link struct {
	toucanstore.Store
	mu      sync.Mutex
	mode    hold
	release chan struct{}
	late    []func()
	// dead is true once the process was killed: what it has not sent is never sent.
	dead bool
}

func newLink(s toucanstore.Store) *link {
	return &link{Store: s, release: make(chan struct{})}
}

func (l *link) set(mode hold) {
	for _, write := range l.change(mode) {
		write()
	}
}

// change sets the mode and returns the late writes that it lets through.
func (l *link) change(mode hold) []func() {
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

func (l *link) current() (hold, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.release
}

func (l *link) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

func (l *link) kill() {
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	l.set(holdNone)
}

// CompareAndSwap implements toucanstore.Store. A write that is held outlives its context, like a paused process.
func (l *link) CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error) {
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

// process is one sidecar's claims.
type process struct {
	claims *toucanorder.Claims
	link   *link
}

// attempt is one request for an order.
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

// rig holds processes over one store, and the endpoint's own list of what it carried out.
type rig struct {
	t         *testing.T
	store     *toucanfakestore.Memory
	limits    toucanledger.Limits
	processes map[string]*process
	attempts  map[string]*attempt
	carried   []string
}

func newRig(t *testing.T) *rig {
	return &rig{
		t:         t,
		store:     toucanfakestore.New(),
		limits:    toucanledger.DefaultLimits(),
		processes: make(map[string]*process),
		attempts:  make(map[string]*attempt),
	}
}

func (r *rig) process(name string) *process {
	p, ok := r.processes[name]
	if !ok {
		l := newLink(r.store)
		claims := toucanorder.New(l, toucanorder.WithShards(1), toucanorder.WithLimits(r.limits), toucanorder.WithOutcomeBytes(200))
		p = &process{claims: claims, link: l}
		r.processes[name] = p
	}
	return p
}

// kill ends a process without letting it write anything more.
func (r *rig) kill(name string) {
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

func (r *rig) close() {
	r.store.SetFaults(toucanfakestore.Faults{})
	for name := range r.processes {
		r.kill(name)
	}
	synctest.Wait()
}

func (r *rig) claim(name, processName, key string, body uint64, timeout time.Duration) *attempt {
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

// give hands the order to the endpoint if the claim still allows it.
func (r *rig) give(a *attempt) bool {
	select {
	case <-a.done:
	default:
		return false
	}
	if a.err != nil || !a.claim.Valid(time.Now()) {
		return false
	}
	r.carried = append(r.carried, a.key)
	return true
}

// stored describes what the store holds.
func (r *rig) stored() string {
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
