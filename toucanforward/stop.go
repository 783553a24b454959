package toucanforward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucantraffic"
)

const (
	// retryAfterStopping is the Retry-After value of an entry that stops. Callers come back on a new connection, which
	// reaches another entry.
	retryAfterStopping = 100 * time.Millisecond
	// stopMargin is the time from the end of the last requests to the end of a stop, in which their answers are written.
	stopMargin = 200 * time.Millisecond
	// defaultGap is the time between two events of a stream on a route that states none.
	defaultGap = 100 * time.Millisecond
)

// errStopping means that the entry stops before the request can end.
var errStopping = errors.New("the entry stops before the request can end")

// activeRequests holds the requests that callers wait for, and the end of the stop once the server stops. It is safe for
// concurrent use.
type activeRequests struct {
	mu   sync.Mutex
	jobs map[*job]struct{}
	// stopping is true once the server stops. until is when its last requests end; zero for no bound.
	stopping bool
	until    time.Time
}

func (a *activeRequests) add(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs == nil {
		a.jobs = make(map[*job]struct{})
	}
	a.jobs[j] = struct{}{}
}

func (a *activeRequests) remove(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, j)
}

// setReading records whether the body of a request is being read.
func (a *activeRequests) setReading(j *job, reading bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j.reading = reading
}

// stop returns when the last requests end, and whether the server stops at all. A zero time is no bound.
func (a *activeRequests) stop() (until time.Time, stopping bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.until, a.stopping
}

// endAll ends the requests: each gets the answer that is true for it, and streams are cut.
func (a *activeRequests) endAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for j := range a.jobs {
		j.cancel(errStopping)
		if j.reading {
			_ = http.NewResponseController(j.w).SetReadDeadline(time.Now()) // Otherwise the caller gets no answer.
		}
	}
}

// BeginStop makes the server close each caller's connection after its next answer and refuse the requests that can't end
// before the end of the stop. Shortly before it, EndRequests must be called. A zero end is no bound.
func (s *Server) BeginStop(end time.Time) {
	s.active.mu.Lock()
	defer s.active.mu.Unlock()
	s.active.stopping = true
	if !end.IsZero() {
		s.active.until = end.Add(-stopMargin)
	}
}

// StopsRequestsAt returns when EndRequests is due; zero for never.
func (s *Server) StopsRequestsAt() time.Time {
	until, _ := s.active.stop()
	return until
}

// EndRequests ends the requests that are in progress: each gets the answer that is true for it, and streams are cut.
func (s *Server) EndRequests() { s.active.endAll() }

// InProgress returns the number of requests that callers wait for.
func (s *Server) InProgress() int {
	s.active.mu.Lock()
	defer s.active.mu.Unlock()
	return len(s.active.jobs)
}

// isStopping reports whether the server stops.
func (s *Server) isStopping() bool {
	_, stopping := s.active.stop()
	return stopping
}

// canEnd reports whether a request that is sent to an endpoint now ends before the server stops: certainly, by its
// deadline, or, unless it runs at most once, if it is on time.
func (s *Server) canEnd(j *job) bool {
	until, stopping := s.active.stop()
	if !stopping || until.IsZero() || !j.deadline.After(until) {
		return true
	}
	if j.route.Kind == toucantraffic.AtMostOnce {
		return false
	}
	onTime := j.route.Goal
	if j.route.Kind == toucantraffic.Stream {
		gap := j.route.Gap
		if gap == 0 {
			gap = defaultGap
		}
		onTime += time.Duration(j.events()) * gap
	}
	return onTime > 0 && !time.Now().Add(onTime).After(until)
}

// events returns the estimated number of events of a stream.
func (j *job) events() int {
	tokens := max(j.demand.Output, 1)
	if e := j.service.Engine; e != nil && e.TokensPerEvent > 1 {
		return (tokens + e.TokensPerEvent - 1) / e.TokensPerEvent
	}
	return tokens
}

// stopRefusal returns the refusal of a request that can't end before the server stops. Only one that certainly did not run
// may come back.
func stopRefusal(j *job, notRun bool) refusal {
	if notRun && j.maybeRun == 0 {
		return refusal{status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterStopping, err: errStopping}
	}
	return refusal{status: http.StatusBadGateway, reason: reasonStopping, err: errStopping}
}

// endedByStop reports whether a request was ended because the server stops.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
