package toucanrig

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
	"toucanport/toucanstore"
)

// StoreAddress is the address of the fake of the platform's key-value service.
const StoreAddress = "10.0.2.1:8500"

// startStore starts the fake of the platform's key-value service.
func (r *Rig) startStore() error {
	ln, err := r.Network.Listen(StoreAddress)
	if err != nil {
		return err
	}
	r.Network.Set(LinkName{From: Any, To: StoreAddress}, LinkState{Delay: InnerDelay})
	r.Store = toucanfakestore.New(toucanfakestore.WithSeed(r.cfg.Seed))
	srv := &http.Server{Handler: r.Store.Handler()}
	stop := context.AfterFunc(r.ctx, func() { _ = srv.Close() })
	r.startProcess(func() error {
		defer stop()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// newClaims returns the order claims of the sidecar that dials through transport. They are closed when ctx ends; changes
// that they have not written by then are lost.
func (r *Rig) newClaims(ctx context.Context, transport http.RoundTripper) *toucanorder.Claims {
	client := toucanstore.NewClient("http://"+StoreAddress, toucanstore.WithTransport(transport))
	claims := toucanorder.New(client)
	r.running.Go(func() {
		<-ctx.Done()
		_ = claims.Close(ctx) // ctx has ended, so Close writes nothing more
	})
	return claims
}
