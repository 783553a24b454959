// Package toucanfence sends engine orders, such as loading a model, under an exclusive lease, so that only one sidecar
// process at a time has authority over an engine. The lease is in the platform's store. Each holder of the lease gets
// a higher fencing number.
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
	// The lease is renewed every TTL/renewalsPerTTL. Authority ends TTL/marginDivisor before the lease can expire, to
	// allow for clocks that run at different speeds.
	renewalsPerTTL = 3
	marginDivisor  = 5
	firstBackoff   = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

var (
	// ErrNotHolder is returned while this process does not hold the engine's lease. The order was not sent.
	ErrNotHolder = errors.New("fence: this process does not hold the engine's lease")
	errLeaseHeld = errors.New("fence: another process holds the engine's lease")
)

// Engine executes orders.
type Engine interface {
	Order(ctx context.Context, o toucanengine.Order) error
}

// authority is the value stored under the fence key.
type authority struct {
	// Number is the fencing number of the latest holder, and Holder its id.
	Number uint64 `json:"number"`
	Holder string `json:"holder"`
	// Pending is true while an order may be in progress at an engine that does not check fencing numbers.
	Pending bool `json:"pending"`
}

// Holder acquires and renews the lease of one engine and sends it orders. It is safe for concurrent use.
type Holder struct {
	store        toucanstore.Store
	engine       Engine
	endpoint     string
	id           string
	ttl          time.Duration
	orderTimeout time.Duration
	// checksFencing is true if the engine rejects orders with an outdated fencing number.
	checksFencing bool
	log           *slog.Logger

	// orderMu is held while an order is sent and executed, so that orders do not overlap.
	orderMu sync.Mutex
	mu      sync.Mutex
	// stored is the last known value of the fence key, and revision its store revision. Until validUntil, its number is
	// this holder's.
	stored   authority
	revision uint64
	// validUntil is the time at which authority ends, on this process's monotonic clock; zero without authority.
	validUntil time.Time
}

// Option configures a Holder.
type Option func(*Holder)

// WithTTL sets the lease's time to live.
func WithTTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// WithOrderTimeout sets the timeout of one order. A new holder waits this long before its first order if its
// predecessor may have left an order in progress at an engine that does not check fencing numbers.
func WithOrderTimeout(d time.Duration) Option { return func(h *Holder) { h.orderTimeout = d } }

// WithChecksFencing declares that the engine rejects orders with an outdated fencing number.
func WithChecksFencing() Option { return func(h *Holder) { h.checksFencing = true } }

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(h *Holder) { h.log = log } }

// New returns a Holder that does not hold the lease until Run acquires it. id must be unique to this process run.
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

// Holds reports whether this process has authority at now, so that it may send an order.
func (h *Holder) Holds(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.validUntil)
}

// Run acquires the lease and renews it until ctx is done. It acquires the lease again whenever it is lost.
func (h *Holder) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstBackoff
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		t, err := h.acquire(ctx)
		if err != nil {
			if !errors.Is(err, errLeaseHeld) {
				h.log.Warn("engine lease not acquired", "endpoint", h.endpoint, "error", err.Error())
			}
			toucanwait.Sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		h.keepLease(ctx, t)
	}
}

// tenure is one period in which this process holds the lease.
type tenure struct {
	lease toucanstore.Lease
	// until is the time at which authority ends: the earliest expiry of the lease minus the margin.
	until time.Time
	// ordersFrom is the time from which orders may be sent: orders of the previous holder have then ended.
	ordersFrom time.Time
}

// acquire takes the lease and then raises the fencing number. It fails at once if another process holds the lease.
func (h *Holder) acquire(ctx context.Context) (tenure, error) {
	requestedAt := time.Now()
	lease, err := h.store.GrantLease(ctx, h.ttl)
	if err != nil {
		return tenure{}, err
	}
	t := tenure{lease: lease, until: h.expiry(requestedAt)}
	if err := h.acquireLease(ctx, lease); err != nil {
		_ = h.store.Revoke(ctx, lease)
		return t, err
	}
	previous, err := h.raiseNumber(ctx)
	if err != nil {
		_ = h.store.Revoke(ctx, lease)
		return t, err
	}
	if previous.Pending && !h.checksFencing {
		t.ordersFrom = time.Now().Add(h.orderTimeout)
	}
	return t, nil
}

// expiry returns the time at which authority ends for a lease granted or renewed by a request sent at requestedAt.
func (h *Holder) expiry(requestedAt time.Time) time.Time {
	return requestedAt.Add(h.ttl - h.ttl/marginDivisor)
}

func (h *Holder) acquireLease(ctx context.Context, lease toucanstore.Lease) error {
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

// raiseNumber increments the fencing number and returns the previous value of the fence key.
func (h *Holder) raiseNumber(ctx context.Context) (authority, error) {
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
		return authority{}, 0, errors.Wrapf(err, "cannot decode the value of %s", h.fenceKey())
	}
	return a, v.Revision, nil
}

// writeFence writes a if the key is at the given revision. If the reply is lost, it reads the key back to find out
// whether the write took effect.
func (h *Holder) writeFence(ctx context.Context, a authority, revision uint64) error {
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "cannot encode the fence value")
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
	h.stored, h.revision = a, written
	return nil
}

// keepLease renews the lease until it is lost or ctx is done. A renewal without a reply does not extend authority.
func (h *Holder) keepLease(ctx context.Context, t tenure) {
	defer h.dropAuthority()
	for {
		if !time.Now().Before(t.ordersFrom) {
			h.setValidUntil(t.until)
		}
		toucanwait.Sleep(ctx, h.ttl/renewalsPerTTL)
		if ctx.Err() != nil {
			h.release(ctx, t.lease)
			return
		}
		requestedAt := time.Now()
		err := h.store.KeepAlive(ctx, t.lease)
		if errors.Is(err, toucanstore.ErrNotFound) || !time.Now().Before(t.until) {
			h.log.Warn("engine lease lost", "endpoint", h.endpoint)
			return
		}
		if err == nil {
			t.until = h.expiry(requestedAt)
		}
	}
}

// release revokes the lease once an order in progress has ended, so that the next holder need not wait for its expiry.
func (h *Holder) release(ctx context.Context, lease toucanstore.Lease) {
	h.dropAuthority()
	h.orderMu.Lock()
	defer h.orderMu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.ttl/renewalsPerTTL)
	defer cancel()
	_ = h.store.Revoke(ctx, lease)
}

func (h *Holder) setValidUntil(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = until
}

func (h *Holder) dropAuthority() { h.setValidUntil(time.Time{}) }

// Order sends the engine an order with this holder's fencing number and waits until it is executed. It returns
// ErrNotHolder if the order was not sent, and toucanengine.ErrFenced if the engine has seen a higher number.
func (h *Holder) Order(ctx context.Context, kind toucanengine.OrderKind, argument string) error {
	h.orderMu.Lock()
	defer h.orderMu.Unlock()
	if !h.Holds(time.Now()) {
		return ErrNotHolder
	}
	if h.checksFencing {
		return h.sendOrder(ctx, kind, argument)
	}
	if err := h.setPending(ctx, true); err != nil {
		return errors.Wrap(ErrNotHolder, err.Error())
	}
	err := h.sendOrder(ctx, kind, argument)
	if !errors.Is(err, toucanengine.ErrOutcomeUnknown) {
		_ = h.setPending(ctx, false)
	}
	return err
}

// setPending records in the store whether an order may be in progress at the engine, so that the next holder can decide
// whether it must wait for the order's end.
func (h *Holder) setPending(ctx context.Context, pending bool) error {
	h.mu.Lock()
	a, revision := h.stored, h.revision
	h.mu.Unlock()
	if a.Pending == pending {
		return nil
	}
	a.Pending = pending
	return h.writeFence(ctx, a, revision)
}

// sendOrder sends an order. It checks validUntil immediately before, because the process may have been paused since
// Holds.
func (h *Holder) sendOrder(ctx context.Context, kind toucanengine.OrderKind, argument string) error {
	ctx, cancel := context.WithTimeout(ctx, h.orderTimeout)
	defer cancel()
	h.mu.Lock()
	number, until := h.stored.Number, h.validUntil
	h.mu.Unlock()
	if !time.Now().Before(until) {
		return ErrNotHolder
	}
	err := h.engine.Order(ctx, toucanengine.Order{Kind: kind, Argument: argument, Fence: number})
	if errors.Is(err, toucanengine.ErrFenced) {
		h.dropAuthority()
	}
	return err
}
