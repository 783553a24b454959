package toucanfakestore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanstore"
)

const defaultWait = 5 * time.Second

// Memory is the fake store. It implements toucanstore.Store in process and, through Handler, serves it over HTTP.
// It is safe for concurrent use.
type Memory struct {
	state  *state
	faults *faultInjector
	wait   time.Duration
}

var _ toucanstore.Store = (*Memory)(nil)

// Option configures a Memory.
type Option func(*Memory)

// WithSeed sets the seed of the random choice of writes that lose their request or reply.
func WithSeed(seed uint64) Option {
	return func(m *Memory) { m.faults = newFaultInjector(seed) }
}

// WithWait sets how long a watch waits for a change, unless an HTTP request sets its own wait.
func WithWait(d time.Duration) Option {
	return func(m *Memory) { m.wait = d }
}

// New returns an empty, healthy store.
func New(opts ...Option) *Memory {
	m := &Memory{state: newState(), faults: newFaultInjector(1), wait: defaultWait}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// SetFaults replaces the current faults.
func (m *Memory) SetFaults(f Faults) { m.faults.set(f) }

// LoseReplies makes the next n writes take effect but lose their reply.
func (m *Memory) LoseReplies(n int) { m.faults.loseReplies(n) }

// Counts returns the numbers of calls since the store was created.
func (m *Memory) Counts() Counts { return m.faults.snapshot() }

// Get implements toucanstore.Store.
func (m *Memory) Get(ctx context.Context, key string) (toucanstore.Value, error) {
	if err := m.read(ctx, false); err != nil {
		return toucanstore.Value{}, err
	}
	v, _, ok := m.state.get(key)
	if !ok {
		return toucanstore.Value{}, errors.Wrapf(toucanstore.ErrNotFound, "get %s", key)
	}
	return v, nil
}

// List implements toucanstore.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]toucanstore.Value, error) {
	if err := m.read(ctx, false); err != nil {
		return nil, err
	}
	values, _, _ := m.state.list(prefix)
	return values, nil
}

// CompareAndSwap implements toucanstore.Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error) {
	var revision uint64
	err := m.write(ctx, func() (err error) {
		revision, err = m.swap(key, body, expected, toucanstore.NewSwapOptions(opts...).LeaseID)
		return err
	})
	if err != nil {
		return 0, errors.Wrapf(err, "swap %s", key)
	}
	return revision, nil
}

func (m *Memory) swap(key string, body []byte, expected uint64, leaseID string) (uint64, error) {
	revision, err := m.state.swap(key, body, expected, leaseID)
	if err == nil {
		m.faults.addWrittenBytes(len(body))
	}
	return revision, err
}

// Delete implements toucanstore.Store.
func (m *Memory) Delete(ctx context.Context, key string, expected uint64) error {
	return m.write(ctx, func() error { return m.state.remove(key, expected) })
}

// Watch implements toucanstore.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]toucanstore.Value, uint64, error) {
	if err := m.read(ctx, true); err != nil {
		return nil, after, err
	}
	values, index := m.waitForChange(ctx, prefix, after, m.wait)
	if ctx.Err() != nil {
		return nil, after, errors.Wrap(toucanstore.ErrUnavailable, ctx.Err().Error())
	}
	if index < after {
		return values, index, nil
	}
	var changed []toucanstore.Value
	for _, v := range values {
		if v.Revision > after {
			changed = append(changed, v)
		}
	}
	return changed, index, nil
}

// waitForChange waits until the index of prefix differs from after, and returns the values under prefix and the
// index. If ctx is done or wait has passed first, it returns the values up to the revision after.
func (m *Memory) waitForChange(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]toucanstore.Value, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		values, index, changed := m.state.list(prefix)
		if index != after && !m.faults.current().StallWatches {
			return values, index
		}
		select {
		case <-changed:
		case <-timer.C:
			return withoutLaterRevisions(values, after), after
		case <-ctx.Done():
			return withoutLaterRevisions(values, after), after
		}
	}
}

// withoutLaterRevisions returns the values up to the revision after, because a stalled watch must not return later
// changes.
func withoutLaterRevisions(values []toucanstore.Value, after uint64) []toucanstore.Value {
	var seen []toucanstore.Value
	for _, v := range values {
		if v.Revision <= after {
			seen = append(seen, v)
		}
	}
	return seen
}

// GrantLease implements toucanstore.Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (toucanstore.Lease, error) {
	var id string
	err := m.write(ctx, func() error {
		id = m.state.grantLease(ttl)
		return nil
	})
	if err != nil {
		return toucanstore.Lease{}, err
	}
	return toucanstore.Lease{ID: id, TTL: ttl}, nil
}

// KeepAlive implements toucanstore.Store.
func (m *Memory) KeepAlive(ctx context.Context, l toucanstore.Lease) error {
	return m.write(ctx, func() error { return m.state.renewLease(l.ID) })
}

// Revoke implements toucanstore.Store.
func (m *Memory) Revoke(ctx context.Context, l toucanstore.Lease) error {
	return m.write(ctx, func() error {
		m.state.endLease(l.ID)
		return nil
	})
}

func (m *Memory) read(ctx context.Context, watch bool) error {
	if err := m.delay(ctx); err != nil {
		return errors.Wrap(toucanstore.ErrUnavailable, err.Error())
	}
	if m.faults.readOutcome(watch) != outcomeServed {
		return toucanstore.ErrUnavailable
	}
	return nil
}

func (m *Memory) write(ctx context.Context, apply func() error) error {
	if err := m.delay(ctx); err != nil {
		return errors.Wrap(toucanstore.ErrUnknownOutcome, err.Error())
	}
	switch m.faults.writeOutcome() {
	case outcomeUnavailable, outcomeRateLimited:
		return toucanstore.ErrUnavailable
	case outcomeRequestLost:
		return toucanstore.ErrUnknownOutcome
	case outcomeReplyLost:
		_ = apply()
		return toucanstore.ErrUnknownOutcome
	}
	return apply()
}

func (m *Memory) delay(ctx context.Context) error {
	d := m.faults.current().Delay
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
