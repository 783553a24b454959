// Package toucanaccept matches requests to routes, workspaces and services, and decides which are refused before they wait for an
// endpoint. It is pure.
package toucanaccept

import (
	"net/http"
	"time"

	"toucanport/toucanrefusal"
	"toucanport/toucantraffic"
)

// maxRequestTime bounds every request, also one without a timeout of its own or of its route.
const maxRequestTime = 10 * time.Minute

// Caller is what a request's target and its caller's credential are matched to.
type Caller struct {
	// Route is zero if the request was refused for want of one.
	Route toucantraffic.Route
	// Workspace is zero for an anonymous caller.
	Workspace toucantraffic.Workspace
}

// ByKey matches a request to a route by host and path, and to a workspace by the caller's key. It returns a refusal if there is no route,
// or if the key is unknown and the route takes no anonymous callers.
func ByKey(t *toucantraffic.Table, host, path, key string) (Caller, *toucanrefusal.Refusal) {
	return match(t, host, path, func() (toucantraffic.Workspace, bool) { return t.Workspace(key) })
}

// ByWorkspace is ByKey for a caller that is known by the name of its workspace.
func ByWorkspace(t *toucantraffic.Table, host, path, name string) (Caller, *toucanrefusal.Refusal) {
	return match(t, host, path, func() (toucantraffic.Workspace, bool) { return t.WorkspaceByName(name) })
}

func match(t *toucantraffic.Table, host, path string, find func() (toucantraffic.Workspace, bool)) (Caller, *toucanrefusal.Refusal) {
	route, ok := t.Route(host, path)
	if !ok {
		return Caller{}, toucanrefusal.New(http.StatusNotFound, toucanrefusal.ReasonNoRoute, nil)
	}
	workspace, ok := find()
	if !ok && !route.Anonymous {
		return Caller{Route: route}, toucanrefusal.New(http.StatusUnauthorized, toucanrefusal.ReasonUnknownKey, nil)
	}
	return Caller{Route: route, Workspace: workspace}, nil
}

// Target is the service of a request, and what follows from the route and the workspace.
type Target struct {
	Service toucantraffic.Service
	// Rank is the request's urgency, 0 first.
	Rank int
	// Mixed is true if the requests of the service differ in goal or priority.
	Mixed bool
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Target returns the target of a request that arrived at a time and whose caller waits for patience; zero if it does not say so. It
// returns a refusal if the settings have no service for the request.
func (c Caller) Target(t *toucantraffic.Table, id string, arrived time.Time, patience time.Duration) (Target, *toucanrefusal.Refusal) {
	service, ok := t.Service(c.Route.Service(id))
	if !ok {
		return Target{}, toucanrefusal.Unready(toucanrefusal.ReasonNoService)
	}
	return Target{
		Service:  service,
		Rank:     c.Route.Rank(c.Workspace),
		Mixed:    service.Engine != nil && t.Mixed(service.Name),
		Deadline: deadline(arrived, patience, c.Route.Timeout),
	}, nil
}

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

// CheckLength returns a refusal if a body is longer than limit, in bytes. A limit of zero allows any, and a length that is not known is
// negative.
func CheckLength(limit, length int64) *toucanrefusal.Refusal {
	if limit > 0 && length > limit {
		return toucanrefusal.New(http.StatusRequestEntityTooLarge, toucanrefusal.ReasonTooLarge, nil)
	}
	return nil
}
