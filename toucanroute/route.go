// Package toucanroute chooses the endpoint that a request is sent to. It does no I/O and reads no clock: every
// call is handed the present time.
package toucanroute

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrNoEndpoint says that no endpoint of the service can take the request now.
var ErrNoEndpoint = errors.New("no endpoint can take the request")

// NoEndpointError is ErrNoEndpoint with the time after which asking again makes sense.
type NoEndpointError struct {
	Service string
	// RetryAfter is above zero.
	RetryAfter time.Duration
}

func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("service %q: no endpoint can take the request, retry after %s", e.Service, e.RetryAfter)
}

// Unwrap returns ErrNoEndpoint.
func (e *NoEndpointError) Unwrap() error { return ErrNoEndpoint }

// Endpoint is one candidate. It is immutable.
type Endpoint struct {
	// Name is unique among all endpoints that a router knows.
	Name          string
	Service       string
	FailureDomain string
	// Address is the inner listener of the endpoint's sidecar.
	Address netip.AddrPort
}

// Query describes the request that an endpoint is sought for.
type Query struct {
	Service string
	// PrefixHash is the hash of the prompt's prefix; zero when the request has none.
	PrefixHash   uint64
	PromptTokens int
	// MaxTokens bounds the output; zero when the caller gave no bound.
	MaxTokens int
	// Key is the order key of a plain service's call; equal keys prefer the same endpoint.
	Key string
	// Exclude names endpoints that must not be chosen, such as those already tried.
	Exclude []string
}

// Load is what an endpoint's sidecar last reported.
type Load struct {
	// BootID names the sidecar's process; Sequence grows within one boot.
	BootID       uint64
	Sequence     uint64
	Endpoint     string
	Running      int
	Queued       int
	QueuedTokens int
	UsedBlocks   int
	TotalBlocks  int
	// ForecastBlocks are the blocks that the admitted generations are expected to hold at their peak.
	ForecastBlocks int
	// StepTime is the duration of one decoding step.
	StepTime time.Duration
	// Wait is the expected wait of a new request before its first token.
	Wait time.Duration
	// Leaving endpoints get no new work.
	Leaving bool
	// Healthy is false while the endpoint does not answer its sidecar.
	Healthy bool
	// CachedPrefixes are prompt prefixes that the engine is known to hold; bounded by the sidecar.
	CachedPrefixes []uint64
}

// Outcome is how a request that was sent to an endpoint ended there.
type Outcome int

// The outcomes.
const (
	// Completed: the answer is whole.
	Completed Outcome = iota
	// Refused: the sidecar declined, and the request did not run.
	Refused
	// Failed: the link or the endpoint failed.
	Failed
	// Cancelled: the caller went away.
	Cancelled
	// Stalled: the stream stopped making progress.
	Stalled
)

var outcomeNames = [...]string{"completed", "refused", "failed", "cancelled", "stalled"}

func (o Outcome) String() string { return outcomeNames[o] }

// Router chooses endpoints. Implementations are safe for concurrent use.
type Router interface {
	// SetEndpoints replaces the endpoints of a service. Those that are no longer listed get no new work.
	SetEndpoints(now time.Time, service string, es []Endpoint)
	// Report takes in a load report. Reports of earlier boots and sequences are ignored.
	Report(now time.Time, l Load)
	// Pick chooses an endpoint. The error is a *NoEndpointError when there is none.
	Pick(now time.Time, q Query) (Endpoint, error)
	// Sent records that q was sent to the endpoint.
	Sent(now time.Time, endpoint string, q Query)
	// Began records the time from Sent to the first token of a generation, which may end much later.
	Began(now time.Time, endpoint string, firstToken time.Duration)
	// Finished records how q ended there. Each Sent is followed by one Finished. firstToken is the time from
	// Sent to the answer of a plain service; zero when none came or Began has told it.
	Finished(now time.Time, endpoint string, q Query, o Outcome, firstToken time.Duration)
}
