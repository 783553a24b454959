package toucanrelay

import (
	"context"

	"github.com/pkg/errors"

	"toucanport/toucanupstream"
)

// errEndedWithEndpoint means that an answer without a length ended because its endpoint did.
var errEndedWithEndpoint = errors.New("answer without length ended with its endpoint")

// EndChecker tells whether endpoints have ended. *toucanupstream.Pool implements it.
type EndChecker interface {
	// HasEnded reports whether the endpoint at an address has ended. It tells nothing if ctx ends first.
	HasEnded(ctx context.Context, address string) bool
}

// CheckEnd returns errEndedWithEndpoint if an answer that was read to its end is not whole as far as can be told: it has no
// length, so that the end of its connection is its end, and its endpoint, at address, has ended too. It returns the error of ctx if
// that ends first.
func CheckEnd(ctx context.Context, ends EndChecker, resp *toucanupstream.Response, address string) error {
	if resp.Framed {
		return nil
	}
	if ends.HasEnded(ctx, address) {
		return errEndedWithEndpoint
	}
	// A check that was ended tells nothing.
	return ctx.Err()
}
