// Package toucanadmit decides which of an endpoint's requests its engine may start, and when. It is pure: it does no
// I/O and reads no clock but the one handed in.
package toucanadmit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucansettings"
)

// Class divides requests by the length of answer that their caller expects.
type Class string

// The classes of request.
const (
	// ClassBrief is a short question; it is served ahead of plans.
	ClassBrief Class = "brief"
	// ClassPlan is a long document.
	ClassPlan Class = "plan"
)

// ErrOverloaded says that a request was refused and has not run.
var ErrOverloaded = errors.New("endpoint is overloaded")

// RefusalError is an ErrOverloaded that tells when to come back.
type RefusalError struct {
	// RetryAfter is when the endpoint is predicted to keep its first-token bound again; above zero.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrOverloaded, e.RetryAfter)
}

// Unwrap returns ErrOverloaded.
func (e *RefusalError) Unwrap() error { return ErrOverloaded }

// Request is one generation asked of the endpoint.
type Request struct {
	// ID is unique among the requests that a policy holds.
	ID        string
	Workspace string
	Class     Class
	// Weight is the workspace's share relative to others; zero or less means 1.
	Weight       float64
	PromptTokens int
	// MaxTokens bounds the output; zero means unbounded.
	MaxTokens int
	// CachedTokens is the part of the prompt expected in the engine's prefix cache; at most PromptTokens.
	CachedTokens int
	Arrived      time.Time
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Start tells the sidecar to hand a request to the engine.
type Start struct {
	ID string
	// Priority orders preemption in the engine: the lower the number, the later the request is preempted.
	Priority int
}

// EngineReport is what the engine said of itself. It describes the time At, which may lie well before its arrival.
type EngineReport struct {
	At time.Time
	// UsedBlocks counts blocks of running requests; blocks held only by the prefix cache are free.
	UsedBlocks  int
	TotalBlocks int
	// BlockTokens is how many tokens a block holds.
	BlockTokens int
	Running     int
	Waiting     int
	// StepTime is the duration of the engine's last step.
	StepTime time.Duration
	// Preemptions counts since the engine's start.
	Preemptions uint64
}

// Load is a policy's own account of the endpoint, for the reports to entries.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens int
	UsedBlocks   int
	TotalBlocks  int
	// ForecastBlocks is the predicted peak of the running requests.
	ForecastBlocks int
	StepTime       time.Duration
	// Wait is the predicted time to the first token of a request that arrives now.
	Wait time.Duration
}

// Policy decides for one endpoint. It is not safe for concurrent use. Times handed to it never go back.
type Policy interface {
	// Offer queues r, or refuses it at once with an error that unwraps to ErrOverloaded: r has not run.
	Offer(now time.Time, r Request) error
	// Next returns the requests to hand to the engine now, in order; they count as running from here on.
	Next(now time.Time) []Start
	// Expired removes and returns queued requests that can no longer be served in time. They have not run.
	Expired(now time.Time) []string
	// Progress says that a running request has generated so many tokens so far.
	Progress(now time.Time, id string, generated int)
	// Done removes a request, running or queued. complete is false when the output was cut by a cancel or an error.
	Done(now time.Time, id string, generated int, complete bool)
	// Report takes in a report of the engine; one older than the last is ignored.
	Report(now time.Time, e EngineReport)
	Load(now time.Time) Load
	// Wake is when Next and Expired should be called again at the latest; zero means not until another call.
	Wake(now time.Time) time.Time
}

// Config is what a policy is told of its service.
type Config struct {
	// Weigh is the measure kept low first.
	Weigh toucansettings.Weigh
	// FirstToken and InterToken are the bounds kept for 95 in 100 requests; zero means the default.
	FirstToken time.Duration
	InterToken time.Duration
	// Quantile is the probability that the engine's memory holds what was admitted; zero means the default, and 1
	// admits only what fits at every request's longest output.
	Quantile float64
}

// Defaults of Config.
const (
	DefaultFirstToken = 1200 * time.Millisecond
	DefaultInterToken = 68 * time.Millisecond
	DefaultQuantile   = 0.9
)

func (c Config) withDefaults() Config {
	if c.Weigh == "" {
		c.Weigh = toucansettings.WeighInterTokenLatency
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
