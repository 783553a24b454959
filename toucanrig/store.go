package toucanrig

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
	"toucanport/toucanstore"
)

// StoreAddress is where the platform's key-value service listens.
const StoreAddress = "10.0.2.1:8500"

// startStore serves the stand-in of the platform's key-value service.
func (r *Rig) startStore() error {
	ln, err := r.Network.Listen(StoreAddress)
	if err != nil {
		return err
	}
	r.Network.Set(LinkName{From: Any, To: StoreAddress}, LinkState{Delay: InnerDelay})
	r.Store = toucanfakestore.New(toucanfakestore.WithSeed(r.cfg.Seed))
	srv := &http.Server{Handler: r.Store.Handler()}
	stop := context.AfterFunc(r.ctx, func() { _ = srv.Close() })
	r.run(func() error {
		defer stop()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// claims returns the claims of orders of the sidecar that dials through transport. They end with ctx, and what
// they did not write by then is lost.
func (r *Rig) claims(ctx context.Context, transport http.RoundTripper) *toucanorder.Claims {
	client := toucanstore.NewClient("http://"+StoreAddress, toucanstore.WithTransport(transport))
	claims := toucanorder.New(client)
	r.running.Go(func() {
		<-ctx.Done()
		_ = claims.Close(ctx) // ctx is over, so that nothing more is written
	})
	return claims
}
