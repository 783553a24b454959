// Package toucanforward forwards callers' HTTP requests to endpoints and returns the answers. It chooses an endpoint,
// retries where that is safe, relays event streams, and resumes running generations at another endpoint when theirs
// drains or fails. Bodies are opaque; a Codec translates the headers.
package toucanforward

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanquarantine"
	"toucanport/toucanrate"
)

// ErrMalformed is returned for a request whose headers are missing or invalid.
var ErrMalformed = errors.New("malformed request")

// Request holds the values of a caller's headers.
type Request struct {
	// ID identifies the request. The caller chooses it, and it is unique.
	ID string
	// Key is the caller's credential; empty for none.
	Key string
	// Patience is how long the caller waits for the final answer; zero if it gives none.
	Patience time.Duration
	// Prompt and MaxOutput are the length of the prompt and the limit of the output, in tokens. Both are zero for
	// requests that generate nothing.
	Prompt, MaxOutput int
	// LengthHint is the caller's estimate of the answer's length, in tokens; zero for none.
	LengthHint int
	// SharedParts are the parts of the prompt that other requests can have too, in order; empty for requests that
	// generate nothing.
	SharedParts []toucanquarantine.Part
	// LastEvent is the text of the id of the last event that the caller has of the same stream, unchecked; empty for none. It counts only
	// on routes whose streams can be resumed.
	LastEvent string
	// PromptParts is the text that lists all parts of the prompt; empty for requests that generate nothing.
	PromptParts string
}

// Resume identifies a stopped generation that an endpoint is to continue.
type Resume struct {
	// Source is the address of the endpoint that holds the generation's memory.
	Source string
	// Handle identifies the memory at Source.
	Handle string
	// LastEvent is the id of the last event that was passed on to the caller; empty for none.
	LastEvent string
}

// Attempt holds the values of the headers that go to an endpoint with one attempt of a request.
type Attempt struct {
	Request   Request
	Workspace string
	// Left is the time left until the request's deadline.
	Left time.Duration
	// Instance is the id of the endpoint that the attempt is for. No other may answer it.
	Instance string
	// Backup is the address of the endpoint that keeps the generation's backup; empty for none. The handle of the
	// backup is the request's ID.
	Backup string
	// LastEvent is the id of the event after which the endpoint is to begin; empty for the first event. It is empty with Resume.
	LastEvent string
	// Resume is nil unless the endpoint is to continue a generation.
	Resume *Resume
}

// Answer holds the values of the headers of an endpoint's answer.
type Answer struct {
	// Genuine is true if the headers show that the endpoint itself gave the answer, not an intermediary.
	Genuine bool
	// NotRun is true if the endpoint reports that it did not run the request.
	NotRun bool
	// Named is true if the answer carries the request's ID.
	Named bool
	// RetryAfter is the time for which the endpoint asks this entry for no requests; zero for none.
	RetryAfter time.Duration
	// Leaving is true if the endpoint says that it drains.
	Leaving bool
	// Limit is what the answer says about the requests a second that the endpoint takes from all entries together.
	Limit toucanrate.Notice
	// Cold is how long the endpoint stays cold; zero if it does not say so.
	Cold time.Duration
}

// Codec translates between HTTP headers and the values that they carry.
type Codec interface {
	// Request parses a caller's headers. The error is ErrMalformed.
	Request(h http.Header) (Request, error)
	// Outgoing returns the headers of an attempt. h holds the caller's end-to-end headers and may be changed.
	Outgoing(h http.Header, a Attempt) http.Header
	// Belongs reports whether an answer with headers h can be the answer to the request with this id. It is false for
	// an answer to another request on the same connection.
	Belongs(h http.Header, id string) bool
	// Answer parses the headers of an endpoint's answer to the request with this id.
	Answer(status int, h http.Header, id string) Answer
}
