// Package toucanwatch offers the settings documents of the platform's store to a holder. Only entries use it.
package toucanwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

// Store is the part of the platform's service that a Watcher needs.
type Store interface {
	Get(ctx context.Context, key string) (toucanstore.Value, error)
	List(ctx context.Context, prefix string) ([]toucanstore.Value, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]toucanstore.Value, uint64, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// Watcher offers a holder what the store has under a prefix, until its context ends. Only entries run one. It
// watches the documents that are assigned to it, each by a call of its own, and reads one of the others now
// and then; what other entries watch comes with heartbeats.
type Watcher struct {
	store  Store
	prefix string
	holder *toucanspread.Holder
	log    *slog.Logger
	// healthy is told the result of each call.
	healthy func(bool)
	// assigned says which documents this entry watches.
	assigned func(document string) bool
	// watching holds the cancel function of each document that is being watched.
	watching map[string]context.CancelFunc
	wg       sync.WaitGroup
}

const (
	firstWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff   = 2 * time.Second
	// assignInterval is the time between looks at what is assigned.
	assignInterval = time.Second
	// sweepInterval is the mean time between reads of one document, whoever it is assigned to.
	sweepInterval = 2 * time.Minute
)

// Option changes a Watcher.
type Option func(*Watcher)

// WithHealth calls f after each call of the store with whether it was answered.
func WithHealth(f func(bool)) Option { return func(w *Watcher) { w.healthy = f } }

// WithAssigned limits the documents that are watched; all of them by default.
func WithAssigned(f func(document string) bool) Option {
	return func(w *Watcher) { w.assigned = f }
}

// New returns a watcher of the documents at prefix.
func New(store Store, prefix string, h *toucanspread.Holder, log *slog.Logger, opts ...Option) *Watcher {
	w := &Watcher{
		store:    store,
		prefix:   prefix,
		holder:   h,
		log:      log,
		healthy:  func(bool) {},
		assigned: func(string) bool { return true },
		watching: make(map[string]context.CancelFunc),
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run watches until ctx ends. An outage leaves what is in force as it is.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	w.wg.Go(func() { w.readAll(ctx) })
	w.wg.Go(func() { w.sweep(ctx) })
	for ctx.Err() == nil {
		w.assign(ctx)
		select {
		case <-w.holder.Changed():
		case <-time.After(assignInterval):
		case <-ctx.Done():
		}
	}
}

// readAll reads every document once, which an entry needs when it has no peer to learn them from.
func (w *Watcher) readAll(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		values, err := w.store.List(ctx, w.prefix+"/")
		w.healthy(err == nil)
		if err == nil {
			w.takeAll(ctx, values)
			return
		}
		toucanwait.Sleep(ctx, wait.NextBackOff())
	}
}

// documents returns the paths of all documents that there can be.
func (w *Watcher) documents() []string {
	paths := []string{toucansettings.OperatorsPath}
	for _, grant := range w.holder.Tree().Operators().Grants {
		paths = append(paths, toucansettings.TeamPath(grant.Name))
	}
	known := make(map[string]bool, len(paths))
	for _, p := range paths {
		known[p] = true
	}
	for _, r := range w.holder.Revisions() {
		if !known[r.Path] {
			paths = append(paths, r.Path)
		}
	}
	return paths
}

// assign starts watching what is newly assigned and stops what no longer is.
func (w *Watcher) assign(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, document := range w.documents() {
		if !w.assigned(document) {
			continue
		}
		wanted[document] = true
		if w.watching[document] == nil {
			w.watch(ctx, document)
		}
	}
	for document, cancel := range w.watching {
		if !wanted[document] {
			cancel()
			delete(w.watching, document)
		}
	}
}

func (w *Watcher) watch(ctx context.Context, document string) {
	ctx, cancel := context.WithCancel(ctx)
	w.watching[document] = cancel
	w.wg.Go(func() {
		defer cancel()
		w.follow(ctx, document)
	})
}

// follow keeps one watch on one document.
func (w *Watcher) follow(ctx context.Context, document string) {
	wait := newBackoff()
	var after uint64
	for ctx.Err() == nil {
		values, next, err := w.store.Watch(ctx, w.prefix+document, after)
		if ctx.Err() != nil {
			return
		}
		w.healthy(err == nil)
		if err != nil {
			toucanwait.Sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		if next < after {
			next = 0
		}
		after = next
		w.takeAll(ctx, values)
	}
}

// sweep reads one document after another, rarely. Over all entries together each document is read often, so
// that a change is found even when every entry that watches its document is gone or is told nothing.
func (w *Watcher) sweep(ctx context.Context) {
	for turn := rand.IntN(1 << 16); ctx.Err() == nil; turn++ {
		toucanwait.Sleep(ctx, sweepInterval/2+rand.N(sweepInterval))
		if ctx.Err() != nil {
			return
		}
		documents := w.documents()
		v, err := w.store.Get(ctx, w.prefix+documents[turn%len(documents)])
		if err == nil {
			w.take(ctx, v)
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstWatchBackoff, maxWatchBackoff
	return b
}

func (w *Watcher) takeAll(ctx context.Context, values []toucanstore.Value) {
	for _, v := range values {
		w.take(ctx, v)
	}
}

func (w *Watcher) take(ctx context.Context, v toucanstore.Value) {
	path := v.Key[len(w.prefix):]
	d, err := toucanrevision.ParseDocument(path, v.Body)
	if err == nil {
		_, err = w.holder.Offer(d)
	}
	if err != nil {
		w.log.Error("stored settings are not valid; what was in force stays", "document", path, "error", err.Error())
		return
	}
	if held, _ := w.holder.Document(path); held.Revision > d.Revision {
		w.repair(ctx, held, v)
	}
}

// repair writes back what is in force when the store was restored to something older, so that an accepted
// change never reverts.
func (w *Watcher) repair(ctx context.Context, held toucanrevision.Document, stored toucanstore.Value) {
	body, err := held.Encode()
	if err != nil {
		w.log.Error("encoding settings", "document", held.Path, "error", err.Error())
		return
	}
	_, err = w.store.CompareAndSwap(ctx, stored.Key, body, stored.Revision)
	if err != nil && !errors.Is(err, toucanstore.ErrConflict) {
		w.log.Warn("store holds older settings than are in force", "document", held.Path, "revision", held.Revision, "error", err.Error())
	}
}
