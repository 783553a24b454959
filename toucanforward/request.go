// Package toucanforward carries opaque HTTP requests of callers to endpoints and the answers back: it chooses
// endpoints, retries where that is safe, passes events on as they come and lets running generations go on elsewhere
// when their endpoint leaves. What the messages look like is told by a Codec.
package toucanforward

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformed says that a request lacks what every request must have.
var ErrMalformed = errors.New("malformed request")

// Request is what a caller's headers say.
type Request struct {
	// ID is the caller's name for this request; no two requests share one.
	ID string
	// Key is the caller's credential; empty when there is none.
	Key string
	// Patience is how long the caller waits; zero when it is not told.
	Patience time.Duration
	// Prompt and MaxOutput are numbers of tokens, zero for requests that generate nothing.
	Prompt, MaxOutput int
	// LengthHint is the caller's estimate of the answer in tokens; zero when there is none.
	LengthHint int
}

// Resume says where a generation that has stopped goes on.
type Resume struct {
	// Source is the address of the endpoint where the memory comes from.
	Source string
	// Handle names the memory there.
	Handle string
	// LastEvent is the id of the last event that the caller has; empty for none.
	LastEvent string
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request   Request
	Workspace string
	// Left is the time until the caller or the route gives up.
	Left time.Duration
	// Instance is the endpoint that alone may answer.
	Instance string
	// Backup is the address of the endpoint that keeps a copy of the run's memory; empty for none. The copy's handle is
	// the request's ID.
	Backup string
	// Resume is nil for a first run.
	Resume *Resume
}

// Answer is what an endpoint's headers say.
type Answer struct {
	// Genuine is true when the endpoint vouches for the answer.
	Genuine bool
	// NotRun is true when the endpoint says that it did not run the request.
	NotRun bool
	// Named is true when the answer names the request.
	Named bool
}

// Codec translates between headers and what they mean.
type Codec interface {
	// Request reads a caller's headers. The error is ErrMalformed.
	Request(h http.Header) (Request, error)
	// Outgoing returns the headers for an endpoint, from those of the caller without the ones that concern one
	// connection only.
	Outgoing(h http.Header, a Attempt) http.Header
	// Belongs reports whether an endpoint's answer may be for the request with an id.
	Belongs(h http.Header, id string) bool
	// Answer reads an endpoint's headers.
	Answer(status int, h http.Header, id string) Answer
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passable returns a copy of h without the headers that concern one connection only.
func passable(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			out.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}
