package toucandev

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// orderAnswer is what the plain stand-in answers.
type orderAnswer struct {
	Number uint64 `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// startService runs a plain service that numbers the calls it carries out.
func (s *System) startService(ctx context.Context, ln net.Listener) {
	var number atomic.Uint64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		answer := orderAnswer{Number: number.Add(1), Method: r.Method, Path: r.URL.Path}
		_ = json.NewEncoder(w).Encode(answer)
	})}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.wg.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.report("service", err)
		}
	})
}
