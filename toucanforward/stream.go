package toucanforward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanevent"
	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrefusal"
	"toucanport/toucanrelay"
	"toucanport/toucanstop"
	"toucanport/toucanupstream"
)

// errSentOnce means that a generation can't resume, since the body of its request was not kept.
var errSentOnce = errors.New("request can be sent only once")

// relay passes events on to the caller as they arrive. When the stream breaks because the generation was moved or its
// endpoint failed, relay resumes it at another endpoint. It panics with http.ErrAbortHandler if that is not possible.
func (s *Server) relay(ctx context.Context, j *job, a *answer) {
	g := s.generations.Begin(j.generationSpec(), a.reservation)
	defer s.generations.End(g)
	j.out.HoldHead(a.Answer)
	seen := toucanevent.New(toucanevent.WithMemory(j.buffers), toucanevent.WithLast(j.lastEvent))
	stream := toucanrelay.Stream{Writer: &j.out, Events: seen, Ends: s.pool, Resumable: j.route.CanResume()}
	resp, reservation := a.stream, a.reservation
	for {
		j.part = runningPart{server: s, job: j, Generation: g, reservation: reservation, seen: seen}
		err := stream.Pass(ctx, resp, reservation.Endpoint.Address, &j.part)
		resp.Close()
		if err == nil {
			s.recordFinished(j, a, reservation, g)
			return
		}
		if j.isBeyondEnd(err, seen) {
			reservation.Done(time.Now(), toucanplace.OutcomeGood)
			s.refuseBeyondEnd(j, reservation, err)
			return
		}
		if ctx.Err() == nil && !g.StopRequested() {
			s.watch.RecordBreak(&j.started, reservation.Endpoint, j.startedAt, seen.Count())
		}
		outcome := (&toucanrefusal.Failure{Err: err}).Outcome(ctx)
		if g.StopRequested() {
			outcome = toucanplace.OutcomeNeutral
		}
		j.releaseBroken = func() { reservation.Done(time.Now(), outcome) }
		next, nextReservation, resumeErr := s.resume(ctx, j, g, seen)
		if errors.Is(resumeErr, toucangeneration.ErrNotStopped) && errors.Is(err, io.EOF) && !seen.HasPartial() && toucanrelay.CheckEnd(ctx, s.pool, resp, reservation.Endpoint.Address) == nil {
			s.recordFinished(j, a, reservation, g)
			return
		}
		if errors.Is(resumeErr, toucangeneration.ErrNotStopped) {
			next, nextReservation, resumeErr = s.resendIfResumable(ctx, j, g, seen, newBrokenStream(time.Now(), reservation.Endpoint, err))
		}
		if resumeErr != nil {
			f := &toucanrefusal.Failure{Err: err}
			reservation.Done(time.Now(), f.Outcome(ctx))
			s.cutStream(ctx, j, reservation, seen, err, resumeErr)
			return
		}
		reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		resp, reservation = next, nextReservation
	}
}

// generationSpec returns the request's description for toucangeneration, which moves generations.
func (j *job) generationSpec() toucangeneration.Spec {
	return toucangeneration.Spec{
		ID:                j.ID,
		Prompt:            j.Prompt,
		Estimate:          j.demand.Output,
		Engine:            j.service.Engine,
		MaxFirstEventTime: j.route.Goal,
		MaxEventGap:       j.route.Gap,
		Arrived:           j.arrived,
		Placed:            j.placed,
		SentOnce:          !j.body.Whole(),
	}
}

// recordFinished releases the reservation of a stream that completed, records its length and logs it.
func (s *Server) recordFinished(j *job, a *answer, reservation *toucanplace.Reservation, g *toucangeneration.Generation) {
	j.out.WriteHead()
	reservation.Done(time.Now(), toucanplace.OutcomeGood)
	s.watch.RecordProven(&j.started)
	s.recordTimes(j)
	if !j.callerResumed() {
		s.estimates.observe(j.route.Name, j.Request, g.GeneratedTokens()) // Otherwise it made only the rest.
	}
	s.logAnswered(j, &answer{Answer: a.Answer, reservation: reservation, generation: g}, nil)
}

// cutStream logs a stream that can't be resumed. It aborts the caller's connection, so that the stream does not look complete, or
// refuses the request if nothing was passed on.
func (s *Server) cutStream(ctx context.Context, j *job, reservation *toucanplace.Reservation, seen *toucanevent.Parser, cause, resumeErr error) {
	msg := toucanlog.MsgStreamCut
	callerLeft := errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), toucanquarantine.ErrQuarantined) && !toucanstop.HasEnded(ctx)
	if callerLeft {
		msg = toucanlog.MsgCallerLeft
	}
	s.metrics.streamsCut.Inc(1)
	if seen.Count() == 0 {
		s.metrics.cutAtStart.Inc(1)
	}
	if s.isStopping() {
		s.metrics.cutWhileStopping.Inc(1)
	}
	s.metrics.workspace(j.workspace).cut.Inc(1)
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Endpoint, reservation.Endpoint.ID,
		toucanlog.Events, seen.Count(),
		toucanlog.LastEvent, seen.Last(),
		toucanlog.Cause, cause.Error(),
		toucanlog.NotResumed, resumeErr.Error(),
		toucanlog.TookMs, time.Since(j.arrived).Milliseconds(),
		toucanlog.Workspace, j.workspace,
		toucanlog.PromptParts, toucanquarantine.FormatParts(j.SharedParts),
	}
	s.log.Warn(msg, append(args, s.stopArgs(j)...)...)
	if j.out.HoldsHead() && !callerLeft {
		f := &toucanrefusal.Failure{Endpoint: reservation.Endpoint.ID, Err: cause}
		s.refuse(j, f.Refusal(ctx, j.maybeRun > 0, 0))
		return
	}
	j.out.Abort(j.in)
}

// runningPart is a generation while one endpoint makes a part of its stream. It implements toucanrelay.Generation.
type runningPart struct {
	*toucangeneration.Generation
	server      *Server
	job         *job
	reservation *toucanplace.Reservation
	seen        *toucanevent.Parser
}

// Passing updates the progress and the estimate of the generation.
func (p *runningPart) Passing() {
	s, j, events := p.server, p.job, p.seen.Count()
	s.watch.RecordEvents(&j.started, events)
	s.recordPace(j, p.reservation, events)
	if first, gap := p.Progress(events); first {
		p.reservation.MarkPromptRead()
		if j.firstEventAt.IsZero() {
			j.firstEventAt = time.Now()
		}
		s.metrics.firstEvent.RecordDuration(time.Since(j.arrived))
	} else {
		p.reservation.MarkPromptRead() // The endpoint of a stream that was sent again has read the prompt by its first event.
		s.metrics.betweenEvents.RecordDuration(gap)
	}
	p.UpdateEstimate(func(made int) int { return s.estimates.estimate(j.route.Name, j.Request, made) })
}

// resume opens the rest of a stream at the endpoint that the generation was moved to, or else at the one with its backup. If neither goes
// on with it, a resumable stream is sent again: that costs the reading of its prompt.
func (s *Server) resume(ctx context.Context, j *job, g *toucangeneration.Generation, seen *toucanevent.Parser) (*toucanupstream.Response, *toucanplace.Reservation, error) {
	if ctx.Err() != nil {
		return nil, nil, ctx.Err()
	}
	if !j.body.Whole() {
		return nil, nil, errSentOnce
	}
	brokenAt := time.Now()
	h, err := g.AwaitHandover(ctx)
	if errors.Is(err, toucangeneration.ErrNotStopped) {
		return nil, nil, err
	}
	if err == nil {
		s.limits.Spend(h.Reservation.Endpoint.Key())
		resp, reservation, err := s.resumeAt(ctx, j, g, h, seen)
		if err == nil || ctx.Err() != nil {
			return resp, reservation, err
		}
		if !errors.Is(err, errNotRun) {
			return s.resendIfResumable(ctx, j, g, seen, newBrokenStream(brokenAt, h.Reservation.Endpoint, err))
		}
	}
	if !s.watch.MayStartAgain(&j.started) {
		return nil, nil, toucanquarantine.ErrQuarantined
	}
	if s.placer.IsAvailable(g.Endpoint().ID) {
		s.lastBreak.Store(int64(brokenAt.Sub(s.started)))
	}
	h, err = s.handOverToBackup(ctx, j, g, brokenAt)
	if errors.Is(err, errNoBackup) {
		return s.resendIfResumable(ctx, j, g, seen, newBrokenStream(brokenAt, g.Endpoint(), err))
	}
	if err != nil {
		return nil, nil, err
	}
	s.limits.Spend(h.Reservation.Endpoint.Key())
	resp, reservation, err := s.resumeAt(ctx, j, g, h, seen)
	if err == nil || ctx.Err() != nil {
		return resp, reservation, err
	}
	return s.resendIfResumable(ctx, j, g, seen, newBrokenStream(brokenAt, h.Reservation.Endpoint, err))
}

// resumeAt opens the rest of a stream at the endpoint that the handover names. The error wraps errNotRun if the
// endpoint provably did not begin, so that the generation can be resumed at another one.
func (s *Server) resumeAt(ctx context.Context, j *job, g *toucangeneration.Generation, h toucangeneration.Handover, seen *toucanevent.Parser) (*toucanupstream.Response, *toucanplace.Reservation, error) {
	seen.NextEndpoint()
	h, err := s.redirect(j, g, h)
	if err != nil {
		return nil, nil, err
	}
	awaitColdTurn(ctx, h.Reservation)
	j.lateStops.End(h.Reservation.Endpoint.Address)
	sentAt := time.Now()
	j.startedAt = sentAt
	j.timer = eventTimer{}
	resp, err := s.send(ctx, j, h.Reservation, resumeFrom(h, seen))
	if err != nil {
		f := toucanrefusal.NewFailure(h.Reservation.Endpoint.ID, err)
		h.Reservation.Done(time.Now(), f.Outcome(ctx))
		if f.NotRun {
			err = notRunError{cause: err}
		}
		return nil, nil, err
	}
	headers := s.codec.Answer(resp.Status, resp.Header, j.ID)
	s.recordHints(h.Reservation.Endpoint, sentAt, headers)
	head := toucanrelay.Answer{Status: resp.Status, Header: resp.Header}
	if head.Status != http.StatusOK || !headers.Genuine || !headers.Named || !head.IsEventStream() || head.IsEncoded() {
		resp.Close()
		h.Reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		// After a second request, the refusal says nothing about the first one.
		return nil, nil, resumeError(h, resp.Status, headers.NotRun && !resp.Repeated)
	}
	g.ContinueAt(h.Reservation)
	s.metrics.resumed.Inc(1)
	msg := toucanlog.MsgStreamResumed
	if h.Handle == "" {
		msg = toucanlog.MsgStreamResent
	}
	s.log.Info(msg,
		toucanlog.RequestID, j.ID,
		toucanlog.Endpoint, h.Reservation.Endpoint.ID,
		toucanlog.From, h.Source,
		toucanlog.LastEvent, seen.Last(),
		toucanlog.Backup, h.Backup,
		toucanlog.PauseMs, time.Since(h.StoppedAt).Milliseconds(),
	)
	return resp, h.Reservation, nil
}

// resumeFrom returns the memory from which an endpoint continues a generation; nil if it reads the prompt again.
func resumeFrom(h toucangeneration.Handover, seen *toucanevent.Parser) *Resume {
	if h.Handle == "" {
		return nil
	}
	return &Resume{Source: h.Source, Handle: h.Handle, LastEvent: seen.Last()}
}

// notRunError is the error of a send of which nothing reached the endpoint. It wraps errNotRun and its cause.
type notRunError struct{ cause error }

// Error implements error.
func (e notRunError) Error() string { return e.cause.Error() }

// Unwrap returns the errors that e wraps.
func (e notRunError) Unwrap() []error { return []error{errNotRun, e.cause} }

// resumeError returns the error for an endpoint that did not resume a generation. It wraps errNotRun if the endpoint
// certainly did not run the request.
func resumeError(h toucangeneration.Handover, status int, notRun bool) error {
	err := errors.Errorf("endpoint %s did not resume the generation: status %d", h.Reservation.Endpoint.ID, status)
	if notRun {
		err = errors.Wrap(errNotRun, err.Error())
	}
	return err
}
