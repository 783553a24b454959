package toucanforward

import (
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanpace"
	"toucanport/toucanplace"
)

// eventTimer measures the time between events of one stream for what is learned of its endpoint's pace.
type eventTimer struct {
	// endpoint is the ID of the endpoint that made the last event; empty before the first one.
	endpoint string
	// at is when the last event arrived, and events the number of events until then.
	at     time.Time
	events int
	// unread is the number of tokens of prompts that the endpoint had not read then.
	unread int
}

// next records that events have arrived from an endpoint. ok is false if the time since the last event tells nothing: for the first
// event from the endpoint, and if a prompt was read during a part of the time.
func (t *eventTimer) next(now time.Time, endpoint string, events, unread int) (took time.Duration, made int, ok bool) {
	last := *t
	*t = eventTimer{endpoint: endpoint, at: now, events: events, unread: unread}
	if last.endpoint != endpoint || (last.unread > 0) != (unread > 0) {
		return 0, 0, false
	}
	return now.Sub(last.at), events - last.events, true
}

// recordPace records the time that an endpoint took for the newest events of a stream with a bound on its pauses, or for the first
// event.
func (s *Server) recordPace(j *job, reservation *toucanplace.Reservation, events int) {
	if j.route.Gap <= 0 || j.timer.events == events {
		return
	}
	now := time.Now()
	e := reservation.Endpoint
	if j.firstEventAt.IsZero() {
		j.firstEventAt = now
		s.paces.ObserveRead(now, e.Key(), now.Sub(j.startedAt), reservation.Choice.Unread+j.Prompt)
	}
	load := s.placer.LoadOf(now, e.ID)
	if gap := now.Sub(j.lastEventAt); !j.lastEventAt.IsZero() && gap > j.route.Gap && !j.pauseLogged {
		j.pauseLogged = true
		s.logPause(j, e, gap, load)
	}
	j.lastEventAt = now
	if took, made, ok := j.timer.next(now, e.ID, events, load.Unread); ok {
		s.paces.Observe(now, e.Key(), took, made, load.Unread > 0)
	}
}

// newPaces returns the learner of a configuration, or one that no one else uses.
func newPaces(l *toucanpace.Learner) *toucanpace.Learner {
	if l == nil {
		return toucanpace.New()
	}
	return l
}

// paceArgs returns key-value pairs for the log that describe how the pace of endpoints decided; none if they are not uneven.
func paceArgs(c toucanplace.PaceChoice) []any {
	if !c.Uneven {
		return nil
	}
	return []any{
		toucanlog.PaceCost, roundCost(c.Cost),
		toucanlog.PauseForecastMs, c.Pause.Milliseconds(),
		toucanlog.PauseBoundMs, c.Bound.Milliseconds(),
		toucanlog.Exposed, c.Exposed,
		toucanlog.FirstForecastMs, c.FirstEvent.Milliseconds(),
	}
}

// goalLeft returns the time that is left for a first event on time; zero if the route has no goal or it is missed.
func (j *job) goalLeft(now time.Time) time.Duration {
	if j.route.Goal <= 0 {
		return 0
	}
	return max(j.arrived.Add(j.route.Goal).Sub(now), 0)
}

// isMovable reports whether the generation can be moved after its first event.
func (j *job) isMovable() bool {
	e := j.service.Engine
	return e != nil && e.Moves && j.body.Whole()
}

// logPause logs the first pause of a stream that is longer than its route's bound.
func (s *Server) logPause(j *job, e toucanplace.Endpoint, gap time.Duration, load toucanplace.Use) {
	s.metrics.longPauses.Inc(1)
	forecast, known := s.paces.Forecast(time.Now(), e.Key())
	s.log.Info(toucanlog.MsgLongPause,
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Endpoint, e.ID,
		toucanlog.PauseMs, gap.Milliseconds(),
		toucanlog.PauseBoundMs, j.route.Gap.Milliseconds(),
		toucanlog.PauseForecastMs, forecast.Pause.Milliseconds(),
		toucanlog.PaceKnown, known,
		toucanlog.SameEndpoint, j.timer.endpoint == e.ID,
		toucanlog.Events, j.timer.events,
		toucanlog.Requests, load.Requests,
		toucanlog.Unread, load.Unread,
		toucanlog.UnreadBefore, j.timer.unread,
		toucanlog.Exposed, load.Exposed,
	)
}
