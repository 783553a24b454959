package toucanforward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanupstream"
)

// reason says in logs and metrics why a request was refused.
type reason string

const (
	reasonNoSettings  reason = "noSettings"
	reasonMalformed   reason = "malformed"
	reasonNoRoute     reason = "noRoute"
	reasonUnknownKey  reason = "unknownKey"
	reasonNoService   reason = "noService"
	reasonTooLarge    reason = "tooLarge"
	reasonCallerSlow  reason = "callerSlow"
	reasonCallerLeft  reason = "callerLeft"
	reasonNoEndpoint  reason = "noEndpoint"
	reasonFull        reason = "full"
	reasonTimeout     reason = "timeout"
	reasonNotRun      reason = "notRun"
	reasonUnreachable reason = "unreachable"
	reasonUnknown     reason = "outcomeUnknown"
)

var (
	errNotRun         = errors.New("endpoint did not run the request")
	errNotGenuine     = errors.New("answer is not the endpoint's own")
	errEncoded        = errors.New("answer is encoded")
	errEndpointFailed = errors.New("endpoint answered with a failure")
)

// refusal is an answer of our own.
type refusal struct {
	status int
	reason reason
	// after is when the caller may ask again; zero for no word on it.
	after time.Duration
	// endpoint is the last one that was tried; empty for none.
	endpoint string
	err      error
}

// refuseLater refuses a request that has not run and may be made again.
func refuseLater(why reason, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: why, after: after}
}

// failure is an attempt without an answer to deliver.
type failure struct {
	endpoint string
	// notRun is true on proof that the endpoint did not run the request.
	notRun bool
	// unsent is true when nothing of the request reached the endpoint.
	unsent bool
	// answer is the endpoint's own failure, if it gave one.
	answer *answer
	err    error
}

// Error returns what went wrong.
func (f *failure) Error() string { return f.err.Error() }

func newFailure(claim *toucanplace.Claim, err error) *failure {
	unsent := errors.Is(err, toucanupstream.ErrNotSent)
	return &failure{endpoint: claim.Endpoint.ID, notRun: unsent, unsent: unsent, err: err}
}

// outcome is what the failure says of the endpoint.
func (f *failure) outcome(ctx context.Context) toucanplace.Outcome {
	switch {
	case errors.Is(f.err, toucanupstream.ErrConnections):
		return toucanplace.OutcomeNeutral
	case errors.Is(ctx.Err(), context.Canceled):
		return toucanplace.OutcomeNeutral
	case f.unsent, errors.Is(f.err, toucanupstream.ErrLost) && ctx.Err() == nil:
		// An endpoint that closes connections without an answer would do so to the next request too.
		return toucanplace.OutcomeUnreachable
	}
	return toucanplace.OutcomeFailed
}

// refusal is the final answer when no attempt follows.
func (f *failure) refusal(ctx context.Context, j *job) refusal {
	r := refusal{status: http.StatusBadGateway, reason: reasonUnknown, endpoint: f.endpoint, err: f.err}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.reason = reasonCallerLeft
	case f.notRun && j.maybeRun == 0 && ctx.Err() == nil:
		r.status, r.after = http.StatusServiceUnavailable, comeBackFull
		r.reason = reasonNotRun
		if f.unsent {
			r.reason = reasonUnreachable
		}
	case ctx.Err() != nil:
		r.status, r.reason, r.err = http.StatusGatewayTimeout, reasonTimeout, ctx.Err()
	}
	return r
}

// placeRefusal is the final answer when no endpoint could be claimed.
func placeRefusal(ctx context.Context, j *job, err error) refusal {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal{status: http.StatusBadGateway, reason: reasonCallerLeft, err: err}
	case j.maybeRun > 0 || ctx.Err() != nil:
		return refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout, err: err}
	case errors.Is(err, toucanplace.ErrTooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, err: err}
	case errors.Is(err, toucanplace.ErrNoEndpoint):
		return refusal{status: http.StatusServiceUnavailable, reason: reasonNoEndpoint, after: comeBackFull, err: err}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reasonFull, after: comeBackFull, err: err}
}

// refuse gives a request an answer of our own.
func (s *Server) refuse(j *job, r refusal) {
	s.metrics.refused(r.reason, j.workspace)
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Service, j.service.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.Status, r.status,
		toucanlog.Reason, string(r.reason),
		toucanlog.SettingsVersion, j.version,
		toucanlog.HeldMs, time.Since(j.arrived).Milliseconds(),
		toucanlog.MayHaveRun, j.maybeRun > 0,
	}
	if r.endpoint != "" {
		args = append(args, toucanlog.Endpoint, r.endpoint, toucanlog.Attempts, j.plan.Attempts())
	}
	if r.err != nil {
		args = append(args, toucanlog.Cause, r.err.Error())
	}
	s.log.Warn(toucanlog.MsgRequestRefused, args...)
	if r.after > 0 {
		j.w.Header().Set("Retry-After", retryAfter(r.after))
	}
	j.w.Header().Set("Content-Length", "0")
	j.w.WriteHeader(r.status)
}

// retryAfter is a header's value in seconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
