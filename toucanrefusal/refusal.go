// Package toucanrefusal decides what a request that gets no endpoint's answer is told: the status, whether it certainly has not run, and
// when its caller is to come back. It also decides what a failed attempt says of its endpoint.
package toucanrefusal

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanbody"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanstop"
)

const (
	// RetryAfterFull is the Retry-After value when no endpoint could take the request.
	RetryAfterFull = 300 * time.Millisecond
	// retryAfterUnready is the Retry-After value while this entry has no settings, or none for the route's service.
	retryAfterUnready = 500 * time.Millisecond
	// retryAfterStopping is the Retry-After value of an entry that stops. Callers come back on a new connection, which
	// reaches another entry.
	retryAfterStopping = 100 * time.Millisecond
	// retryAfterEvacuated is the Retry-After value while every endpoint is in an evacuated failure domain. Only the operator
	// changes that.
	retryAfterEvacuated = time.Second
	// minReturn is the least Retry-After value of a request that has too little time left for its service.
	minReturn = 10 * time.Millisecond
)

// ErrNoRoomInTime means that a request would get room only after the time for which it may wait.
var ErrNoRoomInTime = errors.New("no room in time")

// Reason is the cause of a refusal as it appears in logs and metrics.
type Reason string

// The reasons.
const (
	ReasonNoSettings  Reason = "noSettings"
	ReasonMalformed   Reason = "malformed"
	ReasonNoRoute     Reason = "noRoute"
	ReasonUnknownKey  Reason = "unknownKey"
	ReasonNoService   Reason = "noService"
	ReasonTooLarge    Reason = "tooLarge"
	ReasonCallerSlow  Reason = "callerSlow"
	ReasonCallerLeft  Reason = "callerLeft"
	ReasonNoEndpoint  Reason = "noEndpoint"
	ReasonEvacuated   Reason = "evacuated"
	ReasonFull        Reason = "full"
	ReasonDeferred    Reason = "deferred"
	ReasonLimited     Reason = "limited"
	ReasonHopeless    Reason = "noRoomInTime"
	ReasonTimeout     Reason = "timeout"
	ReasonNotRun      Reason = "notRun"
	ReasonUnreachable Reason = "unreachable"
	ReasonUnknown     Reason = "outcomeUnknown"
	ReasonQuarantined Reason = "quarantined"
	ReasonStopping    Reason = "stopping"
	ReasonLastEvent   Reason = "lastEvent"
)

// Refusal is an answer that the entry itself gives, without a body, instead of an endpoint's answer.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAfter is the delay in the Retry-After header; zero means no header.
	RetryAfter time.Duration
	// Endpoint is the id of the last endpoint that was tried; empty for none.
	Endpoint string
	// Err is the cause; nil if the reason tells all.
	Err error
}

// New returns a refusal that makes no promise. err is nil if the reason tells all.
func New(status int, why Reason, err error) *Refusal {
	return &Refusal{Status: status, Reason: why, Err: err}
}

// Unready returns the refusal of a request that has not run, by an entry that lacks settings.
func Unready(why Reason) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: why, RetryAfter: retryAfterUnready}
}

// Quarantined returns the refusal of a request that must not be sent to an engine.
func Quarantined() Refusal {
	return Refusal{Status: http.StatusBadRequest, Reason: ReasonQuarantined, Err: toucanquarantine.ErrQuarantined}
}

// Stopping returns the refusal of a request that can't end before the server stops. Only one that certainly did not run
// may come back.
func Stopping(notRun bool) Refusal {
	if notRun {
		return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonStopping, RetryAfter: retryAfterStopping, Err: toucanstop.ErrStopping}
	}
	return Refusal{Status: http.StatusBadGateway, Reason: ReasonStopping, Err: toucanstop.ErrStopping}
}

// OfBody returns the refusal of a request whose body could not be read.
func OfBody(ctx context.Context, err error) *Refusal {
	switch {
	case toucanstop.HasEnded(ctx):
		r := Stopping(true)
		return &r
	case errors.Is(err, toucanbody.ErrTooLong):
		return New(http.StatusRequestEntityTooLarge, ReasonTooLarge, err)
	case ctx.Err() != nil:
		return New(http.StatusRequestTimeout, ReasonCallerSlow, err)
	}
	return New(http.StatusBadRequest, ReasonCallerLeft, err)
}

// OfPlacement returns the refusal for a request for which no endpoint could be reserved. mayHaveRun is true if an endpoint may have run
// an attempt. delay is the time after which the caller is to come back; zero if nothing is known of it.
func OfPlacement(ctx context.Context, err error, mayHaveRun bool, delay time.Duration) Refusal {
	switch {
	case errors.Is(err, toucanquarantine.ErrQuarantined), errors.Is(context.Cause(ctx), toucanquarantine.ErrQuarantined):
		return Quarantined()
	case toucanstop.HasEnded(ctx), errors.Is(err, toucanstop.ErrStopping):
		return Stopping(!mayHaveRun)
	case errors.Is(ctx.Err(), context.Canceled):
		return Refusal{Status: http.StatusBadGateway, Reason: ReasonCallerLeft, Err: err}
	case mayHaveRun || ctx.Err() != nil:
		return Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout, Err: err}
	case errors.Is(err, toucanplace.ErrTooLarge):
		return Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: err}
	case errors.Is(err, toucanplace.ErrEvacuated):
		return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonEvacuated, RetryAfter: retryAfterEvacuated, Err: err}
	case errors.Is(err, toucanplace.ErrNoTime):
		return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonHopeless, RetryAfter: max(delay, minReturn), Err: err}
	case errors.Is(err, toucanplace.ErrNoEndpoint):
		return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: RetryAfterFull, Err: err}
	}
	r := Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonFull, RetryAfter: max(RetryAfterFull, delay), Err: err}
	switch {
	case errors.Is(err, toucanplace.ErrDeferred):
		r.Reason = ReasonDeferred
	case errors.Is(err, toucanplace.ErrLimited):
		r.Reason = ReasonLimited
	case errors.Is(err, ErrNoRoomInTime):
		r.Reason = ReasonHopeless
	}
	return r
}

// Write writes the refusal to the caller.
func (r Refusal) Write(w http.ResponseWriter) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", formatRetryAfter(r.RetryAfter))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.Status)
}

// formatRetryAfter formats a duration in seconds, with three decimals, for the Retry-After header.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
