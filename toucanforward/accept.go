package toucanforward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"toucanport/toucanplace"
	"toucanport/toucanretry"
)

const (
	// bufferedBody is how much of a request's body is held, so that it can be sent again.
	bufferedBody = 256 << 10
	// comeBackUnready is when a caller may ask again while this entry has no settings yet.
	comeBackUnready = 500 * time.Millisecond
)

// accept finds out what a request is and whether it may be made.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, *refusal) {
	j := &job{in: r, w: w, arrived: time.Now(), tried: make(map[string]bool)}
	req, err := s.codec.Request(r.Header)
	j.Request = req
	table := s.traffic.Table()
	if table == nil {
		return j, refuseLater(reasonNoSettings, comeBackUnready)
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
	if workspace, ok := table.Workspace(req.Key); ok {
		j.workspace = workspace.Name
	} else if !route.Anonymous {
		return j, &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
	j.service, ok = table.Service(route.Service(req.ID))
	if !ok {
		return j, refuseLater(reasonNoService, comeBackUnready)
	}
	if limit := table.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return j, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	j.demand = toucanplace.Demand{Prompt: req.Prompt, Output: s.lengths.forecast(route.Name, req, 0)}
	j.deadline = deadline(j.arrived, req.Patience, route.Timeout)
	j.plan = toucanretry.NewPlan(j.arrived, s.budget, j.service.Name, j.deadline,
		toucanretry.WithMaxAttempts(route.MaxAttempts+unsentAttempts))
	return j, nil
}

const longestRequest = 10 * time.Minute

func deadline(arrived time.Time, patience, timeout time.Duration) time.Time {
	left := longestRequest
	if patience > 0 {
		left = min(left, patience)
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	return arrived.Add(left)
}

// readBody holds a body of bounded size and leaves the rest of a longer one to be sent as it comes.
func (s *Server) readBody(ctx context.Context, j *job) *refusal {
	if j.in.Body == nil || j.in.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(j.deadline) // A missing deadline only means a later end.
	limited := io.LimitReader(j.in.Body, bufferedBody+1)
	body, err := io.ReadAll(limited)
	if err != nil {
		if ctx.Err() != nil {
			return &refusal{status: http.StatusRequestTimeout, reason: reasonCallerSlow, err: err}
		}
		return &refusal{status: http.StatusBadRequest, reason: reasonCallerLeft, err: err}
	}
	j.body = body
	if len(body) > bufferedBody {
		j.rest = j.in.Body
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{}) // As above.
	return nil
}
