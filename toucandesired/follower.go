// Package toucandesired reconciles an engine with the desired state in the settings. The engine's sidecar sends the
// missing orders and holds the engine's lease only while it does so.
package toucandesired

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanengine"
	"toucanport/toucansettings"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

const (
	keyPrefix = "engines/"
	// loadSpread is the period over which the engines of a service start loading after a change.
	loadSpread = 30 * time.Second
	// retryDelay is the delay after a failed reconciliation.
	retryDelay = 5 * time.Second
)

// Order is an engine order that was executed or is to be sent.
type Order struct {
	Kind     toucanengine.OrderKind `json:"kind"`
	Argument string                 `json:"argument"`
}

// record is the stored list of orders that an engine has executed, so that a replaced sidecar does not repeat them.
type record struct {
	Executed []Order `json:"carried"`
}

// Settings provides the current settings. Changed returns a channel that is closed on the next change.
type Settings interface {
	Tree() *toucansettings.Tree
	Changed() <-chan struct{}
}

// Store is the part of the platform's store that a follower uses.
type Store interface {
	Get(ctx context.Context, key string) (toucanstore.Value, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// Holder sends orders under the engine's lease.
type Holder interface {
	// Run acquires and renews the lease until ctx is done.
	Run(ctx context.Context)
	// OrderWithRetry sends an order and retries it until it is executed. The first attempt is delayed by up to spread.
	OrderWithRetry(ctx context.Context, kind toucanengine.OrderKind, argument string, spread time.Duration) error
}

// Follower reconciles one engine with the settings.
type Follower struct {
	settings Settings
	store    Store
	// newHolder returns a holder for an engine; checksFencing reports whether the engine checks fencing numbers.
	newHolder func(checksFencing bool) Holder
	team      string
	endpoint  string
	log       *slog.Logger
	// lastApplied holds the desired orders after the last successful reconciliation. Only Run uses it.
	lastApplied []Order
}

// NewFollower returns a follower for endpoint, in the form "team/name". It is idle until Run is called.
func NewFollower(settings Settings, store Store, endpoint string, newHolder func(bool) Holder, log *slog.Logger) *Follower {
	team, name, _ := strings.Cut(endpoint, "/")
	return &Follower{settings: settings, store: store, newHolder: newHolder, team: team, endpoint: name, log: log}
}

// Run reconciles the engine on every change of the settings, and retries after errors, until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.settings.Changed()
		wake := time.Hour
		if err := f.reconcile(ctx, changed); err != nil {
			f.log.Warn("engine is not yet as the settings ask", "error", err.Error())
			wake = retryDelay
		}
		toucanwait.Signal(ctx, changed, wake)
	}
}

// reconcile sends the missing orders. A change of the settings cancels it. It reads the store only if the desired
// orders differ from those of the last successful reconciliation.
func (f *Follower) reconcile(ctx context.Context, changed <-chan struct{}) error {
	desired, checksFencing := f.desiredOrders()
	if slices.Equal(desired, f.lastApplied) {
		return nil
	}
	rec, revision, err := f.read(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	if len(missingOrders(desired, rec.Executed)) > 0 {
		err = f.sendMissing(ctx, f.newHolder(checksFencing), desired, rec, revision)
	}
	if err == nil {
		f.lastApplied = desired
	}
	return err
}

// sendMissing sends the missing orders one by one and records each. Recording an order can make others missing, because
// a new model unloads the adapters.
func (f *Follower) sendMissing(ctx context.Context, h Holder, desired []Order, rec record, revision uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	released := make(chan struct{})
	go func() {
		defer close(released)
		h.Run(ctx)
	}()
	defer func() {
		cancel()
		<-released
	}()
	for missing := missingOrders(desired, rec.Executed); len(missing) > 0; missing = missingOrders(desired, rec.Executed) {
		o := missing[0]
		if err := h.OrderWithRetry(ctx, o.Kind, o.Argument, spreadOf(o.Kind)); err != nil {
			return errors.Wrapf(err, "engine order %s %s", o.Kind, o.Argument)
		}
		f.log.Info("engine order carried out", "kind", string(o.Kind), "argument", o.Argument)
		rec = rec.withOrder(o)
		var err error
		if revision, err = f.write(ctx, rec, revision); err != nil {
			return err
		}
	}
	return nil
}

// spreadOf returns the spread of an order. Orders that read from the weight store are spread; others are sent at once.
func spreadOf(kind toucanengine.OrderKind) time.Duration {
	if kind == toucanengine.OrderSetRole {
		return 0
	}
	return loadSpread
}

// desiredOrders returns the orders that bring the engine to the state in the settings, in the sequence in which they
// are sent.
func (f *Follower) desiredOrders() (orders []Order, checksFencing bool) {
	tree := f.settings.Tree()
	for _, team := range tree.Teams() {
		if team.Name != f.team {
			continue
		}
		i := slices.IndexFunc(team.Endpoints, func(e toucansettings.Endpoint) bool { return e.Name == f.endpoint })
		if i < 0 {
			return nil, false
		}
		endpoint := team.Endpoints[i]
		service, _ := tree.Service(f.team, endpoint.Service)
		return ordersFor(service, endpoint), endpoint.ChecksFencing
	}
	return nil, false
}

func ordersFor(s toucansettings.Service, e toucansettings.Endpoint) []Order {
	var orders []Order
	if s.Version != "" {
		orders = append(orders, Order{toucanengine.OrderLoadModel, s.Model + "@" + s.Version})
	}
	for _, adapter := range s.Adapters {
		orders = append(orders, Order{toucanengine.OrderLoadAdapter, adapter})
	}
	if e.Role != "" {
		orders = append(orders, Order{toucanengine.OrderSetRole, e.Role})
	}
	return orders
}

func missingOrders(orders, executed []Order) []Order {
	var missing []Order
	for _, o := range orders {
		if !slices.Contains(executed, o) {
			missing = append(missing, o)
		}
	}
	return missing
}

// withOrder returns the record after o was executed. A model or role replaces the previous one. Adapters accumulate
// until a model replaces them all.
func (r record) withOrder(o Order) record {
	kept := slices.DeleteFunc(slices.Clone(r.Executed), func(old Order) bool {
		replaced := old.Kind == o.Kind && o.Kind != toucanengine.OrderLoadAdapter
		return replaced || o.Kind == toucanengine.OrderLoadModel && old.Kind == toucanengine.OrderLoadAdapter
	})
	return record{Executed: append(kept, o)}
}

func (f *Follower) key() string { return keyPrefix + f.team + "/" + f.endpoint + "/carried" }

func (f *Follower) read(ctx context.Context) (record, uint64, error) {
	v, err := f.store.Get(ctx, f.key())
	if errors.Is(err, toucanstore.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, errors.Wrap(err, "cannot read the executed engine orders")
	}
	var rec record
	if err := json.Unmarshal(v.Body, &rec); err != nil {
		return record{}, 0, errors.Wrap(err, "cannot read the executed engine orders")
	}
	return rec, v.Revision, nil
}

func (f *Follower) write(ctx context.Context, rec record, revision uint64) (uint64, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "cannot record the executed engine order")
	}
	revision, err = f.store.CompareAndSwap(ctx, f.key(), body, revision)
	return revision, errors.Wrap(err, "cannot record the executed engine order")
}
