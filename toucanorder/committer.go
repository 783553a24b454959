package toucanorder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanledger"
)

const (
	// maxQueuedClaims and maxQueuedSettles bound what waits for one shard.
	maxQueuedClaims  = 4096
	maxQueuedSettles = 8192
	// maxGroup bounds the operations of one commit.
	maxGroup = 2048
	// firstOutageBackoff and maxOutageBackoff bound how long a shard refuses claims before it tries the store
	// again.
	firstOutageBackoff = 100 * time.Millisecond
	maxOutageBackoff   = 2 * time.Second
)

// waiter is a claim that waits for its commit.
type waiter struct {
	op toucanledger.Op
	// result has room for the one answer.
	result chan answer
	// state moves once, from waiting to either of the others.
	state atomic.Int32
}

const (
	stateWaiting int32 = iota
	stateAnswered
	stateGone
)

type answer struct {
	result toucanledger.Result
	err    error
}

// committer commits one shard's operations, in a goroutine of its own.
type committer struct {
	claims *Claims
	ledger *ledger
	// queue holds claims, and settles what ends them.
	queue   chan *waiter
	settles chan toucanledger.Op
	flushes chan flush
	// backlog holds settles that an outage kept from being written. Only the goroutine uses it.
	backlog []toucanledger.Op
	// nextCommit is when the shard may be written again.
	nextCommit time.Time
	outage     *backoff.ExponentialBackOff
	// downUntil is when the store may be tried again, in Unix nanoseconds; claims before that are refused.
	downUntil atomic.Int64
}

// flush asks for everything at hand to be written.
type flush struct {
	ctx  context.Context
	done chan error
}

func newCommitter(c *Claims, shard int) *committer {
	outage := backoff.NewExponentialBackOff()
	outage.InitialInterval = firstOutageBackoff
	outage.MaxInterval = maxOutageBackoff
	return &committer{
		claims:  c,
		ledger:  newLedger(c, fmt.Sprintf("%s%d/", c.prefix, shard)),
		queue:   make(chan *waiter, maxQueuedClaims),
		settles: make(chan toucanledger.Op, maxQueuedSettles),
		flushes: make(chan flush),
		outage:  outage,
	}
}

// claim queues op and waits for its commit.
func (m *committer) claim(ctx context.Context, op toucanledger.Op) (toucanledger.Result, error) {
	if wait := time.Until(time.Unix(0, m.downUntil.Load())); wait > 0 {
		return toucanledger.Result{}, &Delayed{Err: errors.Wrap(ErrUnavailable, "store is down"), After: wait}
	}
	w := &waiter{op: op, result: make(chan answer, 1)}
	select {
	case m.queue <- w:
	default:
		return toucanledger.Result{}, &Delayed{Err: errors.Wrap(ErrUnavailable, "too many orders"), After: time.Second}
	}
	select {
	case a := <-w.result:
		return a.result, a.err
	case <-ctx.Done():
	case <-m.claims.ctx.Done():
	}
	if !w.state.CompareAndSwap(stateWaiting, stateGone) {
		a := <-w.result
		return a.result, a.err
	}
	return toucanledger.Result{}, errors.Wrap(ErrUnavailable, "gave up waiting")
}

func (m *committer) settle(op toucanledger.Op) error {
	select {
	case m.settles <- op:
		return nil
	default:
		return errors.Wrap(ErrUnavailable, "too many outcomes to record")
	}
}

func (m *committer) flush(ctx context.Context) error {
	f := flush{ctx: ctx, done: make(chan error, 1)}
	select {
	case m.flushes <- f:
		return <-f.done
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run commits groups until the Claims are closed.
func (m *committer) run() {
	ctx := m.claims.ctx
	for {
		first, f, ok := m.await(ctx)
		if !ok {
			return
		}
		if f != nil {
			f.done <- m.commitAll(f.ctx)
			continue
		}
		if !sleepUntil(ctx, m.nextCommit) {
			return
		}
		_ = m.commit(ctx, m.collect(first))
	}
}

// await returns once a claim is there, or a settle has waited long enough, or a flush is asked for.
func (m *committer) await(ctx context.Context) (first *waiter, f *flush, ok bool) {
	var due <-chan time.Time
	settles := m.settles
	if len(m.backlog) > 0 {
		due = time.After(m.settleWait())
	}
	for {
		select {
		case w := <-m.queue:
			return w, nil, true
		case op := <-settles:
			m.backlog = append(m.backlog, op)
			if due == nil {
				due = time.After(m.settleWait())
			}
			if len(m.backlog) >= maxQueuedSettles {
				settles = nil
			}
		case <-due:
			return nil, nil, true
		case req := <-m.flushes:
			return nil, &req, true
		case <-ctx.Done():
			return nil, nil, false
		}
	}
}

func (m *committer) settleWait() time.Duration {
	return max(m.claims.settleDelay, time.Until(time.Unix(0, m.downUntil.Load())))
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// group is what one commit carries: settles first, so that repeats in the same group see them.
type group struct {
	settles []toucanledger.Op
	waiters []*waiter
}

func (g group) ops() []toucanledger.Op {
	ops := append([]toucanledger.Op(nil), g.settles...)
	for _, w := range g.waiters {
		ops = append(ops, w.op)
	}
	return ops
}

func (m *committer) collect(first *waiter) group {
	g := group{settles: m.backlog}
	m.backlog = nil
	for len(g.settles) < maxGroup {
		op, ok := tryReceive(m.settles)
		if !ok {
			break
		}
		g.settles = append(g.settles, op)
	}
	if first != nil {
		g.waiters = append(g.waiters, first)
	}
	for len(g.waiters) < maxGroup {
		w, ok := tryReceive(m.queue)
		if !ok {
			break
		}
		g.waiters = append(g.waiters, w)
	}
	return g
}

func tryReceive[T any](ch <-chan T) (v T, ok bool) {
	select {
	case v = <-ch:
		return v, true
	default:
		return v, false
	}
}

func (m *committer) commit(ctx context.Context, g group) error {
	g.waiters = present(g.waiters)
	if len(g.waiters)+len(g.settles) == 0 {
		return nil
	}
	m.nextCommit = time.Now().Add(m.claims.interval)
	results, err := m.ledger.commit(ctx, g.ops())
	if err != nil {
		m.fail(g, err)
		return err
	}
	m.outage.Reset()
	m.downUntil.Store(0)
	for i, w := range g.waiters {
		m.answer(w, answer{result: results[len(g.settles)+i]})
	}
	m.ledger.sweep(ctx)
	return nil
}

// commitAll commits until nothing is at hand.
func (m *committer) commitAll(ctx context.Context) error {
	for {
		g := m.collect(nil)
		if len(g.settles)+len(g.waiters) == 0 {
			return nil
		}
		if err := m.commit(ctx, g); err != nil {
			return err
		}
	}
}

// present leaves out the claims whose callers are gone.
func present(waiters []*waiter) []*waiter {
	var left []*waiter
	for _, w := range waiters {
		if w.state.Load() == stateWaiting {
			left = append(left, w)
		}
	}
	return left
}

// fail refuses the claims of a group that could not be committed. Those that may yet take effect, by a write
// whose reply was lost, are released when the store is back.
func (m *committer) fail(g group, err error) {
	wait := m.outage.NextBackOff()
	m.downUntil.Store(time.Now().Add(wait).UnixNano())
	m.backlog = g.settles
	refused := &Delayed{Err: errors.Wrap(ErrUnavailable, err.Error()), After: wait}
	for _, w := range g.waiters {
		if w.state.CompareAndSwap(stateWaiting, stateAnswered) {
			w.result <- answer{err: refused}
		}
		if m.ledger.doubtful {
			m.release(w.op)
		}
	}
	m.refuseQueue(refused)
}

// refuseQueue answers the claims that came while the group was tried.
func (m *committer) refuseQueue(refused error) {
	for {
		w, ok := tryReceive(m.queue)
		if !ok {
			return
		}
		if w.state.CompareAndSwap(stateWaiting, stateAnswered) {
			w.result <- answer{err: refused}
		}
	}
}

// answer hands a committed claim to its caller, or releases it when the caller is gone.
func (m *committer) answer(w *waiter, a answer) {
	if w.state.CompareAndSwap(stateWaiting, stateAnswered) {
		w.result <- a
		return
	}
	if a.result.Verdict == toucanledger.Granted {
		m.release(w.op)
	}
}

func (m *committer) release(op toucanledger.Op) {
	op.Kind = toucanledger.Abandon
	m.backlog = append(m.backlog, op)
}

// recorded returns the outcome of an earlier attempt, which may lie in a chunk.
func (m *committer) recorded(ctx context.Context, op toucanledger.Op, r toucanledger.Result) (Claim, error) {
	kept := r.Outcome
	if kept == nil && r.Chunk != nil {
		kept = m.ledger.outcome(ctx, r.Chunk, op.Key)
	}
	claim := Claim{Recorded: newOutcome(r.Status, kept)}
	if kept == nil {
		return claim, ErrOutcomeNotKept
	}
	return claim, nil
}

func newWriter() uint64 { return rand.Uint64() }
