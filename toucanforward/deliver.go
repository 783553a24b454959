package toucanforward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrun"
	"toucanport/toucanupstream"
)

// answer is an endpoint's answer to be passed on.
type answer struct {
	status int
	header http.Header
	// body is the whole body, or its beginning when rest is set.
	body []byte
	// rest is the remainder of a long body; nil for others.
	rest *toucanupstream.Exchange
	// stream is set for a series of events, in place of a body.
	stream *toucanupstream.Exchange
	// claim is held while rest or stream is being read.
	claim *toucanplace.Claim
	// run is set for a stream that has come to its end.
	run *toucanrun.Run
}

// deliver passes an answer on to the caller.
func (s *Server) deliver(ctx context.Context, j *job, a *answer) {
	copyHeader(j.w.Header(), a.header)
	if a.stream != nil {
		s.relay(ctx, j, a)
		return
	}
	if a.rest != nil {
		s.deliverLong(ctx, j, a)
		return
	}
	j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	j.w.WriteHeader(a.status)
	_, err := j.w.Write(a.body)
	s.answeredLine(j, a, err)
}

// deliverLong passes on a body that is longer than what is held. A body that ends early closes the connection.
func (s *Server) deliverLong(ctx context.Context, j *job, a *answer) {
	if n := a.header.Get("Content-Length"); n != "" {
		j.w.Header().Set("Content-Length", n)
	}
	j.w.WriteHeader(a.status)
	_, err := j.w.Write(a.body)
	if err == nil {
		_, err = io.Copy(j.w, a.rest.Body)
	}
	a.rest.Close()
	if err != nil {
		a.claim.Done(time.Now(), (&failure{err: err}).outcome(ctx))
		s.log.Warn(toucanlog.MsgStreamCut,
			toucanlog.RequestID, j.ID,
			toucanlog.Endpoint, a.claim.Endpoint.ID,
			toucanlog.Cause, err.Error(),
		)
		panic(http.ErrAbortHandler)
	}
	a.claim.Done(time.Now(), toucanplace.OutcomeGood)
	s.answeredLine(j, a, nil)
}

func (s *Server) answeredLine(j *job, a *answer, err error) {
	took := time.Since(j.arrived)
	s.metrics.answered(j.route.Kind, j.workspace, a.status, took)
	late := a.run != nil && a.run.Late()
	if late {
		s.metrics.streamsLate.Inc(1)
	}
	plain := a.run == nil && a.status < http.StatusInternalServerError && !j.logged
	if err == nil && plain && !j.sampled() {
		return
	}
	msg := toucanlog.MsgRequestAnswered
	if a.status >= http.StatusInternalServerError {
		msg = toucanlog.MsgRequestFailed
	}
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.Endpoint, a.claim.Endpoint.ID,
		toucanlog.Status, a.status,
		toucanlog.Attempts, j.plan.Attempts(),
		toucanlog.TookMs, took.Milliseconds(),
		toucanlog.SettingsVersion, j.version,
	}
	if a.run != nil {
		args = append(append(args, toucanlog.Late, late), a.run.LogArgs()...)
	}
	if err != nil {
		args = append(args, toucanlog.Cause, err.Error())
	}
	s.log.Info(msg, args...)
}

func copyHeader(to, from http.Header) {
	for name, values := range passable(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps the library from guessing one.
		to["Content-Type"] = nil
	}
}
