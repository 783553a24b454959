// Package toucanwatch watches the settings documents in the store and passes them to a toucanreplicate.Holder. Only
// entries use it.
package toucanwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

// Store is the part of toucanstore.Store that a Watcher uses.
type Store interface {
	Get(ctx context.Context, key string) (toucanstore.Value, error)
	List(ctx context.Context, prefix string) ([]toucanstore.Value, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]toucanstore.Value, uint64, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// Watcher passes the documents under a prefix of the store to a holder. Only entries run one. It watches the
// documents that are assigned to it, each by a call of its own. It also reads single documents at long intervals, whether or not they are assigned to
// it. Changes of the documents that other entries watch arrive with heartbeats.
type Watcher struct {
	store  Store
	prefix string
	holder *toucanreplicate.Holder
	log    *slog.Logger
	// healthy is called after each list or watch call, with whether the store answered.
	healthy func(bool)
	// assigned reports whether this entry watches a document.
	assigned func(document string) bool
	// watching maps the path of each watched document to the function that stops its watch.
	watching map[string]context.CancelFunc
	wg       sync.WaitGroup
}

const (
	firstWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff   = 2 * time.Second
	// assignInterval is the longest time between two checks of the assigned documents.
	assignInterval = time.Second
	// sweepInterval is the mean time between two reads of sweep. Each reads one document, assigned or not.
	sweepInterval = 2 * time.Minute
)

// Option configures a Watcher.
type Option func(*Watcher)

// WithAnswerCallback calls f after each list or watch call, with whether the store answered.
func WithAnswerCallback(f func(bool)) Option { return func(w *Watcher) { w.healthy = f } }

// WithAssigned limits the watched documents to those for which f returns true. By default all are watched.
func WithAssigned(f func(document string) bool) Option {
	return func(w *Watcher) { w.assigned = f }
}

// New returns a watcher that passes the documents under prefix to h.
func New(store Store, prefix string, h *toucanreplicate.Holder, log *slog.Logger, opts ...Option) *Watcher {
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

// Run watches until ctx ends. During a store outage the documents in force stay.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	w.wg.Go(func() { w.readAll(ctx) })
	w.wg.Go(func() { w.sweep(ctx) })
	for ctx.Err() == nil {
		w.updateWatches(ctx)
		select {
		case <-w.holder.Changed():
		case <-time.After(assignInterval):
		case <-ctx.Done():
		}
	}
}

// readAll reads every document once, retrying with backoff. An entry without peers has no other source of its first
// documents.
func (w *Watcher) readAll(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		values, err := w.store.List(ctx, w.prefix+"/")
		w.healthy(err == nil)
		if err == nil {
			w.offerAll(ctx, values)
			return
		}
		toucanwait.Sleep(ctx, wait.NextBackOff())
	}
}

// documents returns the paths of all documents that can exist: those of the operators, of the teams that the
// operators declared and of the documents that the holder has.
func (w *Watcher) documents() []string {
	paths := []string{toucansettings.OperatorsPath}
	for _, grant := range w.holder.Tree().Operators().TeamGrants {
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

// updateWatches starts a watch for each newly assigned document and stops those no longer assigned.
func (w *Watcher) updateWatches(ctx context.Context) {
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
		w.watchLoop(ctx, document)
	})
}

// watchLoop repeats the watch call for one document until ctx ends.
func (w *Watcher) watchLoop(ctx context.Context, document string) {
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
		w.offerAll(ctx, values)
	}
}

// sweep reads one document after another, at a low rate. Since all entries do so, each document is read often
// enough to find a change even when every entry that watches the document is gone or its watches return nothing.
func (w *Watcher) sweep(ctx context.Context) {
	for turn := rand.IntN(1 << 16); ctx.Err() == nil; turn++ {
		toucanwait.Sleep(ctx, sweepInterval/2+rand.N(sweepInterval))
		if ctx.Err() != nil {
			return
		}
		documents := w.documents()
		v, err := w.store.Get(ctx, w.prefix+documents[turn%len(documents)])
		if err == nil {
			w.offer(ctx, v)
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstWatchBackoff, maxWatchBackoff
	return b
}

func (w *Watcher) offerAll(ctx context.Context, values []toucanstore.Value) {
	for _, v := range values {
		w.offer(ctx, v)
	}
}

func (w *Watcher) offer(ctx context.Context, v toucanstore.Value) {
	path := v.Key[len(w.prefix):]
	d, err := toucanrevision.ParseDocument(path, v.Body)
	if err == nil {
		_, err = w.holder.Offer(d)
	}
	if err != nil {
		w.log.Error("stored settings are not valid; the settings in force stay", "document", path, "error", err.Error())
		return
	}
	if held, _ := w.holder.Document(path); held.Revision > d.Revision {
		w.repair(ctx, held, v)
	}
}

// repair writes the document in force back to the store after the store was restored to an older state, so that
// an accepted change is never reverted.
func (w *Watcher) repair(ctx context.Context, held toucanrevision.Document, stored toucanstore.Value) {
	body, err := held.Encode()
	if err != nil {
		w.log.Error("cannot encode settings", "document", held.Path, "error", err.Error())
		return
	}
	_, err = w.store.CompareAndSwap(ctx, stored.Key, body, stored.Revision)
	if err != nil && !errors.Is(err, toucanstore.ErrConflict) {
		w.log.Warn("cannot write newer settings back to the store", "document", held.Path, "revision", held.Revision, "error", err.Error())
	}
}
