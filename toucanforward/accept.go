package toucanforward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"toucanport/toucanaccept"
	"toucanport/toucanbody"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrefusal"
	"toucanport/toucanrelay"
	"toucanport/toucanretry"
	"toucanport/toucantraffic"
)

// accept parses a request and matches it to a route, a workspace and a service. It returns a refusal if the request is
// malformed, not permitted or too large, or if the settings are missing. The job is never nil.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, *toucanrefusal.Refusal) {
	j := &job{in: r, w: w, arrived: time.Now(), tried: make(map[string]bool), body: &toucanbody.Body{}, buffers: s.answers.Reservation(toucanrelay.FreeBytes), out: toucanrelay.NewWriter(w)}
	req, err := s.codec.Request(r.Header)
	j.Request = req
	table := s.traffic.Table()
	if table == nil {
		return j, toucanrefusal.Unready(toucanrefusal.ReasonNoSettings)
	}
	j.version = table.Version
	if err != nil {
		return j, toucanrefusal.New(http.StatusBadRequest, toucanrefusal.ReasonMalformed, err)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	caller, refusal := toucanaccept.ByKey(table, r.Host, path, req.Key)
	j.route, j.workspace = caller.Route, caller.Workspace.Name
	if refusal != nil {
		return j, refusal
	}
	if err := s.acceptLastEvent(j); err != nil {
		return j, toucanrefusal.New(http.StatusBadRequest, toucanrefusal.ReasonLastEvent, err)
	}
	if refusal := s.aim(j, table, caller); refusal != nil {
		return j, refusal
	}
	j.maxBody = table.Limits.BodyBytes
	if refusal := toucanaccept.CheckLength(j.maxBody, r.ContentLength); refusal != nil {
		return j, refusal
	}
	s.rooms.Arrived(j.room())
	j.plan = toucanretry.NewPlan(j.arrived, s.budget, j.service.Name, j.deadline,
		toucanretry.WithMaxAttempts(j.route.MaxAttempts+unsentAttempts))
	return j, nil
}

// aim fills in the target of a request and what is expected of its answer. It returns a refusal if the settings have no service for it.
func (s *Server) aim(j *job, table *toucantraffic.Table, caller toucanaccept.Caller) *toucanrefusal.Refusal {
	target, refusal := caller.Target(table, j.ID, j.arrived, j.Patience)
	if refusal != nil {
		return refusal
	}
	j.service, j.rank, j.mixed, j.deadline = target.Service, target.Rank, target.Mixed, target.Deadline
	j.demand = toucanplace.Demand{Prompt: j.Prompt, Output: s.estimates.estimate(j.route.Name, j.Request, 0), MaxGap: j.route.Gap}
	return nil
}

// readBody reads the body. If there is no memory to keep it whole, the remainder is passed on as it arrives.
func (s *Server) readBody(ctx context.Context, j *job) *toucanrefusal.Refusal {
	if j.in.Body == nil || j.in.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(j.w)
	_ = control.SetReadDeadline(j.deadline) // Best effort: without it, a slow body is cut only later.
	s.active.SetReading(&j.progress, true)
	body, err := toucanbody.Read(j.in.Body, j.maxBody, s.bodies)
	s.active.SetReading(&j.progress, false)
	if err != nil {
		return toucanrefusal.OfBody(ctx, err)
	}
	j.body = body
	_ = control.SetReadDeadline(time.Time{}) // Best effort, as above.
	if !body.Whole() {
		s.recordNotKept(j)
		// net/http may take what is left of a body after its answer for a request.
		j.w.Header().Set("Connection", "close")
		// Otherwise net/http reads and drops what is left of the body when the answer begins.
		_ = control.EnableFullDuplex() // Only HTTP/1 needs it and has it.
	}
	return nil
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
