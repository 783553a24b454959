package toucanfence

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanengine"
	"toucanport/toucanwait"
)

const (
	firstLoadBackoff = 2 * time.Second
	maxLoadBackoff   = time.Minute
)

// OrderWithRetry sends an order and retries it until it is executed, ctx is done, or the engine rejects the fencing
// number. The first attempt is delayed by a random time of up to spread, and retries by an exponential backoff with
// jitter, so that the engines of a failure domain that recovers do not all load from the weight store at once.
func (h *Holder) OrderWithRetry(ctx context.Context, kind toucanengine.OrderKind, argument string, spread time.Duration) error {
	toucanwait.Sleep(ctx, rand.N(spread+1))
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstLoadBackoff
	retry.MaxInterval = maxLoadBackoff
	for {
		err := h.Order(ctx, kind, argument)
		if err == nil || errors.Is(err, toucanengine.ErrFenced) || ctx.Err() != nil {
			return err
		}
		toucanwait.Sleep(ctx, retry.NextBackOff())
	}
}
