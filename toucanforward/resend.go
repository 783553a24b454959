package toucanforward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanevent"
	"toucanport/toucangeneration"
	"toucanport/toucanlatestop"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrefusal"
	"toucanport/toucanrelay"
	"toucanport/toucanupstream"
)

// errNotResent means that a broken stream is not sent again: its attempts, its time or the retry budget are used up.
var errNotResent = errors.New("stream may not be sent again")

// acceptLastEvent reads the id of the last event that the caller has, if the request's route lets callers resume streams. Other
// requests begin at the first event, whatever their callers say. The error is toucanevent.ErrID.
func (s *Server) acceptLastEvent(j *job) error {
	if !j.route.CanResume() || j.LastEvent == "" {
		return nil
	}
	id, err := toucanevent.ParseID(j.LastEvent)
	if err != nil {
		return err
	}
	j.lastEvent, j.logged = id, true
	s.metrics.callersResumed.Inc(1)
	s.log.Info(toucanlog.MsgCallerResumes,
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.LastEvent, id,
	)
	return nil
}

// callerResumed reports whether the request's caller has events of the stream from an earlier request.
func (j *job) callerResumed() bool { return j.route.CanResume() && j.LastEvent != "" }

// isBeyondEnd reports whether a stream broke because its caller says that it has an event that the stream does not reach. Another
// endpoint would not reach it either.
func (j *job) isBeyondEnd(err error, seen *toucanevent.Parser) bool {
	return errors.Is(err, toucanrelay.ErrBehind) && seen.Count() == 0 && j.out.HoldsHead()
}

// brokenStream is a stream that no endpoint continues from memory.
type brokenStream struct {
	brokenAt time.Time
	// cause is the error of the last attempt to continue it.
	cause error
	// source is the endpoint that may still run it; nil if none does.
	source *toucanplace.Endpoint
	// failure is that of the last endpoint.
	failure *toucanrefusal.Failure
}

// newBrokenStream returns the description of a stream after an endpoint did not go on with it.
func newBrokenStream(brokenAt time.Time, last toucanplace.Endpoint, err error) brokenStream {
	b := brokenStream{brokenAt: brokenAt, cause: err, failure: &toucanrefusal.Failure{
		Endpoint: last.ID,
		NotRun:   errors.Is(err, errNotRun),
		Unsent:   errors.Is(err, toucanupstream.ErrNotSent),
		Err:      err,
	}}
	if !b.failure.NotRun {
		b.source = &last
	}
	return b
}

// resend sends the request of a resumable stream again, to an endpoint that goes on after the last event that the caller has. The
// endpoint that may still run it is stopped first. It tries further endpoints as long as the request's attempts, its time and the retry
// budget allow.
func (s *Server) resend(ctx context.Context, j *job, g *toucangeneration.Generation, seen *toucanevent.Parser, b brokenStream) (*toucanupstream.Response, *toucanplace.Reservation, error) {
	for {
		j.lastEvent = seen.Last()
		if !s.waitForRetry(ctx, j, b.failure) {
			s.metrics.notResent.Inc(1)
			return nil, nil, errors.Wrap(errNotResent, b.cause.Error())
		}
		h, err := s.handOverAnew(ctx, j, b)
		if err != nil {
			s.metrics.notResent.Inc(1)
			return nil, nil, err
		}
		next := h.Reservation.Endpoint
		resp, reservation, err := s.resumeAt(ctx, j, g, h, seen)
		if err == nil {
			s.metrics.streamsResent.Inc(1)
			return resp, reservation, nil
		}
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
		b = newBrokenStream(b.brokenAt, next, err)
		if errors.Is(err, toucanupstream.ErrLost) {
			s.watch.RecordBreak(&j.started, next, j.startedAt, seen.Count())
		}
	}
}

// resendIfResumable calls resend for a stream of a route that allows it. Other streams end with the cause of the break.
func (s *Server) resendIfResumable(ctx context.Context, j *job, g *toucangeneration.Generation, seen *toucanevent.Parser, b brokenStream) (*toucanupstream.Response, *toucanplace.Reservation, error) {
	if !j.route.CanResume() {
		return nil, nil, b.cause
	}
	j.releaseBroken() // The request needs room at one endpoint only.
	j.tried[g.Endpoint().ID] = true
	if b.failure.NotRun {
		j.maybeRun++ // The endpoint whose stream broke has run it.
	}
	return s.resend(ctx, j, g, seen, b)
}

// handOverAnew reserves an endpoint for the rest of a broken stream and stops the endpoint that may still run it. If that one has copied
// its memory, the rest is resumed from it; otherwise the endpoint reads the prompt again.
func (s *Server) handOverAnew(ctx context.Context, j *job, b brokenStream) (toucangeneration.Handover, error) {
	reservation, err := s.place(ctx, j)
	if err != nil {
		return toucangeneration.Handover{}, err
	}
	h := toucangeneration.Handover{Reservation: reservation, StoppedAt: b.brokenAt}
	h.Source, h.Handle, err = s.stopBroken(ctx, j, b, reservation.Endpoint)
	if err == nil && !j.started.IsProven() && !s.begin(j) {
		err = toucanquarantine.ErrQuarantined
	}
	if err != nil {
		reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		return toucangeneration.Handover{}, err
	}
	return h, nil
}

// stopBroken stops a broken stream at the endpoint that may still run it. It returns the source and the handle of the memory that was
// copied to the target, or an empty handle. The error is toucanlatestop.ErrSourceRuns if the endpoint was reached and does not tell. Engines without
// moves are not asked; they end a generation when its connection is closed.
func (s *Server) stopBroken(ctx context.Context, j *job, b brokenStream, target toucanplace.Endpoint) (source, handle string, err error) {
	if b.source == nil {
		return "", "", nil
	}
	if e := j.service.Engine; e == nil || !e.Moves {
		return b.source.Address, "", nil
	}
	result, err := s.stopper.Stop(ctx, &j.lateStops, toucanlatestop.Broken{ID: j.ID, Source: *b.source, At: b.brokenAt}, target)
	if err != nil {
		return "", "", err
	}
	switch result.State {
	case toucangeneration.SourceStopped:
		return b.source.Address, result.Handle, nil
	case toucangeneration.SourceKeepsMemory:
		// The target has no room for the copy, and the prompt is read again.
		toucanlatestop.Drop(ctx, s.mover, b.source.Address, result.Handle, s.log)
	}
	return b.source.Address, "", nil
}

// lostAnswer returns the description of a request whose endpoint failed before its answer began and may still run it; nil if it does not.
func lostAnswer(e toucanplace.Endpoint, f *toucanrefusal.Failure) *brokenStream {
	if f.NotRun || errors.Is(f.Err, errEndpointFailed) {
		return nil
	}
	return &brokenStream{brokenAt: time.Now(), cause: f.Err, source: &e, failure: f}
}

// stopLost stops a request at the endpoint that lost its answer, before the reserved endpoint runs it from its beginning. On an error it has
// released the reservation, and the request must not run elsewhere.
func (s *Server) stopLost(ctx context.Context, j *job, lost *brokenStream, reservation *toucanplace.Reservation) error {
	j.lateStops.End(reservation.Endpoint.Address)
	if lost == nil {
		return nil
	}
	source, handle, err := s.stopBroken(ctx, j, *lost, reservation.Endpoint)
	if err != nil {
		reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		return err
	}
	if handle != "" {
		toucanlatestop.Drop(ctx, s.mover, source, handle, s.log) // The caller has nothing yet, so that nothing has to go on.
	}
	return nil
}

// hasEndpointFor reports whether an endpoint is left for another attempt. If the only one has broken a resumable stream, it may get the rest
// of it, once, as a connection can break while its endpoint is sound.
func (s *Server) hasEndpointFor(j *job) bool {
	if s.placer.HasEndpoint(j.service.Name, j.untried) {
		return true
	}
	if j.out.Written() == 0 || !j.route.CanResume() || j.plan.Attempts() > 1 {
		return false
	}
	clear(j.tried)
	return s.placer.HasEndpoint(j.service.Name, j.untried)
}

// refuseBeyondEnd refuses a request whose caller has an event that its stream does not reach.
func (s *Server) refuseBeyondEnd(j *job, reservation *toucanplace.Reservation, err error) {
	j.maybeRun++
	s.refuse(j, toucanrefusal.Refusal{Status: http.StatusBadRequest, Reason: toucanrefusal.ReasonLastEvent, Endpoint: reservation.Endpoint.ID, Err: err})
}
