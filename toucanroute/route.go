// Package toucanroute chooses the endpoint for each request. It does no I/O and reads no clock: the caller passes in
// the current time.
package toucanroute

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrNoEndpoint means that no endpoint of the service can currently take the request.
var ErrNoEndpoint = errors.New("no endpoint can take the request")

// NoEndpointError wraps ErrNoEndpoint and adds the time after which to retry.
type NoEndpointError struct {
	Service string
	// RetryAfter is always positive.
	RetryAfter time.Duration
}

func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("service %q: no endpoint can take the request, retry after %s", e.Service, e.RetryAfter)
}

// Unwrap returns ErrNoEndpoint.
func (e *NoEndpointError) Unwrap() error { return ErrNoEndpoint }

// Endpoint is a candidate for requests. It is immutable.
type Endpoint struct {
	// Name is unique among all endpoints that a router knows.
	Name          string
	Service       string
	FailureDomain string
	// Address is the listener of the endpoint's sidecar for connections from entries.
	Address netip.AddrPort
}

// Query describes the request that needs an endpoint.
type Query struct {
	Service string
	// PrefixHash is the hash of the prompt's prefix; zero if the request has none.
	PrefixHash   uint64
	PromptTokens int
	// MaxTokens limits the output; zero means that the caller set no limit.
	MaxTokens int
	// Key is the order key of a call to a plain service. Calls with equal keys prefer the same endpoint.
	Key string
	// Exclude names endpoints that must not be chosen, such as those that were already tried.
	Exclude []string
}

// Load is a load report from an endpoint's sidecar.
type Load struct {
	// BootID identifies the sidecar's process. Sequence increases with each report of one boot.
	BootID       uint64
	Sequence     uint64
	Endpoint     string
	Running      int
	Queued       int
	QueuedTokens int
	UsedBlocks   int
	TotalBlocks  int
	// ForecastBlocks is the predicted peak number of memory blocks of the admitted generations.
	ForecastBlocks int
	// StepTime is the duration of one decoding step.
	StepTime time.Duration
	// Wait is the predicted time to the first token of a new request.
	Wait time.Duration
	// Leaving is true if the endpoint takes no new requests.
	Leaving bool
	// Healthy is false while the endpoint does not respond to its sidecar.
	Healthy bool
	// CachedPrefixes are hashes of the prompt prefixes that the engine has cached. The sidecar limits their number.
	CachedPrefixes []uint64
}

// Outcome is the result of a request that was sent to an endpoint.
type Outcome int

// Outcomes of requests.
const (
	// Completed: the response is complete.
	Completed Outcome = iota
	// Refused: the sidecar refused the request, which did not run.
	Refused
	// Failed: the link or the endpoint failed.
	Failed
	// Cancelled: the caller cancelled the request or disconnected.
	Cancelled
	// Stalled: the stream stopped making progress.
	Stalled
)

var outcomeNames = [...]string{"completed", "refused", "failed", "cancelled", "stalled"}

func (o Outcome) String() string { return outcomeNames[o] }

// Router chooses endpoints. Implementations are safe for concurrent use.
type Router interface {
	// SetEndpoints replaces the endpoints of a service. Endpoints that are no longer listed get no new requests.
	SetEndpoints(now time.Time, service string, es []Endpoint)
	// Report records a load report. Reports of earlier boots and reports with old sequence numbers are ignored.
	Report(now time.Time, l Load)
	// Pick chooses an endpoint. If there is none, the error is a *NoEndpointError.
	Pick(now time.Time, q Query) (Endpoint, error)
	// RecordSent records that q was sent to the endpoint.
	RecordSent(now time.Time, endpoint string, q Query)
	// RecordFirstToken records the time from RecordSent to the first token of a generation that is still running.
	RecordFirstToken(now time.Time, endpoint string, firstToken time.Duration)
	// RecordOutcome records the outcome of q at the endpoint. It must be called once for each call of RecordSent.
	// firstToken is the time from RecordSent to the response of a plain service; zero if there was none or if
	// RecordFirstToken was called.
	RecordOutcome(now time.Time, endpoint string, q Query, o Outcome, firstToken time.Duration)
}
