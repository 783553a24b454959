package toucanspread

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucanstore"
)

// Store is the part of the platform's service that a Watcher needs.
type Store interface {
	Watch(ctx context.Context, prefix string, after uint64) ([]toucanstore.Value, uint64, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// Watcher offers a holder what the store has under a prefix, until its context ends. Only entries run one.
type Watcher struct {
	store  Store
	prefix string
	holder *Holder
	log    *slog.Logger
	// healthy reports the result of each call; may be nil.
	healthy func(bool)
}

const (
	firstWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff   = 2 * time.Second
)

// WatcherOption changes a Watcher.
type WatcherOption func(*Watcher)

// WithHealth calls f after each call of the store with whether it was answered.
func WithHealth(f func(bool)) WatcherOption { return func(w *Watcher) { w.healthy = f } }

// NewWatcher returns a watcher of the documents at prefix.
func NewWatcher(store Store, prefix string, h *Holder, log *slog.Logger, opts ...WatcherOption) *Watcher {
	w := &Watcher{store: store, prefix: prefix, holder: h, log: log, healthy: func(bool) {}}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run watches until ctx ends. An outage leaves what is in force as it is.
func (w *Watcher) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstWatchBackoff, maxWatchBackoff
	var after uint64
	for ctx.Err() == nil {
		values, next, err := w.store.Watch(ctx, w.prefix+"/", after)
		w.healthy(err == nil)
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		if next < after {
			next = 0
		}
		after = next
		for _, v := range values {
			w.take(ctx, v)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (w *Watcher) take(ctx context.Context, v toucanstore.Value) {
	path := v.Key[len(w.prefix):]
	d, err := toucanrevision.ParseDocument(path, v.Body)
	if err == nil {
		_, err = w.holder.Offer(d)
	}
	if err != nil {
		w.log.Error("stored settings are not valid; what was in force stays", "document", path, "error", err)
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
		w.log.Error("encoding settings", "document", held.Path, "error", err)
		return
	}
	_, err = w.store.CompareAndSwap(ctx, stored.Key, body, stored.Revision)
	if err != nil && !errors.Is(err, toucanstore.ErrConflict) {
		w.log.Warn("store holds older settings than are in force", "document", held.Path, "revision", held.Revision, "error", err)
	}
}
