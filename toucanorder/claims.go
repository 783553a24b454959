// Package toucanorder keeps each order under a key from being carried out more than once. A claim is committed
// to the store by compare-and-swap before the endpoint sees the order; the claims of a short while share a write.
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

// Defaults of Claims.
const (
	// DefaultShards times one second over DefaultInterval bounds the commits of all processes together.
	DefaultShards   = 8
	DefaultInterval = 80 * time.Millisecond

	defaultPrefix        = "orders/"
	defaultSettleDelay   = 500 * time.Millisecond
	defaultCommitTimeout = 1500 * time.Millisecond
	defaultDeadline      = 30 * time.Second
	defaultOutcomeBytes  = 4 << 10
)

// Key names an order.
type Key struct {
	Team, Workspace, Service string
	// IdempotencyKey is the caller's, never empty.
	IdempotencyKey string
	// RequestHash is that of the call's method, path and body.
	RequestHash uint64
}

// Shard returns which of n shards holds the order. Entries that send a shard's orders to the same endpoint spare
// its sidecar conflicts with others.
func (k Key) Shard(n int) int { return k.fingerprint().Shard(n) }

func (k Key) fingerprint() toucanledger.Fingerprint {
	return toucanledger.NewFingerprint(k.Team, k.Workspace, k.Service, k.IdempotencyKey)
}

// Outcome is the endpoint's answer to an order.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the right to give one order to the endpoint, once.
type Claim struct {
	// Recorded is the outcome of an earlier attempt; when it is not nil the order must not be given.
	Recorded *Outcome

	op toucanledger.Op
}

// Valid reports whether the order may still be given to the endpoint. It is to be asked right before that, since
// the process may have been paused after Claim returned.
func (c Claim) Valid(now time.Time) bool { return c.Recorded == nil && now.Before(c.op.Deadline) }

// Claims commits claims to the store. Safe for concurrent use.
type Claims struct {
	store  toucanstore.Store
	prefix string
	// shards is the number of shards, the same in every process.
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
	// committers holds one for each shard that has been used.
	committers map[int]*committer
}

// Option changes Claims.
type Option func(*Claims)

// WithPrefix sets the prefix of all keys in the store.
func WithPrefix(p string) Option { return func(c *Claims) { c.prefix = p } }

// WithShards sets the number of shards, which must be the same in every process.
func WithShards(n int) Option { return func(c *Claims) { c.shards = n } }

// WithInterval sets the least time between two commits of a shard.
func WithInterval(d time.Duration) Option { return func(c *Claims) { c.interval = d } }

// WithSettleDelay bounds how long an outcome waits for claims to share a write with.
func WithSettleDelay(d time.Duration) Option { return func(c *Claims) { c.settleDelay = d } }

// WithCommitTimeout bounds one commit, including the settling of a lost reply.
func WithCommitTimeout(d time.Duration) Option { return func(c *Claims) { c.commitTimeout = d } }

// WithOutcomeBytes bounds the headers and body kept of one outcome; of a larger one only the status is kept.
func WithOutcomeBytes(n int) Option { return func(c *Claims) { c.outcomeBytes = n } }

// WithLimits sets what a shard keeps.
func WithLimits(l toucanledger.Limits) Option { return func(c *Claims) { c.limits = l } }

// WithScope reports counts and group sizes to s.
func WithScope(s tally.Scope) Option { return func(c *Claims) { c.scope = s } }

// New returns Claims over store. Close ends its goroutines.
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

// Close writes the outcomes at hand, within ctx, and ends all goroutines. Claims that wait get ErrClosed.
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
// this package's errors. The attempt gives up at ctx's deadline; an order that is claimed must end in one of
// Finish, Abandon and Lose.
func (c *Claims) Claim(ctx context.Context, k Key) (Claim, error) {
	op := c.claimOp(ctx, k)
	m, err := c.committer(op.Key)
	if err != nil {
		return Claim{}, err
	}
	result, err := m.claim(ctx, op)
	c.count(result.Verdict, err)
	if err != nil {
		return Claim{}, err
	}
	return c.claimed(ctx, m, op, result)
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

func (c *Claims) claimed(ctx context.Context, m *committer, op toucanledger.Op, r toucanledger.Result) (Claim, error) {
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
	return Claim{}, &Delayed{Err: errors.Wrap(ErrUnavailable, "records are full"), After: time.Second}
}

// Finish records the endpoint's answer. It does not wait: the record rides on a coming write, and until that
// write a repeat that reaches another process is told that the order is in progress or unknown.
func (c *Claims) Finish(claim Claim, o Outcome) error {
	op := claim.op
	op.Kind = toucanledger.Finish
	op.Status = o.Status
	op.Outcome = c.kept(o)
	return c.settle(op)
}

// Abandon releases the key of an order that was surely not given to the endpoint.
func (c *Claims) Abandon(claim Claim) error {
	op := claim.op
	op.Kind = toucanledger.Abandon
	return c.settle(op)
}

// Lose records that the endpoint may have carried out the order and its answer will never be known.
func (c *Claims) Lose(claim Claim) error {
	op := claim.op
	op.Kind = toucanledger.Lose
	return c.settle(op)
}

func (c *Claims) settle(op toucanledger.Op) error {
	if op.Attempt == 0 {
		return errors.New("order: settling a claim that was not granted")
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

// kept returns what is recorded of an outcome besides its status, or nil if it is too large.
func (c *Claims) kept(o Outcome) *toucanledger.Outcome {
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

func newOutcome(status int, kept *toucanledger.Outcome) *Outcome {
	o := &Outcome{Status: status, Header: make(http.Header), Body: kept.GetBody()}
	for _, h := range kept.GetHeaders() {
		o.Header[h.Name] = h.Values
	}
	return o
}

func (c *Claims) count(v toucanledger.Verdict, err error) {
	switch {
	case err != nil:
		c.scope.Counter("order_claims_refused").Inc(1)
	case v == toucanledger.Granted:
		c.scope.Counter("order_claims_granted").Inc(1)
	default:
		c.scope.Counter("order_claims_repeated").Inc(1)
	}
}
