package toucanfence_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanengine"
	"toucanport/toucanfakestore"
	"toucanport/toucanfence"
	"toucanport/toucanstore"
)

const (
	ttl          = 15 * time.Second
	orderTimeout = time.Minute
)

// engine records orders. It can check fencing numbers and take a set time for each order.
type engine struct {
	mu            sync.Mutex
	checks        bool
	orderDuration time.Duration
	highest       uint64
	applied       []toucanengine.Order
}

func (e *engine) setDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderDuration = d
}

func (e *engine) duration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderDuration
}

func (e *engine) Order(_ context.Context, o toucanengine.Order) error {
	time.Sleep(e.duration())
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.highest {
		return toucanengine.ErrFenced
	}
	e.highest = max(e.highest, o.Fence)
	e.applied = append(e.applied, o)
	return nil
}

// arguments returns the arguments of the executed orders in sequence.
func (e *engine) arguments() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, o := range e.applied {
		out = append(out, o.Argument)
	}
	return out
}

// pausableProcess is one process's connection to store and engine. Its calls block while it is paused.
type pausableProcess struct {
	toucanstore.Store
	engine *engine
	mu     sync.Mutex
	resume chan struct{}
}

func (p *pausableProcess) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resume = make(chan struct{})
}

func (p *pausableProcess) resumeCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resume)
	p.resume = nil
}

func (p *pausableProcess) wait() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (p *pausableProcess) KeepAlive(ctx context.Context, l toucanstore.Lease) error {
	p.wait()
	return p.Store.KeepAlive(context.WithoutCancel(ctx), l)
}

func (p *pausableProcess) CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error) {
	p.wait()
	return p.Store.CompareAndSwap(ctx, key, body, expected, opts...)
}

func (p *pausableProcess) Order(ctx context.Context, o toucanengine.Order) error {
	p.wait()
	return p.engine.Order(ctx, o)
}

type fixture struct {
	t      *testing.T
	store  *toucanfakestore.Memory
	engine *engine
	stops  []func()
}

func runFixture(t *testing.T, checks bool, f func(b *fixture)) {
	t.Helper()
	toucanbubble.Test(t, func(t *testing.T) {
		b := &fixture{t: t, store: toucanfakestore.New(), engine: &engine{checks: checks}}
		f(b)
		b.store.SetFaults(toucanfakestore.Faults{})
		for _, stop := range b.stops {
			stop()
		}
	})
}

// startHolder runs a holder and returns it with its connection to store and engine and a function that stops it.
func (b *fixture) startHolder(id string) (*toucanfence.Holder, *pausableProcess, func()) {
	p := &pausableProcess{Store: b.store, engine: b.engine}
	opts := []toucanfence.Option{toucanfence.WithTTL(ttl), toucanfence.WithOrderTimeout(orderTimeout), toucanfence.WithLogger(discardLogger())}
	if b.engine.checks {
		opts = append(opts, toucanfence.WithChecksFencing())
	}
	h := toucanfence.New(p, p, "totora/assistant-1", id, opts...)
	ctx, cancel := context.WithCancel(b.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { h.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	b.stops = append(b.stops, stop)
	time.Sleep(time.Second)
	return h, p, stop
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (b *fixture) load(h *toucanfence.Holder, version string) error {
	return h.Order(b.t.Context(), toucanengine.OrderLoadModel, version)
}

// runForBothEngines runs f with an engine that checks fencing numbers and with one that does not.
func runForBothEngines(t *testing.T, f func(b *fixture)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) { runFixture(t, checks, f) })
	}
}

func TestSuccessorOrdersWithHigherNumber(t *testing.T) {
	runForBothEngines(t, func(b *fixture) {
		first, _, stop := b.startHolder("s1")
		assert.NilError(b.t, b.load(first, "v1"))
		stop()
		second, _, _ := b.startHolder("s2")
		assert.NilError(b.t, b.load(second, "v2"))
		assert.ErrorIs(b.t, b.load(first, "v3"), toucanfence.ErrNotHolder)
		assert.DeepEqual(b.t, b.engine.arguments(), []string{"v1", "v2"})
		assert.Assert(b.t, b.engine.applied[1].Fence > b.engine.applied[0].Fence)
	})
}

func TestSecondProcessHasNoAuthority(t *testing.T) {
	runForBothEngines(t, func(b *fixture) {
		first, _, _ := b.startHolder("s1")
		second, _, _ := b.startHolder("s2")
		time.Sleep(10 * time.Minute)
		assert.ErrorIs(b.t, b.load(second, "v2"), toucanfence.ErrNotHolder)
		assert.NilError(b.t, b.load(first, "v1"))
	})
}

// TestPausedHolderLosesAuthority lets the lease expire while its holder is paused. The next holder's orders
// are executed and those of the paused holder are refused, also after it resumes.
func TestPausedHolderLosesAuthority(t *testing.T) {
	runForBothEngines(t, func(b *fixture) {
		first, p, _ := b.startHolder("s1")
		assert.NilError(b.t, b.load(first, "v1"))
		p.pause()
		second, _, _ := b.startHolder("s2")
		time.Sleep(3 * ttl)
		assert.NilError(b.t, b.load(second, "v2"))
		p.resumeCalls()
		assert.ErrorIs(b.t, b.load(first, "late"), toucanfence.ErrNotHolder)
		time.Sleep(time.Hour)
		assert.NilError(b.t, b.load(second, "v3"))
		assert.DeepEqual(b.t, b.engine.arguments(), []string{"v1", "v2", "v3"})
	})
}

// TestSuccessorOfHolderPausedDuringOrder pauses a holder that has sent an order. An engine that checks
// fencing numbers rejects the order when it arrives late. Without that check the next holder waits until the order has
// ended.
func TestSuccessorOfHolderPausedDuringOrder(t *testing.T) {
	for _, tc := range []struct {
		checks bool
		want   []string
	}{
		{true, []string{"v2"}},
		{false, []string{"v1", "v2"}},
	} {
		t.Run(fmt.Sprintf("checks=%v", tc.checks), func(t *testing.T) {
			runFixture(t, tc.checks, func(b *fixture) {
				first, p, _ := b.startHolder("s1")
				b.engine.setDuration(40 * time.Second)
				go func() { _ = b.load(first, "v1") }()
				time.Sleep(time.Second)
				p.pause()
				b.engine.setDuration(0)
				second, _, _ := b.startHolder("s2")
				for !second.Holds(time.Now()) {
					time.Sleep(time.Second)
				}
				assert.NilError(t, b.load(second, "v2"))
				time.Sleep(2 * orderTimeout)
				p.resumeCalls()
				assert.DeepEqual(t, b.engine.arguments(), tc.want)
			})
		})
	}
}

func TestStoreOutageEndsAuthorityWithinTTL(t *testing.T) {
	runForBothEngines(t, func(b *fixture) {
		h, _, _ := b.startHolder("s1")
		b.store.SetFaults(toucanfakestore.Faults{Down: true})
		time.Sleep(ttl)
		assert.ErrorIs(b.t, b.load(h, "v1"), toucanfence.ErrNotHolder)
		time.Sleep(time.Hour)
		b.store.SetFaults(toucanfakestore.Faults{})
		time.Sleep(time.Minute)
		assert.NilError(b.t, b.load(h, "v2"))
	})
}

func TestFencingNumberIncreasesDespiteLostReplies(t *testing.T) {
	runForBothEngines(t, func(b *fixture) {
		b.store.SetFaults(toucanfakestore.Faults{LostReplyShare: 0.4, LostRequestShare: 0.2})
		var last uint64
		for i := range 10 {
			h, _, stop := b.startHolder(fmt.Sprint("s", i))
			for b.load(h, fmt.Sprint("v", i)) != nil {
				time.Sleep(time.Second)
			}
			stop()
			number := b.engine.applied[len(b.engine.applied)-1].Fence
			assert.Assert(b.t, number > last)
			last = number
		}
	})
}
