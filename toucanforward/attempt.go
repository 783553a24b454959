package toucanforward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanheader"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrefusal"
	"toucanport/toucanrelay"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
)

var (
	errNotRun         = errors.New("endpoint did not run the request")
	errNotGenuine     = errors.New("answer is not the endpoint's own")
	errEncoded        = errors.New("answer has a Content-Encoding")
	errEndpointFailed = errors.New("endpoint answered with a failure")
)

// attempt sends the request to a reserved endpoint. It returns an answer to deliver or a failure, or both if the endpoint answered with
// a 5xx status: that answer is delivered if no retry succeeds. It has released the reservation unless the answer is a stream or is not
// read to its end yet.
func (s *Server) attempt(ctx context.Context, j *job, reservation *toucanplace.Reservation) (*answer, *toucanrefusal.Failure) {
	if !s.begin(j) {
		reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		return nil, &toucanrefusal.Failure{Endpoint: reservation.Endpoint.ID, NotRun: true, Unsent: true, Err: toucanquarantine.ErrQuarantined}
	}
	s.logTaken(j, reservation.Endpoint.ID)
	sentAt := time.Now()
	resp, err := s.send(ctx, j, reservation, nil)
	if err != nil {
		f := toucanrefusal.NewFailure(reservation.Endpoint.ID, err)
		reservation.Done(time.Now(), f.Outcome(ctx))
		if !f.Unsent && ctx.Err() == nil {
			s.watch.RecordBreak(&j.started, reservation.Endpoint, j.startedAt, 0)
		}
		return nil, f
	}
	headers := s.codec.Answer(resp.Status, resp.Header, j.ID)
	s.recordHints(reservation.Endpoint, sentAt, headers)
	if headers.NotRun {
		resp.Close()
		reservation.Done(time.Now(), toucanplace.OutcomeFailed)
		return nil, &toucanrefusal.Failure{Endpoint: reservation.Endpoint.ID, NotRun: true, Err: errNotRun}
	}
	head := toucanrelay.Answer{Status: resp.Status, Header: resp.Header}
	if err := checkStream(headers, head); err != nil {
		resp.Close()
		reservation.Done(time.Now(), toucanplace.OutcomeFailed)
		return nil, &toucanrefusal.Failure{Endpoint: reservation.Endpoint.ID, Err: err}
	}
	if resp.Status == http.StatusOK && j.route.Kind == toucantraffic.Stream && head.IsEventStream() {
		return &answer{Answer: head, stream: resp, reservation: reservation}, nil
	}
	return s.readAnswer(ctx, j, reservation, resp, headers)
}

// begin records that an attempt begins. It returns false if the request must not be sent to an engine.
func (s *Server) begin(j *job) bool {
	j.startedAt = time.Now()
	return s.watch.Begin(&j.started)
}

// recordHints applies what an endpoint's answer to a request that was sent at sentAt says about further requests: how long
// it wants none, that it drains, and how many a second it takes.
func (s *Server) recordHints(e toucanplace.Endpoint, sentAt time.Time, headers Answer) {
	s.recordLimit(e, sentAt, headers)
	if headers.RetryAfter > 0 {
		s.placer.Defer(time.Now(), e.ID, headers.RetryAfter)
		s.log.Info(toucanlog.MsgEndpointDeferred,
			toucanlog.Endpoint, e.ID,
			toucanlog.Service, e.Service,
			toucanlog.LeftMs, headers.RetryAfter.Milliseconds(),
		)
	}
	if headers.Cold > 0 {
		s.placer.MarkCold(time.Now(), e.ID, headers.Cold)
	}
	if headers.Leaving && s.placer.MarkLeaving(time.Now(), e.ID) {
		s.log.Info(toucanlog.MsgEndpointLeaves,
			toucanlog.Endpoint, e.ID,
			toucanlog.Address, e.Address,
		)
	}
}

// send sends the request to the reserved endpoint. If resume is not nil, the endpoint continues that generation instead
// of beginning a new one.
func (s *Server) send(ctx context.Context, j *job, reservation *toucanplace.Reservation, resume *Resume) (*toucanupstream.Response, error) {
	s.recordSend(j, reservation.Endpoint, resume != nil)
	lastEvent := j.lastEvent
	if resume != nil {
		lastEvent = ""
	}
	header := s.codec.Outgoing(toucanheader.EndToEnd(j.in.Header), Attempt{
		Request:   j.Request,
		Workspace: j.workspace,
		Left:      time.Until(j.deadline),
		Instance:  reservation.Endpoint.ID,
		Backup:    s.reserveBackup(j, reservation),
		LastEvent: lastEvent,
		Resume:    resume,
	})
	return s.pool.Send(ctx, reservation.Endpoint.Address, j.service.MaxConnections, toucanupstream.Message{
		Method:  j.in.Method,
		Target:  j.in.RequestURI,
		Host:    j.in.Host,
		Header:  header,
		Body:    j.body,
		Belongs: func(h http.Header) bool { return s.codec.Belongs(h, j.ID) },
		OnWrite: func() { reservation.MarkSent(time.Now()) },
		// A handle can be used once, so that an endpoint does not resume a generation twice.
		Repeatable: resume != nil && j.body.Whole(),
	})
}

// reserveBackup reserves memory for a stream's backup at another endpoint and returns that endpoint's address. It
// returns an empty address if the stream needs no backup, could not resume from it or no endpoint has memory for it. An
// earlier reservation is released.
func (s *Server) reserveBackup(j *job, reservation *toucanplace.Reservation) string {
	j.releaseBackup()
	e := j.service.Engine
	if e == nil || !e.Backups || !j.body.Whole() || j.route.Kind != toucantraffic.Stream || j.demand.Output < minBackupOutput || !s.streamsAtRisk() {
		return ""
	}
	backup, err := s.placer.Backup(time.Now(), reservation.Endpoint, j.demand)
	if err != nil {
		s.metrics.withoutBackup.Inc(1)
		return ""
	}
	j.backup = backup
	return backup.Endpoint.Address
}

// releaseBackup releases the reservation for the generation's backup, if there is one.
func (j *job) releaseBackup() {
	if j.backup != nil {
		j.backup.Done(time.Now(), toucanplace.OutcomeNeutral)
		j.backup = nil
	}
}

// readAnswer reads an answer as far as it is buffered and checks it.
func (s *Server) readAnswer(ctx context.Context, j *job, reservation *toucanplace.Reservation, resp *toucanupstream.Response, headers Answer) (*answer, *toucanrefusal.Failure) {
	body, whole, err := toucanrelay.Buffer(resp.Body, j.buffers)
	if err == nil && whole {
		err = toucanrelay.CheckEnd(ctx, s.pool, resp, reservation.Endpoint.Address)
	}
	if err != nil {
		resp.Close()
		f := &toucanrefusal.Failure{Endpoint: reservation.Endpoint.ID, Err: err}
		reservation.Done(time.Now(), f.Outcome(ctx))
		if ctx.Err() == nil {
			s.watch.RecordBreak(&j.started, reservation.Endpoint, j.startedAt, 0)
		}
		return nil, f
	}
	a := &answer{Answer: toucanrelay.Answer{Status: resp.Status, Header: resp.Header}, body: body, reservation: reservation}
	if whole {
		resp.Close()
	} else {
		a.rest = resp
	}
	if headers.Genuine && headers.Named {
		s.watch.RecordWhole(&j.started, a.Status)
	}
	f := checkAnswer(reservation, headers, a)
	if f == nil {
		if whole {
			reservation.Done(time.Now(), toucanplace.OutcomeGood)
		}
		return a, nil
	}
	reservation.Done(time.Now(), toucanplace.OutcomeFailed)
	if !whole {
		resp.Close() // It can't be delivered whole any more.
		return nil, f
	}
	if !errors.Is(f.Err, errEndpointFailed) {
		return nil, f
	}
	return a, f
}

// checkStream returns an error if the answer is an event stream that must not be passed on, before its events arrive: it does not come from the
// endpoint, does not name this request or is encoded.
func checkStream(headers Answer, head toucanrelay.Answer) error {
	switch {
	case !head.IsEventStream():
		return nil
	case !headers.Genuine || !headers.Named:
		return errNotGenuine
	case head.IsEncoded():
		return errEncoded
	}
	return nil
}

// checkAnswer returns nil if the answer can be delivered, or a failure if it does not come from the endpoint, does not
// name this request, is encoded or has a 5xx status.
func checkAnswer(reservation *toucanplace.Reservation, headers Answer, a *answer) *toucanrefusal.Failure {
	f := &toucanrefusal.Failure{Endpoint: reservation.Endpoint.ID}
	switch {
	case !headers.Genuine || !headers.Named:
		f.Err = errNotGenuine
		return f
	case a.IsEncoded():
		f.Err = errEncoded
		return f
	case a.Status >= http.StatusInternalServerError:
		f.Err = errEndpointFailed
		return f
	}
	return nil
}
