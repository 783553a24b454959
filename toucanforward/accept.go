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
	// maxBufferedBody is the size in bytes up to which a request's body is buffered, so that the request can be
	// retried. A longer body is streamed and its request is sent only once.
	maxBufferedBody = 256 << 10
	// retryAfterUnready is the Retry-After value while this entry has no settings, or none for the route's service.
	retryAfterUnready = 500 * time.Millisecond
)

// accept parses a request and matches it to a route, a workspace and a service. It returns a refusal if the request is
// malformed, not permitted or too large, or if the settings are missing. The job is never nil.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, *refusal) {
	j := &job{in: r, w: w, arrived: time.Now(), tried: make(map[string]bool)}
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
	if workspace, ok := table.Workspace(req.Key); ok {
		j.workspace = workspace.Name
	} else if !route.Anonymous {
		return j, &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
	j.service, ok = table.Service(route.Service(req.ID))
	if !ok {
		return j, refuseLater(reasonNoService, retryAfterUnready)
	}
	if limit := table.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return j, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	j.demand = toucanplace.Demand{Prompt: req.Prompt, Output: s.estimates.estimate(route.Name, req, 0)}
	j.deadline = deadline(j.arrived, req.Patience, route.Timeout)
	j.plan = toucanretry.NewPlan(j.arrived, s.budget, j.service.Name, j.deadline,
		toucanretry.WithMaxAttempts(route.MaxAttempts+unsentAttempts))
	return j, nil
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

// readBody buffers the body up to maxBufferedBody. The remainder of a longer body is streamed to the endpoint.
func (s *Server) readBody(ctx context.Context, j *job) *refusal {
	if j.in.Body == nil || j.in.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(j.deadline) // Best effort: without it, a slow body is cut only later.
	limited := io.LimitReader(j.in.Body, maxBufferedBody+1)
	body, err := io.ReadAll(limited)
	if err != nil {
		if ctx.Err() != nil {
			return &refusal{status: http.StatusRequestTimeout, reason: reasonCallerSlow, err: err}
		}
		return &refusal{status: http.StatusBadRequest, reason: reasonCallerLeft, err: err}
	}
	j.body = body
	if len(body) > maxBufferedBody {
		j.rest = j.in.Body
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{}) // Best effort, as above.
	return nil
}
