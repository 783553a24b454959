// Package toucanmirror keeps a copy of a part of the platform's store up to date, through outages, lost history and
// watches that are cut.
package toucanmirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

// ErrHistoryLost is returned by a Source whose changes since a revision are no longer known.
var ErrHistoryLost = errors.New("history of the store is no longer known")

// Change is one key that was written or removed.
type Change struct {
	toucanstore.Value
	Removed bool
}

// Source is the part of the store that is copied.
type Source interface {
	// Snapshot returns all values and a revision from which changes may be asked for without missing one.
	Snapshot(ctx context.Context) ([]toucanstore.Value, uint64, error)
	// Changes waits a bounded time for changes after a revision and returns the revision to go on from. The error is
	// ErrHistoryLost when some may be missing.
	Changes(ctx context.Context, after uint64) ([]Change, uint64, error)
}

const (
	// pace is the shortest time between two calls for changes, while this is the only process that makes them.
	pace = 250 * time.Millisecond
	// maxPace bounds that time however many others make calls, so that one that hears of nothing is not far behind.
	maxPace = 1500 * time.Millisecond
	// pacedAlone is how many processes may call at the pace of one.
	pacedAlone = 5
	// firstRetry and maxRetry bound the time between two calls while the store does not answer.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 700 * time.Millisecond
	// snapshotTimeout bounds a call for all values.
	snapshotTimeout = 1500 * time.Millisecond
	// borrowTimeout bounds the asking of another process.
	borrowTimeout = 500 * time.Millisecond
	// verifyInterval is the time between two snapshots that check what the watch has told.
	verifyInterval = 4 * time.Second
)

// State is the copy at one moment.
type State struct {
	// Values holds each key's value. Receivers must not change it.
	Values map[string]toucanstore.Value
	// Changed holds the keys that were written since the last state; nil when any may have been.
	Changed []string
	// Gone holds the keys that were removed since the last state.
	Gone []string
	// Resumed is true for the first state after the store did not answer.
	Resumed bool
}

// Mirror is the copy. All but Values, Nudge and the options' functions belongs to the goroutine that runs it.
type Mirror struct {
	source Source
	log    *slog.Logger

	mu sync.Mutex
	// values is written by the goroutine that runs the mirror alone, and under mu.
	values map[string]toucanstore.Value

	// revision is zero while the copy must be made anew.
	revision uint64
	// lost is when the store stopped answering; zero while it answers.
	lost     time.Time
	verified time.Time
	retry    time.Duration
	health   func(away bool)
	// tellHeard is called at each answer of the store.
	tellHeard func()
	// sharers returns the number of other processes that tell this one of what they see.
	sharers func() int
	// lender returns what another process has read, while the source does not answer this one.
	lender func(ctx context.Context) ([]toucanstore.Value, error)
	nudged chan struct{}
	// began is when the mirror was made, and heard how long after it the source last answered, in nanoseconds; zero before
	// it did. The time of day may jump, so that it is not used.
	began time.Time
	heard atomic.Int64
}

// Option changes a Mirror.
type Option func(*Mirror)

// WithHealth calls f when the store stops answering and when it answers again.
func WithHealth(f func(away bool)) Option { return func(m *Mirror) { m.health = f } }

// WithHeard calls f at each answer of the store.
func WithHeard(f func()) Option { return func(m *Mirror) { m.tellHeard = f } }

// WithSharers makes the calls rarer the more other processes tell this one of what they see; f returns their number.
func WithSharers(f func() int) Option { return func(m *Mirror) { m.sharers = f } }

// New returns a mirror of source.
func New(source Source, log *slog.Logger, opts ...Option) *Mirror {
	m := &Mirror{
		source:    source,
		log:       log,
		retry:     firstRetry,
		health:    func(bool) {},
		tellHeard: func() {},
		sharers:   func() int { return 0 },
		nudged:    make(chan struct{}, 1),
		began:     time.Now(),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithLender has f asked for what another process has read while the source does not answer this one.
func WithLender(f func(ctx context.Context) ([]toucanstore.Value, error)) Option {
	return func(m *Mirror) { m.lender = f }
}

// Values returns what the mirror holds.
func (m *Mirror) Values() []toucanstore.Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.values))
}

// Age returns how long ago the source last answered, and false if it never did.
func (m *Mirror) Age(now time.Time) (time.Duration, bool) {
	heard := m.heard.Load()
	if heard == 0 {
		return 0, false
	}
	return now.Sub(m.began) - time.Duration(heard), true
}

// Nudge has the next call for changes made at once, as when another process knows of something newer.
func (m *Mirror) Nudge() {
	select {
	case m.nudged <- struct{}{}:
	default:
	}
}

// crowd is how many times rarer the calls are than those of a process alone.
func (m *Mirror) crowd() float64 { return max(1, float64(m.sharers()+1)/pacedAlone) }

// interval is the time between the starts of two calls for changes. It varies, so that processes do not call together.
func (m *Mirror) interval() time.Duration {
	mean := min(time.Duration(m.crowd()*float64(pace)), maxPace)
	return mean*3/4 + rand.N(mean/2)
}

// Run hands each new state to take until ctx ends. During an outage the last one stays.
func (m *Mirror) Run(ctx context.Context, take func(State)) {
	for ctx.Err() == nil {
		began := time.Now()
		err := m.step(ctx, take)
		wait := m.interval() - time.Since(began)
		if err != nil && ctx.Err() == nil {
			wait = m.failed(err)
			m.borrow(ctx, take)
		}
		if wait > 0 {
			toucanwait.Signal(ctx, m.nudged, wait)
		}
	}
}

func (m *Mirror) step(ctx context.Context, take func(State)) error {
	if m.revision == 0 || time.Since(m.verified) > time.Duration(m.crowd()*float64(verifyInterval)) {
		return m.snapshot(ctx, take)
	}
	changes, revision, err := m.source.Changes(ctx, m.revision)
	if err != nil {
		// A watch that ends without an answer may have missed changes.
		m.revision = 0
		return err
	}
	m.answered()
	m.revision = revision
	if len(changes) > 0 {
		written, gone := m.apply(changes)
		take(State{Values: m.values, Changed: written, Gone: gone})
	}
	return nil
}

// apply takes changes into the copy and returns the keys that were written, never nil, and those that were removed.
func (m *Mirror) apply(changes []Change) (written, gone []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	written = make([]string, 0, len(changes))
	for _, c := range changes {
		if c.Removed {
			delete(m.values, c.Key)
			gone = append(gone, c.Key)
		} else if held, ok := m.values[c.Key]; !ok || held.Revision <= c.Revision {
			m.values[c.Key] = c.Value
			written = append(written, c.Key)
		}
	}
	return written, gone
}

func (m *Mirror) snapshot(ctx context.Context, take func(State)) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	values, revision, err := m.source.Snapshot(ctx)
	if err != nil {
		return err
	}
	gone := m.replace(values)
	m.revision, m.verified = revision, time.Now()
	take(State{Values: m.values, Gone: gone, Resumed: m.answered()})
	return nil
}

// replace holds values in place of what was held and returns the keys that are no longer there.
func (m *Mirror) replace(values []toucanstore.Value) []string {
	next := make(map[string]toucanstore.Value, len(values))
	for _, v := range values {
		next[v.Key] = v
	}
	var gone []string
	for key := range m.values {
		if _, ok := next[key]; !ok {
			gone = append(gone, key)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values = next
	return gone
}

// borrow takes what another process has read while the source does not answer.
func (m *Mirror) borrow(ctx context.Context, take func(State)) {
	if m.lender == nil || m.lost.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	values, err := m.lender(ctx)
	if err != nil {
		// The mirror keeps what it has; the loss of the source was logged.
		m.log.Debug(toucanlog.MsgNothingToBorrow, toucanlog.Cause, err.Error())
		return
	}
	if len(values) == 0 {
		return
	}
	gone := m.replace(values)
	take(State{Values: m.values, Gone: gone})
}

// answered notes that the store answers and reports whether it did not before.
func (m *Mirror) answered() bool {
	m.retry = firstRetry
	m.heard.Store(int64(time.Since(m.began)))
	m.tellHeard()
	if m.lost.IsZero() {
		return false
	}
	m.log.Info(toucanlog.MsgStoreRegained, toucanlog.AwayMs, time.Since(m.lost).Milliseconds())
	m.lost = time.Time{}
	m.health(false)
	return true
}

// failed notes that the store does not answer and returns how long to wait.
func (m *Mirror) failed(err error) time.Duration {
	if errors.Is(err, ErrHistoryLost) {
		m.log.Warn(toucanlog.MsgHistoryLost)
		return 0
	}
	if m.lost.IsZero() {
		m.lost = time.Now()
		m.health(true)
		m.log.Warn(toucanlog.MsgStoreLost, toucanlog.Cause, err.Error())
	}
	wait := m.retry/2 + rand.N(m.retry)
	m.retry = min(2*m.retry, maxRetry)
	return wait
}
