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

// Load gives an order until it is carried out, ctx is done, or the engine refuses the number. The first try comes
// at a random time within spread, and later ones after a jittered, growing wait, so that the engines of a failure
// domain that returns do not all ask the weight store at once.
func (h *Holder) Load(ctx context.Context, kind toucanengine.OrderKind, argument string, spread time.Duration) error {
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
