package toucandev

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"toucanport/toucanfakeservice"
)

// startService serves a fake plain service, which numbers the orders that it processes, until ctx is done.
func (s *System) startService(ctx context.Context, ln net.Listener) {
	server := &http.Server{Handler: toucanfakeservice.New()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.wg.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.logError("service", err)
		}
	})
}
