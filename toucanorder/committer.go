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
	// maxQueuedClaims and maxQueuedSettles limit the operations queued for one shard.
	maxQueuedClaims  = 4096
	maxQueuedSettles = 8192
	// maxGroup limits the claims of one commit, and the settle operations taken from the queue for it.
	maxGroup = 2048
	// firstOutageBackoff and maxOutageBackoff are the initial and maximum backoff after a failed commit. The shard
	// refuses claims during the backoff.
	firstOutageBackoff = 100 * time.Millisecond
	maxOutageBackoff   = 2 * time.Second
)

// waiter is a claim that waits to be committed.
type waiter struct {
	op toucanledger.Op
	// result has a buffer of one, so that sending the only reply never blocks.
	result chan claimReply
	// state changes once, from stateWaiting to stateAnswered or stateCancelled.
	state atomic.Int32
}

const (
	stateWaiting int32 = iota
	stateAnswered
	stateCancelled
)

type claimReply struct {
	result toucanledger.Result
	err    error
}

// committer commits the operations of one shard in its own goroutine.
type committer struct {
	claims *Claims
	ledger *ledger
	// queue holds claims; settles holds the operations that close them (Finish, Abandon, MarkUnknown).
	queue   chan *waiter
	settles chan toucanledger.Op
	flushes chan flush
	// backlog holds settle operations for the next commit, including those whose commit failed. Only the goroutine
	// of run uses it.
	backlog []toucanledger.Op
	// nextCommit is the earliest time of the next commit.
	nextCommit time.Time
	outage     *backoff.ExponentialBackOff
	// refuseUntil is the end of the backoff after a failed commit, in Unix nanoseconds. Earlier claims are refused.
	refuseUntil atomic.Int64
}

// flush is a request to commit all queued operations.
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

// claim queues op and waits until it is committed, refused or cancelled.
func (m *committer) claim(ctx context.Context, op toucanledger.Op) (toucanledger.Result, error) {
	if wait := time.Until(time.Unix(0, m.refuseUntil.Load())); wait > 0 {
		return toucanledger.Result{}, &Delayed{Err: errors.Wrap(ErrUnavailable, "the store does not answer"), After: wait}
	}
	w := &waiter{op: op, result: make(chan claimReply, 1)}
	select {
	case m.queue <- w:
	default:
		return toucanledger.Result{}, &Delayed{Err: errors.Wrap(ErrUnavailable, "the claim queue is full"), After: time.Second}
	}
	select {
	case a := <-w.result:
		return a.result, a.err
	case <-ctx.Done():
	case <-m.claims.ctx.Done():
	}
	if !w.state.CompareAndSwap(stateWaiting, stateCancelled) {
		a := <-w.result
		return a.result, a.err
	}
	return toucanledger.Result{}, errors.Wrap(ErrUnavailable, "cancelled while waiting for the commit")
}

// settle queues op without waiting for its commit. It fails if the queue is full.
func (m *committer) settle(op toucanledger.Op) error {
	select {
	case m.settles <- op:
		return nil
	default:
		return errors.Wrap(ErrUnavailable, "the outcome queue is full")
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

// run commits groups of operations until Claims is closed.
func (m *committer) run() {
	ctx := m.claims.ctx
	for {
		first, f, ok := m.nextWork(ctx)
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
		_ = m.commit(ctx, m.nextGroup(first))
	}
}

// nextWork waits for a claim, for the settle delay of the queued settle operations, or for a flush request. ok is false
// once ctx is done.
func (m *committer) nextWork(ctx context.Context) (first *waiter, f *flush, ok bool) {
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

// settleWait returns how long queued settle operations wait for a claim to share the write: the settle delay, or the
// rest of the backoff after a failed commit if that is longer.
func (m *committer) settleWait() time.Duration {
	return max(m.claims.settleDelay, time.Until(time.Unix(0, m.refuseUntil.Load())))
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

// group holds the operations of one commit. Settle operations come first, so that repeated claims in the same group
// see their effect.
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

// nextGroup returns the group of first, if it is not nil, and the operations that are queued now.
func (m *committer) nextGroup(first *waiter) group {
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
	g.waiters = stillWaiting(g.waiters)
	if len(g.waiters)+len(g.settles) == 0 {
		return nil
	}
	m.nextCommit = time.Now().Add(m.claims.interval)
	results, err := m.ledger.commit(ctx, g.ops())
	if err != nil {
		m.refuseGroup(g, err)
		return err
	}
	m.outage.Reset()
	m.refuseUntil.Store(0)
	for i, w := range g.waiters {
		m.reply(w, claimReply{result: results[len(g.settles)+i]})
	}
	m.ledger.deleteNextChunk(ctx)
	return nil
}

// commitAll commits groups until no operation is queued.
func (m *committer) commitAll(ctx context.Context) error {
	for {
		g := m.nextGroup(nil)
		if len(g.settles)+len(g.waiters) == 0 {
			return nil
		}
		if err := m.commit(ctx, g); err != nil {
			return err
		}
	}
}

// stillWaiting returns the waiters whose callers have not cancelled.
func stillWaiting(waiters []*waiter) []*waiter {
	var waiting []*waiter
	for _, w := range waiters {
		if w.state.Load() == stateWaiting {
			waiting = append(waiting, w)
		}
	}
	return waiting
}

// refuseGroup refuses the claims of a group that could not be committed. Claims that may still take effect, through
// a write whose reply was lost, are abandoned once the store answers again.
func (m *committer) refuseGroup(g group, err error) {
	wait := m.outage.NextBackOff()
	m.refuseUntil.Store(time.Now().Add(wait).UnixNano())
	m.backlog = g.settles
	refused := &Delayed{Err: errors.Wrap(ErrUnavailable, err.Error()), After: wait}
	for _, w := range g.waiters {
		if w.state.CompareAndSwap(stateWaiting, stateAnswered) {
			w.result <- claimReply{err: refused}
		}
		if m.ledger.mayBeCommitted {
			m.queueAbandon(w.op)
		}
	}
	m.refuseQueue(refused)
}

// refuseQueue refuses the claims that were queued during the failed commit.
func (m *committer) refuseQueue(refused error) {
	for {
		w, ok := tryReceive(m.queue)
		if !ok {
			return
		}
		if w.state.CompareAndSwap(stateWaiting, stateAnswered) {
			w.result <- claimReply{err: refused}
		}
	}
}

// reply sends the result of a claim to its caller. If the caller has cancelled, a granted claim is abandoned.
func (m *committer) reply(w *waiter, a claimReply) {
	if w.state.CompareAndSwap(stateWaiting, stateAnswered) {
		w.result <- a
		return
	}
	if a.result.Verdict == toucanledger.Granted {
		m.queueAbandon(w.op)
	}
}

func (m *committer) queueAbandon(op toucanledger.Op) {
	op.Kind = toucanledger.Abandon
	m.backlog = append(m.backlog, op)
}

// recorded returns the outcome of an earlier attempt, reading it from its chunk if the head does not hold it.
func (m *committer) recorded(ctx context.Context, op toucanledger.Op, r toucanledger.Result) (Claim, error) {
	kept := r.Outcome
	if kept == nil && r.Chunk != nil {
		kept = m.ledger.outcome(ctx, r.Chunk, op.Key)
	}
	claim := Claim{Recorded: decodeOutcome(r.Status, kept)}
	if kept == nil {
		return claim, ErrOutcomeNotKept
	}
	return claim, nil
}

func newWriterID() uint64 { return rand.Uint64() }
