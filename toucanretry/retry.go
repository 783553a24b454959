// Package toucanretry decides whether and when a request is tried again: only when that is safe, within the
// request's deadline, and within a budget that is a fraction of the requests of its service.
package toucanretry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Failure describes how an attempt ended without an answer.
type Failure struct {
	// NotRun is true on proof that the endpoint did not run the request.
	NotRun bool
	// HandedOver is true when any part of the answer has reached the caller.
	HandedOver bool
	// Repeatable is true when running the request again has no effect besides its answer, as for generations.
	Repeatable bool
	// Leaving is true when the endpoint gave the request back because it leaves. An endpoint does so once, so that
	// it cannot cause a retry storm and costs no budget.
	Leaving bool
	// Unsent is true when nothing of the request reached an endpoint. Another attempt is then no further arrival and
	// costs no budget.
	Unsent bool
	// RetryAfter is what the endpoint asked for; zero when it asked for nothing.
	RetryAfter time.Duration
}

// Safe reports whether another attempt can neither apply an order twice nor mix two answers.
func (f Failure) Safe() bool {
	if f.HandedOver {
		return false
	}
	return f.NotRun || f.Repeatable
}

// Plan is the course of one request's attempts. It is not safe for concurrent use.
type Plan struct {
	budget   *Budget
	service  string
	deadline time.Time
	backoff  *backoff.ExponentialBackOff
	// attempts counts those begun, the first included.
	attempts    int
	maxAttempts int
}

// PlanOption changes a Plan.
type PlanOption func(*Plan)

// WithMaxAttempts bounds the attempts, the first included.
func WithMaxAttempts(n int) PlanOption { return func(p *Plan) { p.maxAttempts = n } }

// WithBackoff sets the first and the longest delay before jitter.
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

// NewPlan begins the first attempt of a request, which counts towards the service's budget.
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

// Attempts returns the attempts begun.
func (p *Plan) Attempts() int { return p.attempts }

// Next begins another attempt after a failure and returns the delay before it. It returns false when the
// request must get its final answer now: another attempt is unsafe, the attempts or the budget are used up, or
// the delay would pass the deadline.
func (p *Plan) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !f.Safe() || p.attempts >= p.maxAttempts {
		return 0, false
	}
	delay := max(p.backoff.NextBackOff(), f.RetryAfter)
	if !now.Add(delay).Before(p.deadline) {
		return 0, false
	}
	if !f.Leaving && !f.Unsent && !p.budget.Withdraw(now, p.service) {
		return 0, false
	}
	p.attempts++
	return delay, true
}
