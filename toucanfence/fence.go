// Package toucanfence gives orders to an engine with the sole authority of its sidecar. Authority is a lease in the
// platform's store with a fencing number that grows from holder to holder.
package toucanfence

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanengine"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

const (
	defaultTTL          = 15 * time.Second
	defaultOrderTimeout = 10 * time.Minute
	keyPrefix           = "engines/"
	// renewalsPerTTL and marginShare divide the TTL: renewals are that often, and authority ends that much before
	// the lease can lapse, for clocks that run at different speeds.
	renewalsPerTTL = 3
	marginShare    = 5
	firstBackoff   = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

var (
	// ErrNotHolder is returned while this process has no authority over the engine. The order was not given.
	ErrNotHolder = errors.New("fence: this process does not hold the engine's lease")
	errLeaseHeld = errors.New("fence: another process holds the engine's lease")
)

// Engine carries out orders.
type Engine interface {
	Order(ctx context.Context, o toucanengine.Order) error
}

// authority is the value of the fence key.
type authority struct {
	// Number is the fencing number of the last holder.
	Number uint64 `json:"number"`
	Holder string `json:"holder"`
	// Pending is true while an order may be at an engine that does not check numbers.
	Pending bool `json:"pending"`
}

// Holder takes authority over one engine and keeps it. Safe for concurrent use.
type Holder struct {
	store        toucanstore.Store
	engine       Engine
	endpoint     string
	id           string
	ttl          time.Duration
	orderTimeout time.Duration
	// checks is true when the engine refuses old numbers.
	checks bool
	log    *slog.Logger

	// giving is held while an order is given, so that only one is at the engine.
	giving sync.Mutex
	mu     sync.Mutex
	// held is what the fence key holds, at the revision; its number is ours while validUntil has not passed.
	held     authority
	revision uint64
	// validUntil is when authority ends on this process's monotonic clock; zero without authority.
	validUntil time.Time
}

// Option changes a Holder.
type Option func(*Holder)

// WithTTL sets the lease's time to live.
func WithTTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// WithOrderTimeout bounds the carrying out of one order. A newcomer waits so long when its predecessor may have
// left an order at an engine that does not check numbers.
func WithOrderTimeout(d time.Duration) Option { return func(h *Holder) { h.orderTimeout = d } }

// WithChecksFencing says that the engine refuses orders with an old number.
func WithChecksFencing() Option { return func(h *Holder) { h.checks = true } }

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(h *Holder) { h.log = log } }

// New returns a Holder without authority. id must be unique to this run of the process.
func New(store toucanstore.Store, engine Engine, endpoint, id string, opts ...Option) *Holder {
	h := &Holder{
		store:        store,
		engine:       engine,
		endpoint:     endpoint,
		id:           id,
		ttl:          defaultTTL,
		orderTimeout: defaultOrderTimeout,
		log:          slog.Default(),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

func (h *Holder) leaseKey() string { return keyPrefix + h.endpoint + "/lease" }
func (h *Holder) fenceKey() string { return keyPrefix + h.endpoint + "/fence" }

// Holds reports whether an order may be given at now.
func (h *Holder) Holds(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.validUntil)
}

// Run takes authority, as often as it is lost, and keeps it until ctx is done.
func (h *Holder) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstBackoff
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		t, err := h.acquire(ctx)
		if err != nil {
			if !errors.Is(err, errLeaseHeld) {
				h.log.Warn("engine lease not taken", "endpoint", h.endpoint, "error", err.Error())
			}
			toucanwait.Sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		h.keep(ctx, t)
	}
}

// tenure is one holding of the lease.
type tenure struct {
	lease toucanstore.Lease
	// until is when the lease may lapse, less the margin.
	until time.Time
	// from is when orders may be given: after those of the predecessor must have ended.
	from time.Time
}

// acquire waits for nobody: it fails while another holds the lease. The number is taken after the lease.
func (h *Holder) acquire(ctx context.Context) (tenure, error) {
	asked := time.Now()
	lease, err := h.store.GrantLease(ctx, h.ttl)
	if err != nil {
		return tenure{}, err
	}
	t := tenure{lease: lease, until: h.expiry(asked)}
	if err := h.takeLease(ctx, lease); err != nil {
		_ = h.store.Revoke(ctx, lease)
		return t, err
	}
	previous, err := h.takeNumber(ctx)
	if err != nil {
		_ = h.store.Revoke(ctx, lease)
		return t, err
	}
	if previous.Pending && !h.checks {
		t.from = time.Now().Add(h.orderTimeout)
	}
	return t, nil
}

// expiry returns when authority ends that was asked for at the time.
func (h *Holder) expiry(asked time.Time) time.Time { return asked.Add(h.ttl - h.ttl/marginShare) }

func (h *Holder) takeLease(ctx context.Context, lease toucanstore.Lease) error {
	_, err := h.store.CompareAndSwap(ctx, h.leaseKey(), []byte(lease.ID), 0, toucanstore.WithLease(lease))
	if !errors.Is(err, toucanstore.ErrConflict) && !errors.Is(err, toucanstore.ErrUnknownOutcome) {
		return err
	}
	v, readErr := h.store.Get(ctx, h.leaseKey())
	if readErr != nil {
		return readErr
	}
	if string(v.Body) != lease.ID {
		return errLeaseHeld
	}
	return nil
}

// takeNumber raises the fencing number and returns what the previous holder left.
func (h *Holder) takeNumber(ctx context.Context) (authority, error) {
	previous, revision, err := h.readFence(ctx)
	if err != nil {
		return authority{}, err
	}
	next := authority{Number: previous.Number + 1, Holder: h.id, Pending: previous.Pending}
	return previous, h.writeFence(ctx, next, revision)
}

func (h *Holder) readFence(ctx context.Context) (authority, uint64, error) {
	v, err := h.store.Get(ctx, h.fenceKey())
	if errors.Is(err, toucanstore.ErrNotFound) {
		return authority{}, 0, nil
	}
	if err != nil {
		return authority{}, 0, err
	}
	var a authority
	if err := json.Unmarshal(v.Body, &a); err != nil {
		return authority{}, 0, errors.Wrapf(err, "read %s", h.fenceKey())
	}
	return a, v.Revision, nil
}

// writeFence writes a if the key is at the revision. A lost reply is settled by reading the key back.
func (h *Holder) writeFence(ctx context.Context, a authority, revision uint64) error {
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode fence")
	}
	written, err := h.store.CompareAndSwap(ctx, h.fenceKey(), body, revision)
	if errors.Is(err, toucanstore.ErrUnknownOutcome) {
		var now authority
		if now, written, err = h.readFence(ctx); err == nil && now != a {
			err = toucanstore.ErrConflict
		}
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held, h.revision = a, written
	return nil
}

// keep renews the lease until it is lost or ctx is done. A renewal without a reply changes nothing.
func (h *Holder) keep(ctx context.Context, t tenure) {
	defer h.drop()
	for {
		if !time.Now().Before(t.from) {
			h.extend(t.until)
		}
		toucanwait.Sleep(ctx, h.ttl/renewalsPerTTL)
		if ctx.Err() != nil {
			h.release(ctx, t.lease)
			return
		}
		asked := time.Now()
		err := h.store.KeepAlive(ctx, t.lease)
		if errors.Is(err, toucanstore.ErrNotFound) || !time.Now().Before(t.until) {
			h.log.Warn("engine lease lost", "endpoint", h.endpoint)
			return
		}
		if err == nil {
			t.until = h.expiry(asked)
		}
	}
}

// release ends the lease, so that a successor need not wait for it. An order in progress ends first.
func (h *Holder) release(ctx context.Context, lease toucanstore.Lease) {
	h.drop()
	h.giving.Lock()
	defer h.giving.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.ttl/renewalsPerTTL)
	defer cancel()
	_ = h.store.Revoke(ctx, lease)
}

func (h *Holder) extend(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = until
}

func (h *Holder) drop() { h.extend(time.Time{}) }

// Order gives the engine an order with this holder's number and waits until it is carried out. It returns
// ErrNotHolder when the order was not given, and toucanengine.ErrFenced when the engine knows a later holder.
func (h *Holder) Order(ctx context.Context, kind toucanengine.OrderKind, argument string) error {
	h.giving.Lock()
	defer h.giving.Unlock()
	if !h.Holds(time.Now()) {
		return ErrNotHolder
	}
	if h.checks {
		return h.give(ctx, kind, argument)
	}
	if err := h.mark(ctx, true); err != nil {
		return errors.Wrap(ErrNotHolder, err.Error())
	}
	err := h.give(ctx, kind, argument)
	if !errors.Is(err, toucanengine.ErrOutcomeUnknown) {
		_ = h.mark(ctx, false)
	}
	return err
}

// mark records whether an order may be at the engine.
func (h *Holder) mark(ctx context.Context, pending bool) error {
	h.mu.Lock()
	a, revision := h.held, h.revision
	h.mu.Unlock()
	if a.Pending == pending {
		return nil
	}
	a.Pending = pending
	return h.writeFence(ctx, a, revision)
}

// give checks the lease clock right before the order leaves.
func (h *Holder) give(ctx context.Context, kind toucanengine.OrderKind, argument string) error {
	ctx, cancel := context.WithTimeout(ctx, h.orderTimeout)
	defer cancel()
	h.mu.Lock()
	number, until := h.held.Number, h.validUntil
	h.mu.Unlock()
	if !time.Now().Before(until) {
		return ErrNotHolder
	}
	err := h.engine.Order(ctx, toucanengine.Order{Kind: kind, Argument: argument, Fence: number})
	if errors.Is(err, toucanengine.ErrFenced) {
		h.drop()
	}
	return err
}
