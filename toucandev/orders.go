package toucandev

import (
	"context"
	"time"

	"toucanport/toucanorder"
	"toucanport/toucansidecar"
)

// claimsFlushTimeout limits the time to write pending order outcomes to the store at shutdown.
const claimsFlushTimeout = time.Second

// startClaims configures the sidecar of a plain service to keep its claims in the store, and flushes the outcomes
// when ctx is done.
func (s *System) startClaims(ctx context.Context, cfg *toucansidecar.Config) {
	claims := toucanorder.New(s.store)
	cfg.Orders = claims
	s.wg.Go(func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimsFlushTimeout)
		defer cancel()
		s.logError("orders", claims.Close(ctx))
	})
}
