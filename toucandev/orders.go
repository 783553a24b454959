package toucandev

import (
	"context"
	"time"

	"toucanport/toucanorder"
	"toucanport/toucansidecar"
)

// ordersFlushTimeout bounds the writing of outcomes at the end.
const ordersFlushTimeout = time.Second

// startOrders gives a plain service's sidecar its claims in the store.
func (s *System) startOrders(ctx context.Context, cfg *toucansidecar.Config) {
	claims := toucanorder.New(s.store)
	cfg.Orders = claims
	s.wg.Go(func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ordersFlushTimeout)
		defer cancel()
		s.report("orders", claims.Close(ctx))
	})
}
