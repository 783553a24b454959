// Package toucanschedule runs an endpoint's admission policy: it serializes access to it and carries out what it decides.
package toucanschedule

import (
	"context"
	"sync"
	"time"

	"toucanport/toucanadmit"
)

// Schedule runs the admission policy: it serializes access to it and carries out what it decides.
type Schedule struct {
	// start hands a request to the engine, which preempts the lowest priority first.
	start func(id string, priority int)
	// expire ends a request that has not run; retryAfter is when another like it would be served in time.
	expire func(id string, retryAfter time.Duration)
	// poke has room for one pending wake-up.
	poke chan struct{}

	mu     sync.Mutex
	policy *toucanadmit.ReplaceablePolicy
	// queued is whether requests waited when the policy was asked last.
	queued bool
}

// minRetryAfter is the soonest that a request which was given up on may come back.
const minRetryAfter = 200 * time.Millisecond

// New returns a schedule that does nothing until Run. start and expire are called from Run's goroutine.
func New(policy toucanadmit.Policy, start func(string, int), expire func(string, time.Duration)) *Schedule {
	return &Schedule{start: start, expire: expire, poke: make(chan struct{}, 1), policy: toucanadmit.NewReplaceablePolicy(policy)}
}

// Replace makes policy decide about requests that come from now on.
func (s *Schedule) Replace(policy toucanadmit.Policy) {
	s.mu.Lock()
	s.policy.Replace(policy)
	s.mu.Unlock()
	s.wake()
}

// Run carries out decisions until ctx is done.
func (s *Schedule) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wake := s.step()
		timer.Reset(wake)
		select {
		case <-s.poke:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// step carries out the policy's decisions and returns the time until the next one at the latest.
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
	case s.poke <- struct{}{}:
	default:
	}
}

// Offer asks for a request to be admitted. An error unwraps to toucanadmit.ErrOverloaded: it has not run.
func (s *Schedule) Offer(r toucanadmit.Request) error {
	s.mu.Lock()
	err := s.policy.Offer(time.Now(), r)
	s.mu.Unlock()
	s.wake()
	return err
}

// Progress says that a running request has generated so many tokens so far.
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

// Report takes in a report of the engine.
func (s *Schedule) Report(r toucanadmit.EngineReport) {
	s.mu.Lock()
	s.policy.Report(time.Now(), r)
	s.mu.Unlock()
	s.wake()
}

// Load returns the policy's own account of the endpoint.
func (s *Schedule) Load() toucanadmit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Load(time.Now())
}
