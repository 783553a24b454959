package toucanforward

import (
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanstop"
)

// BeginStop makes the server close each caller's connection after its next answer and refuse the requests that can't end
// before the end of the stop.
func (s *Server) BeginStop(stop toucanstop.Stop) {
	times := stop.Times()
	s.active.Begin(times)
	if !times.Until.IsZero() {
		s.generations.SetEnd(times.Until)
	}
}

// StopsRequestsAt returns when EndRequests is due; zero for never.
func (s *Server) StopsRequestsAt() time.Time { return s.active.Times().Until }

// EndRequests ends the requests that are in progress: each gets the answer that is true for it, and streams are cut.
func (s *Server) EndRequests() { s.active.EndAll() }

// InProgress returns the number of requests that callers wait for.
func (s *Server) InProgress() int { return s.active.Len() }

// isStopping reports whether the server stops.
func (s *Server) isStopping() bool { return s.active.Times().HasBegun() }

// canEnd reports whether a request may be sent to an endpoint now, as it ends before the server does.
func (s *Server) canEnd(j *job) bool {
	stop := s.active.Times()
	if !stop.HasBegun() {
		return true
	}
	j.logged = true
	j.admission = stop.Admit(time.Now(), toucanstop.Request{Kind: j.route.Kind, Deadline: j.deadline, Expected: j.timeOnTime()})
	return j.admission != ""
}

// timeOnTime returns how long a request takes at its endpoint if it is on time; zero if that is not known.
func (j *job) timeOnTime() time.Duration {
	return toucanstop.Expected(j.route, j.service.Engine, j.demand.Output)
}

// stopArgs returns the log fields of a request that place it in the server's stop, in time since the stop began: when it was read and
// when it was sent to an endpoint. They are nil unless the server stops.
func (s *Server) stopArgs(j *job) []any {
	stop := s.active.Times()
	if !stop.HasBegun() {
		return nil
	}
	args := []any{
		toucanlog.StopMs, time.Since(stop.Began).Milliseconds(),
		toucanlog.ArrivedMs, j.arrived.Sub(stop.Began).Milliseconds(),
		toucanlog.WrittenBytes, j.out.Written(),
	}
	if !j.startedAt.IsZero() {
		args = append(args, toucanlog.SentMs, j.startedAt.Sub(stop.Began).Milliseconds())
	}
	if j.admission != "" {
		args = append(args, toucanlog.Admitted, string(j.admission))
	}
	return args
}

// logTaken logs that a request is sent to an endpoint while the server stops, and by when it should end.
func (s *Server) logTaken(j *job, endpoint string) {
	stop := s.active.Times()
	if !stop.HasBegun() {
		return
	}
	s.metrics.takenWhileStopping.Inc(1)
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Endpoint, endpoint,
		toucanlog.ExpectedMs, j.timeOnTime().Milliseconds(),
		toucanlog.DeadlineMs, j.deadline.Sub(stop.Began).Milliseconds(),
	}
	s.log.Info(toucanlog.MsgTakenWhileStopping, append(args, s.stopArgs(j)...)...)
}
