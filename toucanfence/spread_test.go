package toucanfence_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"toucanport/toucanengine"
	"toucanport/toucanfakestore"
	"toucanport/toucanfence"
)

const (
	// returningEngines is about a third of a failure domain at the size to design for: 3,400 engines in 11.
	returningEngines = 100
	// loadInterval is how often the weight store starts a load.
	loadInterval = 2 * time.Second
)

// weights refuses loads beyond its rate, and counts both.
type weights struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	loaded  int
	refused int
}

func (w *weights) Order(context.Context, toucanengine.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.Allow() {
		w.refused++
		return toucanengine.ErrRejected
	}
	w.loaded++
	return nil
}

// returned lets many engines load at once and returns the weight store's counts and the time until all had loaded.
func returned(t *testing.T, spread time.Duration) (w *weights, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		w = &weights{limiter: rate.NewLimiter(rate.Every(loadInterval), 1)}
		store := toucanfakestore.New()
		ctx, cancel := context.WithCancel(t.Context())
		var holders, loads sync.WaitGroup
		started := time.Now()
		for i := range returningEngines {
			h := toucanfence.New(store, w, fmt.Sprint("engine-", i), "s", toucanfence.WithChecksFencing(), toucanfence.WithLogger(quiet()))
			holders.Go(func() { h.Run(ctx) })
			loads.Go(func() { assert.Check(t, h.Load(ctx, toucanengine.OrderLoadModel, "v2", spread)) })
		}
		loads.Wait()
		took = time.Since(started)
		cancel()
		holders.Wait()
	})
	return w, took
}

func TestLoadsAreSpreadWhenEnginesReturn(t *testing.T) {
	atOnce, tookAtOnce := returned(t, 0)
	spread, tookSpread := returned(t, returningEngines*loadInterval)
	t.Logf("%d engines, one load each %v: at once %d refused, done in %v; spread %d refused, done in %v",
		returningEngines, loadInterval, atOnce.refused, tookAtOnce.Round(time.Second), spread.refused, tookSpread.Round(time.Second))
	assert.Equal(t, atOnce.loaded, returningEngines)
	assert.Equal(t, spread.loaded, returningEngines)
	assert.Assert(t, spread.refused < atOnce.refused)
}
