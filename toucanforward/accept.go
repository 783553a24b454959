package toucanforward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanbody"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanretry"
	"toucanport/toucantraffic"
)

// retryAfterUnready is the Retry-After value while this entry has no settings, or none for the route's service.
const retryAfterUnready = 500 * time.Millisecond

// accept parses a request and matches it to a route, a workspace and a service. It returns a refusal if the request is
// malformed, not permitted or too large, or if the settings are missing. The job is never nil.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, *refusal) {
	j := &job{in: r, w: w, arrived: time.Now(), tried: make(map[string]bool), body: &toucanbody.Body{}, buffers: s.answers.Reservation(freeAnswer)}
	req, err := s.codec.Request(r.Header)
	j.Request = req
	table := s.traffic.Table()
	if table == nil {
		return j, refuseLater(reasonNoSettings, retryAfterUnready)
	}
	j.version = table.Version
	if err != nil {
		return j, &refusal{status: http.StatusBadRequest, reason: reasonMalformed, err: err}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := table.Route(r.Host, path)
	if !ok {
		return j, &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	j.route = route
	workspace, ok := table.Workspace(req.Key)
	if ok {
		j.workspace = workspace.Name
	} else if !route.Anonymous {
		return j, &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
	if err := s.acceptLastEvent(j); err != nil {
		return j, &refusal{status: http.StatusBadRequest, reason: reasonLastEvent, err: err}
	}
	if r := s.matchService(j, table, workspace); r != nil {
		return j, r
	}
	j.maxBody = table.Limits.BodyBytes
	if j.maxBody > 0 && r.ContentLength > j.maxBody {
		return j, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	s.rooms.Arrived(j.room())
	j.plan = toucanretry.NewPlan(j.arrived, s.budget, j.service.Name, j.deadline,
		toucanretry.WithMaxAttempts(route.MaxAttempts+unsentAttempts))
	return j, nil
}

// matchService fills in what follows from a request's route and workspace. It returns a refusal if the settings have no service for it.
func (s *Server) matchService(j *job, table *toucantraffic.Table, workspace toucantraffic.Workspace) *refusal {
	service, ok := table.Service(j.route.Service(j.ID))
	if !ok {
		return refuseLater(reasonNoService, retryAfterUnready)
	}
	j.service = service
	j.rank = j.route.Rank(workspace)
	j.mixed = service.Engine != nil && table.Mixed(service.Name)
	j.demand = toucanplace.Demand{Prompt: j.Prompt, Output: s.estimates.estimate(j.route.Name, j.Request, 0), MaxGap: j.route.Gap}
	j.deadline = deadline(j.arrived, j.Patience, j.route.Timeout)
	return nil
}

// maxRequestTime bounds every request, also one without a timeout of its own or of its route.
const maxRequestTime = 10 * time.Minute

// deadline returns the earliest end of the caller's patience, the route's timeout and maxRequestTime. A patience or
// timeout of zero is no bound.
func deadline(arrived time.Time, patience, timeout time.Duration) time.Time {
	left := maxRequestTime
	if patience > 0 {
		left = min(left, patience)
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	return arrived.Add(left)
}

// readBody reads the body. If there is no memory to keep it whole, the remainder is passed on as it arrives.
func (s *Server) readBody(ctx context.Context, j *job) *refusal {
	if j.in.Body == nil || j.in.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(j.w)
	_ = control.SetReadDeadline(j.deadline) // Best effort: without it, a slow body is cut only later.
	s.active.setReading(j, true)
	body, err := toucanbody.Read(j.in.Body, j.maxBody, s.bodies)
	s.active.setReading(j, false)
	if err != nil {
		return bodyRefusal(ctx, j, err)
	}
	j.body = body
	_ = control.SetReadDeadline(time.Time{}) // Best effort, as above.
	if !body.Whole() {
		s.recordNotKept(j)
		// Otherwise net/http reads and drops what is left of the body when the answer begins.
		_ = control.EnableFullDuplex() // Only HTTP/1 needs it and has it.
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(ctx context.Context, j *job, err error) *refusal {
	switch {
	case endedByStop(ctx):
		r := stopRefusal(j, true)
		return &r
	case errors.Is(err, toucanbody.ErrTooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, err: err}
	case ctx.Err() != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: reasonCallerSlow, err: err}
	}
	return &refusal{status: http.StatusBadRequest, reason: reasonCallerLeft, err: err}
}

// recordNotKept counts and logs a request that can be sent only once.
func (s *Server) recordNotKept(j *job) {
	j.logged = true
	s.metrics.bodiesNotKept.Inc(1)
	usage := s.bodies.Usage()
	s.log.Warn(toucanlog.MsgBodyNotKept,
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.UsedBytes, usage.Used,
		toucanlog.LimitBytes, usage.Limit,
	)
}

// bodyLinger is how long what is left of a body is still read after the answer, so that the caller gets the answer and not a
// reset of its connection.
const bodyLinger = 250 * time.Millisecond

// releaseBody frees the memory of the request's body and of its answers. It bounds how long a body that was not read to its end is still read, as
// the caller's connection stays open as long; a cut stream ends at once.
func (s *Server) releaseBody(j *job) {
	j.buffers.Release()
	j.body.Release()
	if !j.body.Unread() {
		return
	}
	until := time.Now()
	if !j.cut {
		until = until.Add(bodyLinger)
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(until) // Best effort: without it, a slow body is cut only later.
}
