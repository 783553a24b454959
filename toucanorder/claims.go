// Package toucanorder ensures that an order with an idempotency key is executed at most once. It commits a claim to
// the store by compare-and-swap before the order is sent to the endpoint. Claims made within a short interval are
// committed in one write.
package toucanorder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanledger"
	"toucanport/toucanstore"
)

// Default configuration of Claims.
const (
	// DefaultShards and DefaultInterval bound the commits of one process to 100 per second. While each shard is used
	// by one process only, this is also the bound for all processes together.
	DefaultShards   = 8
	DefaultInterval = 80 * time.Millisecond

	defaultPrefix        = "orders/"
	defaultSettleDelay   = 500 * time.Millisecond
	defaultCommitTimeout = 1500 * time.Millisecond
	defaultDeadline      = 30 * time.Second
	defaultOutcomeBytes  = 4 << 10
)

// Key identifies an order.
type Key struct {
	Team, Workspace, Service string
	// IdempotencyKey is set by the caller and never empty.
	IdempotencyKey string
	// RequestHash is the hash of the request's method, path and body.
	RequestHash uint64
}

// Shard returns the index, out of n shards, of the shard that holds the order. An entry that sends all orders of a
// shard to the same endpoint avoids write conflicts between its sidecar and others.
func (k Key) Shard(n int) int { return k.fingerprint().Shard(n) }

func (k Key) fingerprint() toucanledger.Fingerprint {
	return toucanledger.NewFingerprint(k.Team, k.Workspace, k.Service, k.IdempotencyKey)
}

// Outcome is the endpoint's response to an order.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim permits sending one order to the endpoint once.
type Claim struct {
	// Recorded is the outcome of an earlier attempt. If it is not nil, the order must not be sent.
	Recorded *Outcome

	op toucanledger.Op
}

// Valid reports whether the order may still be sent to the endpoint. Check it immediately before sending, because
// the process may have been paused after Claim returned.
func (c Claim) Valid(now time.Time) bool { return c.Recorded == nil && now.Before(c.op.Deadline) }

// Claims commits claims and outcomes of orders to the store. It is safe for concurrent use.
type Claims struct {
	store  toucanstore.Store
	prefix string
	// shards is the number of shards and must be the same in every process.
	shards        int
	interval      time.Duration
	settleDelay   time.Duration
	commitTimeout time.Duration
	outcomeBytes  int
	limits        toucanledger.Limits
	scope         tally.Scope

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// committers holds the committers by shard, created on first use; nil after Close.
	committers map[int]*committer
}

// Option configures Claims.
type Option func(*Claims)

// WithPrefix sets the prefix of all keys in the store.
func WithPrefix(p string) Option { return func(c *Claims) { c.prefix = p } }

// WithShards sets the number of shards, which must be the same in every process.
func WithShards(n int) Option { return func(c *Claims) { c.shards = n } }

// WithInterval sets the minimum time between two commits of a shard.
func WithInterval(d time.Duration) Option { return func(c *Claims) { c.interval = d } }

// WithSettleDelay sets how long an outcome can wait for a claim that is committed in the same write.
func WithSettleDelay(d time.Duration) Option { return func(c *Claims) { c.settleDelay = d } }

// WithCommitTimeout sets the timeout of one commit, including the retries after a lost reply.
func WithCommitTimeout(d time.Duration) Option { return func(c *Claims) { c.commitTimeout = d } }

// WithOutcomeBytes sets the maximum size of the headers and body stored for one outcome. Only the status of a larger
// outcome is stored.
func WithOutcomeBytes(n int) Option { return func(c *Claims) { c.outcomeBytes = n } }

// WithLimits sets the size and retention limits of a shard.
func WithLimits(l toucanledger.Limits) Option { return func(c *Claims) { c.limits = l } }

// WithScope sets the scope that receives the metrics.
func WithScope(s tally.Scope) Option { return func(c *Claims) { c.scope = s } }

// New returns Claims that are backed by store. Close stops its goroutines.
func New(store toucanstore.Store, opts ...Option) *Claims {
	c := &Claims{
		store:         store,
		prefix:        defaultPrefix,
		shards:        DefaultShards,
		interval:      DefaultInterval,
		settleDelay:   defaultSettleDelay,
		commitTimeout: defaultCommitTimeout,
		outcomeBytes:  defaultOutcomeBytes,
		limits:        toucanledger.DefaultLimits(),
		scope:         tally.NoopScope,
		committers:    make(map[int]*committer),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close commits the queued operations within ctx and stops all goroutines. It returns the last error of these
// commits. Calls of Claim that start after Close return ErrClosed; those still waiting return ErrUnavailable.
func (c *Claims) Close(ctx context.Context) error {
	c.mu.Lock()
	committers := c.committers
	c.committers = nil
	c.mu.Unlock()
	var err error
	for _, m := range committers {
		if flushErr := m.flush(ctx); flushErr != nil {
			err = flushErr
		}
	}
	c.cancel()
	c.wg.Wait()
	return err
}

// Claim commits a claim of the order. It returns a valid claim, a claim with the recorded outcome, or one of
// this package's errors. The claim expires at ctx's deadline. Every granted claim must be followed by a call of
// Finish, Abandon or MarkUnknown.
func (c *Claims) Claim(ctx context.Context, k Key) (Claim, error) {
	op := c.claimOp(ctx, k)
	m, err := c.committer(op.Key)
	if err != nil {
		return Claim{}, err
	}
	result, err := m.claim(ctx, op)
	c.countClaim(result.Verdict, err)
	if err != nil {
		return Claim{}, err
	}
	return c.claimFromResult(ctx, m, op, result)
}

func (c *Claims) claimOp(ctx context.Context, k Key) toucanledger.Op {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultDeadline)
	}
	return toucanledger.Op{
		Kind:        toucanledger.Claim,
		Key:         k.fingerprint(),
		RequestHash: k.RequestHash,
		Attempt:     rand.Uint64() | 1,
		Deadline:    deadline,
		Created:     toucanledger.KeyTime(k.IdempotencyKey),
	}
}

func (c *Claims) claimFromResult(ctx context.Context, m *committer, op toucanledger.Op, r toucanledger.Result) (Claim, error) {
	switch r.Verdict {
	case toucanledger.Granted:
		return Claim{op: op}, nil
	case toucanledger.Recorded:
		return m.recorded(ctx, op, r)
	case toucanledger.InProgress:
		return Claim{}, &Delayed{Err: ErrInProgress, After: min(time.Second, time.Until(r.Until))}
	case toucanledger.OutcomeUnknown:
		return Claim{}, ErrUnknownOutcome
	case toucanledger.KeyReused:
		return Claim{}, ErrKeyReused
	case toucanledger.KeyExpired:
		return Claim{}, ErrKeyExpired
	}
	return Claim{}, &Delayed{Err: errors.Wrap(ErrUnavailable, "the shard is full"), After: time.Second}
}

// Finish queues the endpoint's response for recording and returns without waiting for the commit. Until the commit, a
// repeat of the order at another process gets ErrInProgress or ErrUnknownOutcome.
func (c *Claims) Finish(claim Claim, o Outcome) error {
	op := claim.op
	op.Kind = toucanledger.Finish
	op.Status = o.Status
	op.Outcome = c.encodeOutcome(o)
	return c.settle(op)
}

// Abandon releases the key of an order that was certainly not sent to the endpoint.
func (c *Claims) Abandon(claim Claim) error {
	op := claim.op
	op.Kind = toucanledger.Abandon
	return c.settle(op)
}

// MarkUnknown records that the endpoint may have executed the order and that its response is lost.
func (c *Claims) MarkUnknown(claim Claim) error {
	op := claim.op
	op.Kind = toucanledger.MarkUnknown
	return c.settle(op)
}

func (c *Claims) settle(op toucanledger.Op) error {
	if op.Attempt == 0 {
		return errors.New("order: cannot settle a claim that was not granted")
	}
	m, err := c.committer(op.Key)
	if err != nil {
		return err
	}
	return m.settle(op)
}

func (c *Claims) committer(f toucanledger.Fingerprint) (*committer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.committers == nil {
		return nil, ErrClosed
	}
	shard := f.Shard(c.shards)
	m, ok := c.committers[shard]
	if !ok {
		m = newCommitter(c, shard)
		c.committers[shard] = m
		c.wg.Go(m.run)
	}
	return m, nil
}

// encodeOutcome returns the headers and body of an outcome in their stored form, or nil if they exceed outcomeBytes.
func (c *Claims) encodeOutcome(o Outcome) *toucanledger.Outcome {
	kept := &toucanledger.Outcome{Body: o.Body}
	size := len(o.Body)
	for name, values := range o.Header {
		kept.Headers = append(kept.Headers, &toucanledger.Header{Name: name, Values: values})
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > c.outcomeBytes {
		return nil
	}
	return kept
}

func decodeOutcome(status int, kept *toucanledger.Outcome) *Outcome {
	o := &Outcome{Status: status, Header: make(http.Header), Body: kept.GetBody()}
	for _, h := range kept.GetHeaders() {
		o.Header[h.Name] = h.Values
	}
	return o
}

func (c *Claims) countClaim(v toucanledger.Verdict, err error) {
	switch {
	case err != nil:
		c.scope.Counter("order_claims_refused").Inc(1)
	case v == toucanledger.Granted:
		c.scope.Counter("order_claims_granted").Inc(1)
	default:
		c.scope.Counter("order_claims_repeated").Inc(1)
	}
}
