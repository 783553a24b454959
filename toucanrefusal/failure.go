package toucanrefusal

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanstop"
	"toucanport/toucanupstream"
)

// Failure is the result of an attempt that gave no answer to deliver. It implements error.
type Failure struct {
	// Endpoint is the id of the endpoint.
	Endpoint string
	// NotRun is true if the endpoint provably did not run the request.
	NotRun bool
	// Unsent is true if no byte of the request was sent to the endpoint.
	Unsent bool
	Err    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// NewFailure returns the failure for an error of toucanupstream.Pool.Send.
func NewFailure(endpoint string, err error) *Failure {
	unsent := errors.Is(err, toucanupstream.ErrNotSent)
	return &Failure{Endpoint: endpoint, NotRun: unsent, Unsent: unsent, Err: err}
}

// Outcome returns how the failure counts for the endpoint's health.
func (f *Failure) Outcome(ctx context.Context) toucanplace.Outcome {
	switch {
	case errors.Is(f.Err, toucanupstream.ErrConnections):
		return toucanplace.OutcomeNeutral
	case errors.Is(ctx.Err(), context.Canceled):
		return toucanplace.OutcomeNeutral
	case f.Unsent, errors.Is(f.Err, toucanupstream.ErrLost) && ctx.Err() == nil:
		// An endpoint that closes connections without an answer would do so to the next request too.
		return toucanplace.OutcomeUnreachable
	}
	return toucanplace.OutcomeFailed
}

// Refusal returns the refusal for a request whose last attempt failed. mayHaveRun is true if an endpoint may have run an attempt.
// deferred is how long every endpoint has asked for no requests; zero if one has not.
func (f *Failure) Refusal(ctx context.Context, mayHaveRun bool, deferred time.Duration) Refusal {
	r := Refusal{Status: http.StatusBadGateway, Reason: ReasonUnknown, Endpoint: f.Endpoint, Err: f.Err}
	switch {
	case errors.Is(f.Err, toucanquarantine.ErrQuarantined), errors.Is(context.Cause(ctx), toucanquarantine.ErrQuarantined):
		return Quarantined()
	case toucanstop.HasEnded(ctx):
		return Stopping(f.NotRun && !mayHaveRun)
	case errors.Is(ctx.Err(), context.Canceled):
		r.Reason = ReasonCallerLeft
	case f.NotRun && !mayHaveRun && ctx.Err() == nil:
		r.Status, r.RetryAfter = http.StatusServiceUnavailable, max(RetryAfterFull, deferred)
		r.Reason = ReasonNotRun
		if f.Unsent {
			r.Reason = ReasonUnreachable
		}
	case ctx.Err() != nil:
		r.Status, r.Reason, r.Err = http.StatusGatewayTimeout, ReasonTimeout, ctx.Err()
	}
	return r
}
