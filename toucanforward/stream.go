package toucanforward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrun"
	"toucanport/toucanupstream"
)

const (
	relayBuffer = 8 << 10
)

var (
	errGap     = errors.New("events are missing")
	errPartial = errors.New("stream ended inside an event")
)

// relay passes events on as they come, from one endpoint after the other when the generation is moved.
func (s *Server) relay(ctx context.Context, j *job, a *answer) {
	r := s.runs.Begin(j.run(), a.claim)
	defer s.runs.End(r)
	j.w.Header().Del("Content-Length")
	j.w.WriteHeader(a.status)
	var seen events
	x, claim := a.stream, a.claim
	for {
		err := s.relayFrom(ctx, j, r, claim, x, &seen)
		x.Close()
		if err == nil {
			s.finished(j, a, claim, r)
			return
		}
		next, nextClaim, resumeErr := s.resume(ctx, j, r, &seen)
		if errors.Is(resumeErr, toucanrun.ErrNotStopped) && errors.Is(err, io.EOF) && len(seen.pending) == 0 {
			s.finished(j, a, claim, r)
			return
		}
		if resumeErr != nil {
			f := &failure{err: err}
			claim.Done(time.Now(), f.outcome(ctx))
			s.cut(ctx, j, claim, &seen, err, resumeErr)
		}
		claim.Done(time.Now(), toucanplace.OutcomeNeutral)
		x, claim = next, nextClaim
	}
}

// run describes the request as a generation.
func (j *job) run() toucanrun.Spec {
	return toucanrun.Spec{
		ID:       j.ID,
		Prompt:   j.Prompt,
		Forecast: j.demand.Output,
		Engine:   j.service.Engine,
		Goal:     j.route.Goal,
		Gap:      j.route.Gap,
		Arrived:  j.arrived,
		Placed:   j.placed,
	}
}

// finished notes that a stream came to its own end.
func (s *Server) finished(j *job, a *answer, claim *toucanplace.Claim, r *toucanrun.Run) {
	claim.Done(time.Now(), toucanplace.OutcomeGood)
	s.lengths.observe(j.route.Name, j.Request, r.Made())
	s.answeredLine(j, &answer{status: a.status, claim: claim, run: r}, nil)
}

// cut ends a stream that can't go on, so that it does not look complete.
func (s *Server) cut(ctx context.Context, j *job, claim *toucanplace.Claim, seen *events, cause, resumeErr error) {
	msg := toucanlog.MsgStreamCut
	if errors.Is(ctx.Err(), context.Canceled) && !s.closing.Load() {
		msg = toucanlog.MsgCallerLeft
	}
	s.metrics.streamsCut.Inc(1)
	s.metrics.workspace(j.workspace).cut.Inc(1)
	s.log.Warn(msg,
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Endpoint, claim.Endpoint.ID,
		toucanlog.Events, seen.count,
		toucanlog.LastEvent, seen.last,
		toucanlog.Cause, cause.Error(),
		toucanlog.NotResumed, resumeErr.Error(),
		toucanlog.TookMs, time.Since(j.arrived).Milliseconds(),
	)
	panic(http.ErrAbortHandler)
}

// relayFrom passes on one endpoint's part of a stream. It returns nil at the stream's own end.
func (s *Server) relayFrom(ctx context.Context, j *job, r *toucanrun.Run, claim *toucanplace.Claim, x *toucanupstream.Exchange, seen *events) error {
	flusher := http.NewResponseController(j.w)
	buf := make([]byte, relayBuffer)
	for {
		n, readErr := x.Body.Read(buf)
		if n > 0 {
			whole, gap := seen.take(buf[:n])
			if err := s.pass(j, r, claim, flusher, whole, seen); err != nil {
				return err
			}
			if gap {
				return errGap
			}
		}
		if readErr == nil {
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(readErr, io.EOF) || !x.Framed && r.Stopped() {
			return readErr
		}
		if len(seen.pending) > 0 {
			return errPartial
		}
		return nil
	}
}

// pass hands whole events to the caller.
func (s *Server) pass(j *job, r *toucanrun.Run, claim *toucanplace.Claim, flusher *http.ResponseController, whole []byte, seen *events) error {
	if len(whole) == 0 {
		return nil
	}
	if first, gap := r.Progress(seen.count); first {
		claim.Began()
		s.metrics.firstEvent.RecordDuration(time.Since(j.arrived))
	} else {
		s.metrics.betweenEvents.RecordDuration(gap)
	}
	r.Grow(func(made int) int { return s.lengths.forecast(j.route.Name, j.Request, made) })
	if _, err := j.w.Write(whole); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(flusher.Flush(), "write to the caller")
}

// resume opens the rest of a stream where its generation was moved to, or else where its backup is.
func (s *Server) resume(ctx context.Context, j *job, r *toucanrun.Run, seen *events) (*toucanupstream.Exchange, *toucanplace.Claim, error) {
	if ctx.Err() != nil {
		return nil, nil, ctx.Err()
	}
	cutAt := time.Now()
	h, err := r.AwaitHandover(ctx)
	if errors.Is(err, toucanrun.ErrNotStopped) {
		return nil, nil, err
	}
	if err == nil {
		x, claim, err := s.resumeAt(ctx, j, r, h, seen)
		if err == nil || ctx.Err() != nil || !errors.Is(err, errNotRun) {
			return x, claim, err
		}
	}
	if s.book.Staying(r.Endpoint().ID) {
		s.brokeAfter.Store(int64(cutAt.Sub(s.started)))
	}
	h, err = s.revive(ctx, j, r, cutAt)
	if err != nil {
		return nil, nil, err
	}
	return s.resumeAt(ctx, j, r, h, seen)
}

// resumeAt opens the rest of a stream at one place. The error is errNotRun on proof that the endpoint did nothing, so that
// the run may go on elsewhere.
func (s *Server) resumeAt(ctx context.Context, j *job, r *toucanrun.Run, h toucanrun.Handover, seen *events) (*toucanupstream.Exchange, *toucanplace.Claim, error) {
	seen.restart()
	x, err := s.send(ctx, j, h.Claim, &Resume{Source: h.Source, Handle: h.Handle, LastEvent: seen.last})
	if err != nil {
		f := newFailure(h.Claim, err)
		h.Claim.Done(time.Now(), f.outcome(ctx))
		if f.notRun {
			err = errors.Wrap(errNotRun, err.Error())
		}
		return nil, nil, err
	}
	told := s.codec.Answer(x.Status, x.Header, j.ID)
	if x.Status != http.StatusOK || !told.Genuine || !told.Named || !isEventStream(x.Header) {
		x.Close()
		h.Claim.Done(time.Now(), toucanplace.OutcomeNeutral)
		return nil, nil, notResumed(h, x.Status, told)
	}
	r.MoveTo(h.Claim)
	s.metrics.resumed.Inc(1)
	s.log.Info(toucanlog.MsgStreamResumed,
		toucanlog.RequestID, j.ID,
		toucanlog.Endpoint, h.Claim.Endpoint.ID,
		toucanlog.From, h.Source,
		toucanlog.LastEvent, seen.last,
		toucanlog.Backup, h.Backup,
		toucanlog.PauseMs, time.Since(h.StoppedAt).Milliseconds(),
	)
	return x, h.Claim, nil
}

// notResumed is the error of an endpoint that does not go on with a run.
func notResumed(h toucanrun.Handover, status int, told Answer) error {
	err := errors.Errorf("endpoint %s does not go on: status %d", h.Claim.Endpoint.ID, status)
	if told.NotRun {
		err = errors.Wrap(errNotRun, err.Error())
	}
	return err
}
