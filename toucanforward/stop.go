package toucanforward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
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
	stop stopTimes
}

// stopTimes are the times of a server's stop.
type stopTimes struct {
	// began is zero unless the server stops.
	began time.Time
	// until is when the last requests end; zero for no bound.
	until time.Time
	// arrivals is when the last new connection of a caller can arrive.
	arrivals time.Time
}

// hasBegun reports whether the server stops.
func (t stopTimes) hasBegun() bool { return !t.began.IsZero() }

// admission is the reason for which a server that stops sends a request to an endpoint.
type admission string

const (
	// admittedNoBound: the stop has no bound.
	admittedNoBound admission = "noBound"
	// admittedDeadline: the request's deadline is before the end of the stop.
	admittedDeadline admission = "deadline"
	// admittedPace: the request ends before the end of the stop if it is on time, and its caller can't know of the stop.
	admittedPace admission = "pace"
)

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

// stopTimes returns the times of the server's stop.
func (a *activeRequests) stopTimes() stopTimes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop
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

// Stop describes the stop of a server.
type Stop struct {
	// Began is when the stop began.
	Began time.Time
	// Arrivals is how long after it new connections of callers can still arrive.
	Arrivals time.Duration
	// End is when the server ends; zero for no bound. Shortly before it, EndRequests must be called.
	End time.Time
}

// BeginStop makes the server close each caller's connection after its next answer and refuse the requests that can't end
// before the end of the stop.
func (s *Server) BeginStop(stop Stop) {
	s.active.mu.Lock()
	defer s.active.mu.Unlock()
	s.active.stop = stopTimes{began: stop.Began, arrivals: stop.Began.Add(stop.Arrivals)}
	if !stop.End.IsZero() {
		s.active.stop.until = stop.End.Add(-stopMargin)
		s.generations.SetEnd(s.active.stop.until)
	}
}

// StopsRequestsAt returns when EndRequests is due; zero for never.
func (s *Server) StopsRequestsAt() time.Time {
	return s.active.stopTimes().until
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
	return s.active.stopTimes().hasBegun()
}

// canEnd reports whether a request may be sent to an endpoint now, as it ends before the server does.
func (s *Server) canEnd(j *job) bool {
	stop := s.active.stopTimes()
	if !stop.hasBegun() {
		return true
	}
	j.logged = true
	j.admission = stop.admit(time.Now(), j)
	return j.admission != ""
}

// admit returns why a request may be sent to an endpoint at a time during the stop; empty if it may not. An endpoint can take any time, so
// that only a deadline makes sure that the request ends. While callers can't know of the stop, it is enough that the request ends
// in time if it is on time, unless it runs at most once.
func (t stopTimes) admit(now time.Time, j *job) admission {
	switch {
	case t.until.IsZero():
		return admittedNoBound
	case !j.deadline.After(t.until):
		return admittedDeadline
	case j.route.Kind == toucantraffic.AtMostOnce, now.After(t.arrivals):
		return ""
	}
	if onTime := j.timeOnTime(); onTime > 0 && !now.Add(onTime).After(t.until) {
		return admittedPace
	}
	return ""
}

// timeOnTime returns how long a request takes at its endpoint if it is on time; zero if that is not known.
func (j *job) timeOnTime() time.Duration {
	onTime := j.route.Goal
	if j.route.Kind == toucantraffic.Stream {
		gap := j.route.Gap
		if gap == 0 {
			gap = defaultGap
		}
		onTime += time.Duration(j.events()) * gap
	}
	return onTime
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

// stopArgs returns the log fields of a request that place it in the server's stop, in time since the stop began: when it was read and
// when it was sent to an endpoint. They are nil unless the server stops.
func (s *Server) stopArgs(j *job) []any {
	stop := s.active.stopTimes()
	if !stop.hasBegun() {
		return nil
	}
	args := []any{
		toucanlog.StopMs, time.Since(stop.began).Milliseconds(),
		toucanlog.ArrivedMs, j.arrived.Sub(stop.began).Milliseconds(),
		toucanlog.WrittenBytes, j.out.Written(),
	}
	if !j.startedAt.IsZero() {
		args = append(args, toucanlog.SentMs, j.startedAt.Sub(stop.began).Milliseconds())
	}
	if j.admission != "" {
		args = append(args, toucanlog.Admitted, string(j.admission))
	}
	return args
}

// logTaken logs that a request is sent to an endpoint while the server stops, and by when it should end.
func (s *Server) logTaken(j *job, endpoint string) {
	stop := s.active.stopTimes()
	if !stop.hasBegun() {
		return
	}
	s.metrics.takenWhileStopping.Inc(1)
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Endpoint, endpoint,
		toucanlog.ExpectedMs, j.timeOnTime().Milliseconds(),
		toucanlog.DeadlineMs, j.deadline.Sub(stop.began).Milliseconds(),
	}
	s.log.Info(toucanlog.MsgTakenWhileStopping, append(args, s.stopArgs(j)...)...)
}
