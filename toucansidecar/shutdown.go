package toucansidecar

import (
	"context"
	"time"

	"toucanport/toucanstream"
	"toucanport/toucanwait"
)

const (
	// shortShutdown is the time until the deadline of Shutdown at or below which requests without a delivered token are
	// ended immediately, so that entries still have time to restart them at another endpoint.
	shortShutdown = 15 * time.Second
	// endMargin is how long before the deadline of Shutdown the remaining generations and calls are ended, so that there is
	// time to send their refusals and to record the orders.
	endMargin = time.Second
	// noticeTime is how long a sidecar with links refuses new work before Shutdown returns, so that the entries have learnt that
	// it leaves and get refusals for what is on its way.
	noticeTime = time.Second
)

// Drain makes the sidecar refuse new work. Work in progress continues.
func (s *Sidecar) Drain() {
	// The lock ensures that every request that was accepted before Drain is already counted as work in progress.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainCalled.Store(true)
}

// Shutdown makes the sidecar refuse new work and waits until the work in progress has ended, for at least noticeTime if there
// are links. If ctx has a deadline, the generations and calls that are still running shortly before it are ended with a
// refusal.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	s.Drain()
	noticed := time.Now().Add(noticeTime)
	if err := s.awaitWork(ctx); err != nil {
		return err
	}
	if s.linkCount() > 0 {
		toucanwait.Sleep(ctx, time.Until(noticed))
	}
	return nil
}

// awaitWork waits until the work in progress has ended, and ends what cannot finish in time.
func (s *Sidecar) awaitWork(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return s.inProgress.wait(ctx)
	}
	if time.Until(deadline) <= shortShutdown {
		s.endGenerations(func(g *generation) bool { return g.buffer.Delivered() == 0 && !g.resumed })
	}
	early, cancel := context.WithDeadline(ctx, deadline.Add(-endMargin))
	defer cancel()
	if s.inProgress.wait(early) == nil {
		return nil
	}
	s.log.Warn("ending work that cannot finish in time", "requests", s.inProgress.count())
	s.endGenerations(func(*generation) bool { return true })
	s.endCalls()
	return s.inProgress.wait(ctx)
}

// endGenerations ends the running generations for which match returns true.
func (s *Sidecar) endGenerations(match func(*generation) bool) {
	s.mu.Lock()
	var ending []*generation
	for _, g := range s.generations {
		if g.buffer.Ended() == nil && match(g) {
			ending = append(ending, g)
		}
	}
	s.mu.Unlock()
	for _, g := range ending {
		s.endEarly(g)
	}
}

// endEarly ends a generation because the endpoint is draining. Its refusal has `ran` "no" only if the generation can no
// longer start at the engine.
func (s *Sidecar) endEarly(g *generation) {
	if g.startDecided.CompareAndSwap(false, true) {
		s.schedule.Done(g.id, 0, false)
		g.buffer.Finish(toucanstream.End{Failure: codeLeaving, Message: "the endpoint left before the request started"})
		return
	}
	g.buffer.Finish(toucanstream.End{Failure: codeReclaimed, Message: "the endpoint was reclaimed before the answer was whole"})
	g.cancel()
}
