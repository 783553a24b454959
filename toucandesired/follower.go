// Package toucandesired brings an engine to what the settings ask of it: its sidecar gives the orders that are
// missing, and holds the engine's lease only while it does.
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
	// loadSpread is the time over which the engines of a service begin to load after a change.
	loadSpread = 30 * time.Second
	// retryDelay is the pause after an attempt that did not bring the engine to what is asked.
	retryDelay = 5 * time.Second
)

// Order is one thing that an engine was or is to be told.
type Order struct {
	Kind     toucanengine.OrderKind `json:"kind"`
	Argument string                 `json:"argument"`
}

// record is what the store keeps of an engine, so that a replaced sidecar gives nothing twice.
type record struct {
	Carried []Order `json:"carried"`
}

// Settings are the settings in force.
type Settings interface {
	Tree() *toucansettings.Tree
	Changed() <-chan struct{}
}

// Store is what a follower needs of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (toucanstore.Value, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// Holder gives orders under the engine's lease.
type Holder interface {
	// Run takes and keeps the lease until ctx is done.
	Run(ctx context.Context)
	// Load gives an order until it is carried out, beginning at a random time within spread.
	Load(ctx context.Context, kind toucanengine.OrderKind, argument string, spread time.Duration) error
}

// Follower follows the settings of one engine.
type Follower struct {
	settings Settings
	store    Store
	// newHolder returns a holder for an engine that checks fencing numbers, or for one that does not.
	newHolder func(checksFencing bool) Holder
	team      string
	endpoint  string
	log       *slog.Logger
	// reached is what the engine was last known to be as asked; used by Run only.
	reached []Order
}

// NewFollower returns a follower of the endpoint "team/name" that does nothing until Run.
func NewFollower(settings Settings, store Store, endpoint string, newHolder func(bool) Holder, log *slog.Logger) *Follower {
	team, name, _ := strings.Cut(endpoint, "/")
	return &Follower{settings: settings, store: store, newHolder: newHolder, team: team, endpoint: name, log: log}
}

// Run follows the settings until ctx is done.
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

// reconcile gives the missing orders. A change of the settings ends it early. The store is asked only when the
// settings ask for something else than was last brought about.
func (f *Follower) reconcile(ctx context.Context, changed <-chan struct{}) error {
	wanted, checksFencing := f.wanted()
	if slices.Equal(wanted, f.reached) {
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
	if len(without(wanted, rec.Carried)) > 0 {
		err = f.give(ctx, f.newHolder(checksFencing), wanted, rec, revision)
	}
	if err == nil {
		f.reached = wanted
	}
	return err
}

// give gives the orders that are missing one by one and records each; recording one may show others missing.
func (f *Follower) give(ctx context.Context, h Holder, wanted []Order, rec record, revision uint64) error {
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
	for missing := without(wanted, rec.Carried); len(missing) > 0; missing = without(wanted, rec.Carried) {
		o := missing[0]
		if err := h.Load(ctx, o.Kind, o.Argument, spreadOf(o.Kind)); err != nil {
			return errors.Wrapf(err, "order %s %s", o.Kind, o.Argument)
		}
		f.log.Info("engine order carried out", "kind", string(o.Kind), "argument", o.Argument)
		rec = rec.with(o)
		var err error
		if revision, err = f.write(ctx, rec, revision); err != nil {
			return err
		}
	}
	return nil
}

// spreadOf spreads the orders that ask the weight store; the others come at once.
func spreadOf(kind toucanengine.OrderKind) time.Duration {
	if kind == toucanengine.OrderSetRole {
		return 0
	}
	return loadSpread
}

// wanted returns what the settings ask of the engine, in the order in which it is given.
func (f *Follower) wanted() (orders []Order, checksFencing bool) {
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

func without(orders, carried []Order) []Order {
	var missing []Order
	for _, o := range orders {
		if !slices.Contains(carried, o) {
			missing = append(missing, o)
		}
	}
	return missing
}

// with returns the record after o: a model or role replaces the one before it, adapters add up until a model
// replaces them all.
func (r record) with(o Order) record {
	kept := slices.DeleteFunc(slices.Clone(r.Carried), func(old Order) bool {
		replaced := old.Kind == o.Kind && o.Kind != toucanengine.OrderLoadAdapter
		return replaced || o.Kind == toucanengine.OrderLoadModel && old.Kind == toucanengine.OrderLoadAdapter
	})
	return record{Carried: append(kept, o)}
}

func (f *Follower) key() string { return keyPrefix + f.team + "/" + f.endpoint + "/carried" }

func (f *Follower) read(ctx context.Context) (record, uint64, error) {
	v, err := f.store.Get(ctx, f.key())
	if errors.Is(err, toucanstore.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, errors.Wrap(err, "reading what the engine was told")
	}
	var rec record
	if err := json.Unmarshal(v.Body, &rec); err != nil {
		return record{}, 0, errors.Wrap(err, "reading what the engine was told")
	}
	return rec, v.Revision, nil
}

func (f *Follower) write(ctx context.Context, rec record, revision uint64) (uint64, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "recording what the engine was told")
	}
	revision, err = f.store.CompareAndSwap(ctx, f.key(), body, revision)
	return revision, errors.Wrap(err, "recording what the engine was told")
}
