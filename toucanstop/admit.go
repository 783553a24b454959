// Package toucanstop decides which requests a server that stops still sends to endpoints, and ends those in progress when its time is up.
package toucanstop

import (
	"time"

	"toucanport/toucantraffic"
)

const (
	// margin is the time from the end of the last requests to the end of a stop, in which their answers are written.
	margin = 200 * time.Millisecond
	// defaultGap is the time between two events of a stream on a route that states none.
	defaultGap = 100 * time.Millisecond
)

// Stop describes the stop of a server.
type Stop struct {
	// Began is when the stop began.
	Began time.Time
	// Arrivals is how long after it new connections of callers can still arrive.
	Arrivals time.Duration
	// End is when the server ends; zero for no bound.
	End time.Time
}

// Times returns the times of the stop.
func (s Stop) Times() Times {
	t := Times{Began: s.Began, Arrivals: s.Began.Add(s.Arrivals)}
	if !s.End.IsZero() {
		t.Until = s.End.Add(-margin)
	}
	return t
}

// Times are the times of a server's stop.
type Times struct {
	// Began is zero unless the server stops.
	Began time.Time
	// Until is when the last requests end; zero for no bound.
	Until time.Time
	// Arrivals is when the last new connection of a caller can arrive.
	Arrivals time.Time
}

// HasBegun reports whether the server stops.
func (t Times) HasBegun() bool { return !t.Began.IsZero() }

// Admission is the reason for which a server that stops sends a request to an endpoint.
type Admission string

const (
	// AdmittedNoBound means that the stop has no bound.
	AdmittedNoBound Admission = "noBound"
	// AdmittedDeadline means that the request's deadline is before the end of the stop.
	AdmittedDeadline Admission = "deadline"
	// AdmittedPace means that the request ends before the end of the stop if it is on time, and its caller can't know of the stop.
	AdmittedPace Admission = "pace"
)

// Request is what a request is admitted by.
type Request struct {
	Kind     toucantraffic.Kind
	Deadline time.Time
	// Expected is how long the request takes at its endpoint if it is on time; zero if that is not known.
	Expected time.Duration
}

// Admit returns why a request may be sent to an endpoint at a time during the stop; empty if it may not. An endpoint can take any time, so
// that only a deadline makes sure that the request ends. While callers can't know of the stop, it is enough that the request ends
// in time if it is on time, unless it runs at most once.
func (t Times) Admit(now time.Time, r Request) Admission {
	switch {
	case t.Until.IsZero():
		return AdmittedNoBound
	case !r.Deadline.After(t.Until):
		return AdmittedDeadline
	case r.Kind == toucantraffic.AtMostOnce, now.After(t.Arrivals):
		return ""
	}
	if r.Expected > 0 && !now.Add(r.Expected).After(t.Until) {
		return AdmittedPace
	}
	return ""
}

// Expected returns how long a request takes at its endpoint if it is on time; zero if that is not known. Its output is estimated in
// tokens. engine is nil for a plain service.
func Expected(route toucantraffic.Route, engine *toucantraffic.Engine, output int) time.Duration {
	if route.Kind != toucantraffic.Stream {
		return route.Goal
	}
	gap := route.Gap
	if gap == 0 {
		gap = defaultGap
	}
	return route.Goal + time.Duration(events(engine, output))*gap
}

// events returns the estimated number of events of a stream.
func events(engine *toucantraffic.Engine, output int) int {
	tokens := max(output, 1)
	if engine != nil && engine.TokensPerEvent > 1 {
		return (tokens + engine.TokensPerEvent - 1) / engine.TokensPerEvent
	}
	return tokens
}
