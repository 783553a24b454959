// Package toucanschedule runs the admission policy of an endpoint: it serializes the calls to the policy and starts
// or expires requests as the policy decides.
package toucanschedule

import (
	"context"
	"sync"
	"time"

	"toucanport/toucanadmit"
)

// Schedule runs an admission policy. It is safe for concurrent use.
type Schedule struct {
	// start sends a request to the engine. The engine evicts requests of the lowest priority first.
	start func(id string, priority int)
	// expire ends a request that has not run. retryAfter is the time after which a similar request would be served in
	// time.
	expire func(id string, retryAfter time.Duration)
	// wakeup makes Run query the policy again. It holds at most one pending signal.
	wakeup chan struct{}

	mu     sync.Mutex
	policy *toucanadmit.ReplaceablePolicy
	// queued is true if the policy had queued requests in the last step.
	queued bool
}

// minRetryAfter is the minimum retry delay of an expired request.
const minRetryAfter = 200 * time.Millisecond

// New returns a schedule that is inactive until Run is called. Run calls start and expire in its goroutine.
func New(policy toucanadmit.Policy, start func(string, int), expire func(string, time.Duration)) *Schedule {
	return &Schedule{start: start, expire: expire, wakeup: make(chan struct{}, 1), policy: toucanadmit.NewReplaceablePolicy(policy)}
}

// Replace makes policy decide on all requests that arrive from now on.
func (s *Schedule) Replace(policy toucanadmit.Policy) {
	s.mu.Lock()
	s.policy.Replace(policy)
	s.mu.Unlock()
	s.wake()
}

// Run executes the policy's decisions until ctx is done.
func (s *Schedule) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wake := s.step()
		timer.Reset(wake)
		select {
		case <-s.wakeup:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// step executes the policy's current decisions and returns the time after which the next step is due at the latest.
func (s *Schedule) step() time.Duration {
	s.mu.Lock()
	now := time.Now()
	expired := s.policy.Expired(now)
	starts := s.policy.Next(now)
	wake := s.policy.Wake(now)
	s.queued = !wake.IsZero()
	var retryAfter time.Duration
	if len(expired) > 0 {
		retryAfter = max(s.policy.Load(now).Wait, minRetryAfter)
	}
	s.mu.Unlock()
	for _, id := range expired {
		s.expire(id, retryAfter)
	}
	for _, st := range starts {
		s.start(st.ID, -st.Priority)
	}
	if wake.IsZero() {
		return time.Hour
	}
	return max(wake.Sub(now), time.Millisecond)
}

func (s *Schedule) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Offer adds a request to the queue. If the policy refuses it, the error unwraps to toucanadmit.ErrOverloaded.
func (s *Schedule) Offer(r toucanadmit.Request) error {
	s.mu.Lock()
	err := s.policy.Offer(time.Now(), r)
	s.mu.Unlock()
	s.wake()
	return err
}

// Progress reports how many tokens a running request has generated so far.
func (s *Schedule) Progress(id string, generated int) {
	s.mu.Lock()
	s.policy.Progress(time.Now(), id, generated)
	queued := s.queued
	s.mu.Unlock()
	if queued {
		s.wake()
	}
}

// Done removes a request, running or queued.
func (s *Schedule) Done(id string, generated int, complete bool) {
	s.mu.Lock()
	s.policy.Done(time.Now(), id, generated, complete)
	s.mu.Unlock()
	s.wake()
}

// Report passes a load report of the engine to the policy.
func (s *Schedule) Report(r toucanadmit.EngineReport) {
	s.mu.Lock()
	s.policy.Report(time.Now(), r)
	s.mu.Unlock()
	s.wake()
}

// Load returns the policy's view of the endpoint's load.
func (s *Schedule) Load() toucanadmit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Load(time.Now())
}
