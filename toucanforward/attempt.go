package toucanforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"toucanport/toucanplace"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
)

// bufferedAnswer is how much of an answer is read before the first byte is passed on, so that an answer that turns out to be
// cut becomes a plain failure.
const bufferedAnswer = 256 << 10

// attempt sends the request to a claimed endpoint. It returns an answer to deliver or a failure, and has given the
// claim back unless the answer holds it.
func (s *Server) attempt(ctx context.Context, j *job, claim *toucanplace.Claim) (*answer, *failure) {
	x, err := s.send(ctx, j, claim, nil)
	if err != nil {
		f := newFailure(claim, err)
		claim.Done(time.Now(), f.outcome(ctx))
		return nil, f
	}
	told := s.codec.Answer(x.Status, x.Header, j.ID)
	if told.NotRun {
		x.Close()
		claim.Done(time.Now(), toucanplace.OutcomeFailed)
		return nil, &failure{endpoint: claim.Endpoint.ID, notRun: true, err: errNotRun}
	}
	if x.Status == http.StatusOK && j.route.Kind == toucantraffic.Stream && told.Genuine && isEventStream(x.Header) {
		return &answer{stream: x, claim: claim, status: x.Status, header: x.Header}, nil
	}
	return s.whole(ctx, j, claim, x, told)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// send hands the request to the claimed endpoint, at the place where resume says if it is not nil.
func (s *Server) send(ctx context.Context, j *job, claim *toucanplace.Claim, resume *Resume) (*toucanupstream.Exchange, error) {
	header := s.codec.Outgoing(passable(j.in.Header), Attempt{
		Request:   j.Request,
		Workspace: j.workspace,
		Left:      time.Until(j.deadline),
		Instance:  claim.Endpoint.ID,
		Backup:    s.backUp(j, claim),
		Resume:    resume,
	})
	return s.pool.Send(ctx, claim.Endpoint.Address, j.service.MaxConnections, toucanupstream.Message{
		Method:  j.in.Method,
		Target:  j.in.RequestURI,
		Host:    j.in.Host,
		Header:  header,
		Body:    j.body,
		Rest:    j.rest,
		Belongs: func(h http.Header) bool { return s.codec.Belongs(h, j.ID) },
	})
}

// backUp claims a place for a copy of a stream's memory and returns its address; empty when there is none.
func (s *Server) backUp(j *job, claim *toucanplace.Claim) string {
	j.dropBackup()
	e := j.service.Engine
	if e == nil || !e.Backups || j.route.Kind != toucantraffic.Stream || j.demand.Output < backupOutput || !s.uneasy() {
		return ""
	}
	backup, err := s.book.Backup(time.Now(), claim.Endpoint, j.demand)
	if err != nil {
		s.metrics.unbacked.Inc(1)
		return ""
	}
	j.backup = backup
	return backup.Endpoint.Address
}

// dropBackup gives the place of the run's copy back.
func (j *job) dropBackup() {
	if j.backup != nil {
		j.backup.Done(time.Now(), toucanplace.OutcomeNeutral)
		j.backup = nil
	}
}

// whole reads an answer to its end, or to the bound of what is held.
func (s *Server) whole(ctx context.Context, j *job, claim *toucanplace.Claim, x *toucanupstream.Exchange, told Answer) (*answer, *failure) {
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(x.Body, bufferedAnswer+1))
	if err != nil {
		x.Close()
		f := &failure{endpoint: claim.Endpoint.ID, err: err}
		claim.Done(time.Now(), f.outcome(ctx))
		return nil, f
	}
	a := &answer{status: x.Status, header: x.Header, body: body.Bytes(), claim: claim}
	if body.Len() > bufferedAnswer {
		a.rest = x
	} else {
		x.Close()
	}
	f := s.judge(j, claim, told, a)
	if f != nil && a.rest != nil {
		x.Close()
	}
	if f == nil && a.rest == nil {
		claim.Done(time.Now(), toucanplace.OutcomeGood)
	}
	if f != nil {
		claim.Done(time.Now(), toucanplace.OutcomeFailed)
	}
	return a, f
}

// judge tells an answer that the caller should get from one that is no answer to this request.
func (s *Server) judge(j *job, claim *toucanplace.Claim, told Answer, a *answer) *failure {
	f := &failure{endpoint: claim.Endpoint.ID}
	switch {
	case !told.Genuine || !told.Named:
		f.err = errNotGenuine
		return f
	case a.header.Get("Content-Encoding") != "":
		f.err = errEncoded
		return f
	case a.status >= http.StatusInternalServerError:
		f.err = errEndpointFailed
		f.answer = a
		return f
	}
	return nil
}
