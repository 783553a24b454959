// Package toucanretry decides whether and when a failed request is retried: only if that is safe, before the request's
// deadline, and within a retry budget, which is a fraction of the requests of its service.
package toucanretry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Failure describes an attempt that failed.
type Failure struct {
	// NotRun is true if the endpoint provably did not run the request.
	NotRun bool
	// AnswerStarted is true if any part of the answer has been passed on to the caller.
	AnswerStarted bool
	// Resumable is true if the next endpoint leaves out what has been passed on to the caller.
	Resumable bool
	// Idempotent is true if running the request twice does no harm, as for generations.
	Idempotent bool
	// Draining is true if the endpoint returned the request because it drains. The retry then costs no budget, because
	// an endpoint drains only once and so cannot cause a retry storm.
	Draining bool
	// Unsent is true if nothing of the request reached an endpoint. The retry then adds no load to endpoints and costs
	// no budget.
	Unsent bool
	// RetryAfter is the shortest delay that the endpoint asked for; zero for none.
	RetryAfter time.Duration
}

// Safe reports whether a retry is safe: it cannot apply an order twice, and the caller cannot get a mix of two answers.
func (f Failure) Safe() bool {
	if f.AnswerStarted && !f.Resumable {
		return false
	}
	return f.NotRun || f.Idempotent
}

// Plan tracks the attempts of one request and decides on retries. It is not safe for concurrent use.
type Plan struct {
	budget   *Budget
	service  string
	deadline time.Time
	backoff  *backoff.ExponentialBackOff
	// attempts is the number of attempts begun, including the first.
	attempts    int
	maxAttempts int
}

// PlanOption configures a Plan.
type PlanOption func(*Plan)

// WithMaxAttempts sets the maximum number of attempts, including the first.
func WithMaxAttempts(n int) PlanOption { return func(p *Plan) { p.maxAttempts = n } }

// WithBackoff sets the initial and the maximum delay, before jitter is applied.
func WithBackoff(initial, limit time.Duration) PlanOption {
	return func(p *Plan) {
		p.backoff.InitialInterval = initial
		p.backoff.MaxInterval = limit
	}
}

const (
	defaultMaxAttempts    = 3
	defaultInitialBackoff = 10 * time.Millisecond
	defaultMaxBackoff     = 200 * time.Millisecond
	backoffJitter         = 0.5
)

// NewPlan returns the plan of a new request and counts its first attempt. The request adds to the service's retry
// budget.
func NewPlan(now time.Time, b *Budget, service string, deadline time.Time, opts ...PlanOption) *Plan {
	p := &Plan{
		budget:      b,
		service:     service,
		deadline:    deadline,
		attempts:    1,
		maxAttempts: defaultMaxAttempts,
		backoff:     backoff.NewExponentialBackOff(),
	}
	p.backoff.InitialInterval = defaultInitialBackoff
	p.backoff.MaxInterval = defaultMaxBackoff
	p.backoff.RandomizationFactor = backoffJitter
	for _, opt := range opts {
		opt(p)
	}
	p.backoff.Reset()
	b.Request(now, service)
	return p
}

// Attempts returns the number of attempts begun, including the first.
func (p *Plan) Attempts() int { return p.attempts }

// Next decides on a retry after a failed attempt. It counts the retry and returns the delay before it, or returns false
// if the request must not be retried: a retry is unsafe, the attempts or the budget are exhausted, or the delay would
// reach the deadline.
func (p *Plan) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !f.Safe() || p.attempts >= p.maxAttempts {
		return 0, false
	}
	delay := max(p.backoff.NextBackOff(), f.RetryAfter)
	if !now.Add(delay).Before(p.deadline) {
		return 0, false
	}
	if !f.Draining && !f.Unsent && !p.budget.Withdraw(now, p.service) {
		return 0, false
	}
	p.attempts++
	return delay, true
}
