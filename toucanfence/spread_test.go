package toucanfence_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanengine"
	"toucanport/toucanfakestore"
	"toucanport/toucanfence"
)

const (
	// returningEngines is about a third of a failure domain at the design size of 3,400 engines in 11 failure domains.
	returningEngines = 100
	// loadInterval is the interval at which the weight store can start a load.
	loadInterval = 2 * time.Second
)

// weightStore refuses loads above its rate and counts accepted and refused loads.
type weightStore struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	loaded  int
	refused int
}

func (w *weightStore) Order(context.Context, toucanengine.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.Allow() {
		w.refused++
		return toucanengine.ErrRejected
	}
	w.loaded++
	return nil
}

// loadAll starts the loads of all engines at once. It returns the weight store with its counts and the time until all
// engines have loaded.
func loadAll(t *testing.T, spread time.Duration) (w *weightStore, elapsed time.Duration) {
	toucanbubble.Test(t, func(t *testing.T) {
		w = &weightStore{limiter: rate.NewLimiter(rate.Every(loadInterval), 1)}
		store := toucanfakestore.New()
		ctx, cancel := context.WithCancel(t.Context())
		var holders, loads sync.WaitGroup
		started := time.Now()
		for i := range returningEngines {
			h := toucanfence.New(store, w, fmt.Sprint("engine-", i), "s", toucanfence.WithChecksFencing(), toucanfence.WithLogger(discardLogger()))
			holders.Go(func() { h.Run(ctx) })
			loads.Go(func() { assert.Check(t, h.OrderWithRetry(ctx, toucanengine.OrderLoadModel, "v2", spread)) })
		}
		loads.Wait()
		elapsed = time.Since(started)
		cancel()
		holders.Wait()
	})
	return w, elapsed
}

func TestSpreadReducesRefusedLoads(t *testing.T) {
	atOnce, elapsedAtOnce := loadAll(t, 0)
	spread, elapsedSpread := loadAll(t, returningEngines*loadInterval)
	t.Logf("%d engines, one load each %v: without spread %d refused, done in %v; with spread %d refused, done in %v",
		returningEngines, loadInterval, atOnce.refused, elapsedAtOnce.Round(time.Second), spread.refused, elapsedSpread.Round(time.Second))
	assert.Equal(t, atOnce.loaded, returningEngines)
	assert.Equal(t, spread.loaded, returningEngines)
	assert.Assert(t, spread.refused < atOnce.refused)
}
