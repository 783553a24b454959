// Package toucanadmit decides which queued requests an endpoint's engine may start, and when. It is pure: it does no
// I/O, and the caller passes in the current time.
package toucanadmit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucansettings"
)

// Class groups requests by the output length that their caller expects.
type Class string

// The request classes.
const (
	// ClassBrief is a short question. Briefs are served ahead of plans.
	ClassBrief Class = "brief"
	// ClassPlan is a request for a long document.
	ClassPlan Class = "plan"
)

// ErrOverloaded means that a request was refused and has not run.
var ErrOverloaded = errors.New("endpoint is overloaded")

// RefusalError wraps ErrOverloaded and adds the time after which to retry.
type RefusalError struct {
	// RetryAfter is the predicted time until the endpoint meets its first-token bound again; always positive.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrOverloaded, e.RetryAfter)
}

// Unwrap returns ErrOverloaded.
func (e *RefusalError) Unwrap() error { return ErrOverloaded }

// Request is a generation that a caller requests from the endpoint.
type Request struct {
	// ID is unique among the requests that a policy holds.
	ID        string
	Workspace string
	Class     Class
	// Weight is the workspace's share relative to others; zero or less means 1.
	Weight       float64
	PromptTokens int
	// MaxTokens limits the output; zero means no limit.
	MaxTokens int
	// CachedTokens is the number of prompt tokens expected in the engine's prefix cache; at most PromptTokens.
	CachedTokens int
	Arrived      time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Start instructs the sidecar to send a queued request to the engine.
type Start struct {
	ID string
	// Priority decides the order of preemption in the engine: requests with lower numbers are preempted later.
	Priority int
}

// EngineReport is the state that the engine reported about itself. It describes the time At, which can be well before
// the report arrives.
type EngineReport struct {
	At time.Time
	// UsedBlocks counts the memory blocks of running requests. Blocks held only by the prefix cache count as free.
	UsedBlocks  int
	TotalBlocks int
	// BlockTokens is the number of tokens that fit into one block.
	BlockTokens int
	Running     int
	Waiting     int
	// StepTime is the duration of the engine's last step.
	StepTime time.Duration
	// Preemptions counts preemptions since the engine started.
	Preemptions uint64
}

// Load is the policy's view of the endpoint's load. The sidecar reports it to entries.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens int
	UsedBlocks   int
	TotalBlocks  int
	// ForecastBlocks is the predicted peak memory use of the running requests.
	ForecastBlocks int
	StepTime       time.Duration
	// Wait is the predicted time to the first token of a request that arrives now.
	Wait time.Duration
}

// Policy makes the admission decisions for one endpoint. It is not safe for concurrent use. The times passed to its
// methods must not decrease.
type Policy interface {
	// Offer queues r or refuses it immediately. A refusal unwraps to ErrOverloaded and means that r has not run.
	Offer(now time.Time, r Request) error
	// Next returns the requests to send to the engine now, in order. They count as running from this call on.
	Next(now time.Time) []Start
	// Expired removes and returns the queued requests that can no longer be served in time. They have not run.
	Expired(now time.Time) []string
	// Progress records how many tokens a running request has generated so far in total.
	Progress(now time.Time, id string, generated int)
	// Done removes a running or queued request. complete is false if the output was cut short by a cancellation or an
	// error.
	Done(now time.Time, id string, generated int, complete bool)
	// Report records an engine report. Reports older than the latest one are ignored.
	Report(now time.Time, e EngineReport)
	Load(now time.Time) Load
	// Wake returns the latest time by which Next and Expired must be called again. Zero means that they need not be
	// called until another method is.
	Wake(now time.Time) time.Time
}

// Config holds the settings of the service that a policy depends on.
type Config struct {
	// Weigh selects the latency measure that takes precedence.
	Weigh toucansettings.LatencyPriority
	// FirstToken and InterToken are the latency bounds to be met for 95% of requests; zero means the default.
	FirstToken time.Duration
	InterToken time.Duration
	// Quantile is the probability that the engine's memory holds all admitted requests; zero means the default. At 1,
	// requests are admitted only if they fit even when each produces its longest possible output.
	Quantile float64
}

// Defaults of the fields of Config.
const (
	DefaultFirstToken = 1200 * time.Millisecond
	DefaultInterToken = 68 * time.Millisecond
	DefaultQuantile   = 0.9
)

func (c Config) withDefaults() Config {
	if c.Weigh == "" {
		c.Weigh = toucansettings.PrioritizeInterTokenLatency
	}
	if c.FirstToken <= 0 {
		c.FirstToken = DefaultFirstToken
	}
	if c.InterToken <= 0 {
		c.InterToken = DefaultInterToken
	}
	if c.Quantile <= 0 || c.Quantile > 1 {
		c.Quantile = DefaultQuantile
	}
	return c
}
