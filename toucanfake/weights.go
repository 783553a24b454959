package toucanfake

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// WeightStore is a fake of the platform's rate-limited store of model weights, shared by engines.
type WeightStore struct {
	limiter *rate.Limiter
	// transfer is the duration of a load after the rate limiter has admitted it.
	transfer time.Duration
}

// NewWeightStore returns a store that starts at most one load per interval. A load then takes the duration
// transfer.
func NewWeightStore(interval, transfer time.Duration) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Every(interval), 1), transfer: transfer}
}

// load waits for the rate limiter and then for the transfer. A nil store loads immediately.
func (w *WeightStore) load(ctx context.Context) error {
	if w == nil {
		return nil
	}
	if err := w.limiter.Wait(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(w.transfer):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
