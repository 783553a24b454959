package toucanforward

import (
	"context"
	"net/http"
	"time"

	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrefusal"
	"toucanport/toucanrelay"
	"toucanport/toucanupstream"
)

// answer is an endpoint's answer that is passed on to the caller.
type answer struct {
	toucanrelay.Answer
	// body is the whole body, or its first part if rest is set.
	body []byte
	// rest is the unread remainder of a body longer than toucanrelay.MaxBuffered; nil for other bodies.
	rest *toucanupstream.Response
	// stream is the response with an event stream; body and rest are then unset.
	stream *toucanupstream.Response
	// reservation is the capacity reserved at the endpoint. It stays open while rest or stream is being read.
	reservation *toucanplace.Reservation
	// generation is set only for a stream that has ended, for the log.
	generation *toucangeneration.Generation
}

// deliver writes an answer to the caller. It panics with http.ErrAbortHandler if a long body or a stream is cut.
func (s *Server) deliver(ctx context.Context, j *job, a *answer) {
	if a.stream != nil {
		s.relay(ctx, j, a)
		return
	}
	if a.rest != nil {
		s.deliverLong(ctx, j, a)
		return
	}
	s.logAnswered(j, a, j.out.WriteWhole(a.Answer, a.body))
}

// deliverLong writes a body that is longer than toucanrelay.MaxBuffered. If the body ends early, it aborts the caller's
// connection, so that the answer does not look complete.
func (s *Server) deliverLong(ctx context.Context, j *job, a *answer) {
	err := j.out.WriteLong(a.Answer, a.body, a.rest.Body)
	if err == nil {
		err = toucanrelay.CheckEnd(ctx, s.pool, a.rest, a.reservation.Endpoint.Address)
	}
	a.rest.Close()
	if err != nil {
		a.reservation.Done(time.Now(), (&toucanrefusal.Failure{Err: err}).Outcome(ctx))
		args := []any{
			toucanlog.RequestID, j.ID,
			toucanlog.Endpoint, a.reservation.Endpoint.ID,
			toucanlog.Cause, err.Error(),
		}
		s.log.Warn(toucanlog.MsgStreamCut, append(args, s.stopArgs(j)...)...)
		j.out.Abort(j.in)
	}
	a.reservation.Done(time.Now(), toucanplace.OutcomeGood)
	s.logAnswered(j, a, nil)
}

// logAnswered records the metrics of an answered request and logs it. Plain successes are sampled.
func (s *Server) logAnswered(j *job, a *answer, err error) {
	took := time.Since(j.arrived)
	s.metrics.answered(j.route.Kind, j.workspace, a.Status, took)
	late := a.generation != nil && a.generation.Late()
	if late {
		s.metrics.streamsLate.Inc(1)
	}
	plain := a.generation == nil && a.Status < http.StatusInternalServerError && !j.logged
	if err == nil && plain && !j.sampled() {
		return
	}
	msg := toucanlog.MsgRequestAnswered
	if a.Status >= http.StatusInternalServerError {
		msg = toucanlog.MsgRequestFailed
	}
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.Endpoint, a.reservation.Endpoint.ID,
		toucanlog.Status, a.Status,
		toucanlog.Attempts, j.plan.Attempts(),
		toucanlog.TookMs, took.Milliseconds(),
		toucanlog.SettingsVersion, j.version,
	}
	if a.generation != nil {
		args = append(append(args, toucanlog.Late, late), a.generation.LogArgs()...)
	}
	if err != nil {
		args = append(args, toucanlog.Cause, err.Error())
	}
	s.log.Info(msg, append(args, s.stopArgs(j)...)...)
}
