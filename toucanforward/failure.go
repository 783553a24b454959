package toucanforward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanupstream"
)

// retryAfterEvacuated is the Retry-After value while every endpoint is in an evacuated failure domain. Only the operator
// changes that.
const retryAfterEvacuated = time.Second

// minReturn is the least Retry-After value of a request that has too little time left for its service.
const minReturn = 10 * time.Millisecond

// reason is the cause of a refusal as it appears in logs and metrics.
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
	reasonEvacuated   reason = "evacuated"
	reasonFull        reason = "full"
	reasonDeferred    reason = "deferred"
	reasonLimited     reason = "limited"
	reasonHopeless    reason = "noRoomInTime"
	reasonTimeout     reason = "timeout"
	reasonNotRun      reason = "notRun"
	reasonUnreachable reason = "unreachable"
	reasonUnknown     reason = "outcomeUnknown"
	reasonQuarantined reason = "quarantined"
	reasonStopping    reason = "stopping"
	reasonLastEvent   reason = "lastEvent"
)

var (
	errNotRun         = errors.New("endpoint did not run the request")
	errNotGenuine     = errors.New("answer is not the endpoint's own")
	errEncoded        = errors.New("answer has a Content-Encoding")
	errEndpointFailed = errors.New("endpoint answered with a failure")
)

// refusal is an answer that the entry itself gives, without a body, instead of an endpoint's answer.
type refusal struct {
	status int
	reason reason
	// retryAfter is the delay in the Retry-After header; zero means no header.
	retryAfter time.Duration
	// endpoint is the id of the last endpoint that was tried; empty for none.
	endpoint string
	err      error
}

// refuseLater returns a refusal of a request that has not run and can be repeated after a delay.
func refuseLater(why reason, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: why, retryAfter: after}
}

// quarantineRefusal returns the refusal of a request that must not be sent to an engine.
func quarantineRefusal() refusal {
	return refusal{status: http.StatusBadRequest, reason: reasonQuarantined, err: errQuarantined}
}

// failure is the result of an attempt that gave no answer to deliver. It implements error.
type failure struct {
	endpoint string
	// notRun is true if the endpoint provably did not run the request.
	notRun bool
	// unsent is true if no byte of the request was sent to the endpoint.
	unsent bool
	// answer is the endpoint's 5xx answer; nil for none.
	answer *answer
	err    error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// newFailure returns the failure for an error of toucanupstream.Pool.Send.
func newFailure(reservation *toucanplace.Reservation, err error) *failure {
	unsent := errors.Is(err, toucanupstream.ErrNotSent)
	return &failure{endpoint: reservation.Endpoint.ID, notRun: unsent, unsent: unsent, err: err}
}

// outcome returns how the failure counts for the endpoint's health.
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

// refusal returns the refusal for a request whose last attempt failed. deferred is how long every endpoint has asked for
// no requests; zero if one has not.
func (f *failure) refusal(ctx context.Context, j *job, deferred time.Duration) refusal {
	r := refusal{status: http.StatusBadGateway, reason: reasonUnknown, endpoint: f.endpoint, err: f.err}
	switch {
	case errors.Is(f.err, errQuarantined), errors.Is(context.Cause(ctx), errQuarantined):
		return quarantineRefusal()
	case endedByStop(ctx):
		return stopRefusal(j, f.notRun)
	case errors.Is(ctx.Err(), context.Canceled):
		r.reason = reasonCallerLeft
	case f.notRun && j.maybeRun == 0 && ctx.Err() == nil:
		r.status, r.retryAfter = http.StatusServiceUnavailable, max(retryAfterFull, deferred)
		r.reason = reasonNotRun
		if f.unsent {
			r.reason = reasonUnreachable
		}
	case ctx.Err() != nil:
		r.status, r.reason, r.err = http.StatusGatewayTimeout, reasonTimeout, ctx.Err()
	}
	return r
}

// placeRefusal returns the refusal for a request for which no endpoint could be reserved.
// delay is the time after which the caller is to come back; zero if nothing is known of it.
func placeRefusal(ctx context.Context, j *job, err error, delay time.Duration) refusal {
	switch {
	case errors.Is(err, errQuarantined), errors.Is(context.Cause(ctx), errQuarantined):
		return quarantineRefusal()
	case endedByStop(ctx), errors.Is(err, errStopping):
		return stopRefusal(j, true)
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal{status: http.StatusBadGateway, reason: reasonCallerLeft, err: err}
	case j.maybeRun > 0 || ctx.Err() != nil:
		return refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout, err: err}
	case errors.Is(err, toucanplace.ErrTooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, err: err}
	case errors.Is(err, toucanplace.ErrEvacuated):
		return refusal{status: http.StatusServiceUnavailable, reason: reasonEvacuated, retryAfter: retryAfterEvacuated, err: err}
	case errors.Is(err, toucanplace.ErrNoTime):
		return refusal{status: http.StatusServiceUnavailable, reason: reasonHopeless, retryAfter: max(delay, minReturn), err: err}
	case errors.Is(err, toucanplace.ErrNoEndpoint):
		return refusal{status: http.StatusServiceUnavailable, reason: reasonNoEndpoint, retryAfter: retryAfterFull, err: err}
	}
	r := refusal{status: http.StatusServiceUnavailable, reason: reasonFull, retryAfter: max(retryAfterFull, delay), err: err}
	switch {
	case errors.Is(err, toucanplace.ErrDeferred):
		r.reason = reasonDeferred
	case errors.Is(err, toucanplace.ErrLimited):
		r.reason = reasonLimited
	case errors.Is(err, errHopeless):
		r.reason = reasonHopeless
	}
	return r
}

// refuse writes a refusal to the caller, and counts and logs it.
func (s *Server) refuse(j *job, r refusal) {
	s.metrics.refused(r.reason, j.workspace)
	if j.mixed {
		s.metrics.ranks.rejected(j.rank, r.reason)
	}
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
	if len(j.SharedParts) > 0 && j.maybeRun > 0 {
		args = append(args, toucanlog.PromptParts, formatParts(j.SharedParts))
	}
	if r.err != nil {
		args = append(args, toucanlog.Cause, r.err.Error())
	}
	s.log.Warn(toucanlog.MsgRequestRefused, append(args, s.stopArgs(j)...)...)
	if r.retryAfter > 0 {
		j.w.Header().Set("Retry-After", formatRetryAfter(r.retryAfter))
	}
	j.w.Header().Set("Content-Length", "0")
	j.w.WriteHeader(r.status)
}

// formatRetryAfter formats a duration in seconds, with three decimals, for the Retry-After header.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// formatParts formats the ids of prompt parts for the log, as callers send them.
func formatParts(parts []toucanquarantine.Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(uint64(p), 16)
	}
	return strings.Join(ids, ",")
}
