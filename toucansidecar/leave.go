package toucansidecar

import (
	"context"
	"time"

	"toucanport/toucanstream"
)

const (
	// shortNotice is the time to stop below which requests without a token are handed back at once, so that
	// they start anew elsewhere while that is still possible.
	shortNotice = 15 * time.Second
	// endMargin is how long before the end of a bounded stop the rest is ended with a truthful answer.
	endMargin = time.Second
)

// Leave stops taking new work. Work in progress goes on.
func (s *Sidecar) Leave() {
	// The lock orders this after every request that was counted as work in progress.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.Store(true)
}

// Shutdown stops taking new work and waits until the work in progress has ended. When ctx has a deadline, what
// cannot finish before it is ended shortly before with an answer that says how far it came.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	s.Leave()
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return s.working.wait(ctx)
	}
	if time.Until(deadline) <= shortNotice {
		s.endGenerations(func(g *generation) bool { return g.buffer.Delivered() == 0 && !g.resumed })
	}
	early, cancel := context.WithDeadline(ctx, deadline.Add(-endMargin))
	defer cancel()
	if s.working.wait(early) == nil {
		return nil
	}
	s.log.Warn("ending work that cannot finish in time", "requests", s.working.count())
	s.endGenerations(func(*generation) bool { return true })
	return s.working.wait(ctx)
}

// endGenerations ends those generations that are still going on and that match.
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

// endEarly ends a generation because the endpoint leaves. It says "not run" only of one that can no longer start.
func (s *Sidecar) endEarly(g *generation) {
	if g.settled.CompareAndSwap(false, true) {
		s.schedule.Done(g.id, 0, false)
		g.buffer.Finish(toucanstream.End{Failure: codeLeaving, Message: "the endpoint left before the request started"})
		return
	}
	g.buffer.Finish(toucanstream.End{Failure: codeReclaimed, Message: "the endpoint was reclaimed before the answer was whole"})
	g.cancel()
}
