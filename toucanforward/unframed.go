package toucanforward

import (
	"context"

	"github.com/pkg/errors"

	"toucanport/toucanplace"
	"toucanport/toucanupstream"
)

// errEndedWithEndpoint means that an answer without a length ended because its endpoint did.
var errEndedWithEndpoint = errors.New("answer without length ended with its endpoint")

// checkEnd returns errEndedWithEndpoint if an answer that was read to its end is not whole as far as can be told: it has no
// length, so that the end of its connection is its end, and its endpoint has ended too. It returns the error of ctx if that ends first.
func (s *Server) checkEnd(ctx context.Context, resp *toucanupstream.Response, e toucanplace.Endpoint) error {
	if resp.Framed {
		return nil
	}
	if s.pool.HasEnded(ctx, e.Address) {
		return errEndedWithEndpoint
	}
	// A check that was ended tells nothing.
	return ctx.Err()
}
