package toucanpeer

import (
	"slices"
	"time"

	"toucanport/toucanmoveorder"
)

// Announce replaces this entry's generations at a draining endpoint. Without generations, the endpoint is removed from
// the reports.
func (s *SharedState) Announce(endpoint uint64, generations []toucanmoveorder.Generation) {
	s.mu.Lock()
	same := sameGenerations(s.generations[endpoint], generations)
	if len(generations) == 0 {
		delete(s.generations, endpoint)
	} else {
		s.generations[endpoint] = generations
	}
	s.mu.Unlock()
	if !same {
		s.RequestReport()
	}
}

// sameGenerations reports whether two lists hold the same generations in the same order. It ignores their progress,
// which needs no immediate report.
func sameGenerations(x, y []toucanmoveorder.Generation) bool {
	return slices.EqualFunc(x, y, func(a, b toucanmoveorder.Generation) bool { return a.ID == b.ID })
}

// Ahead reports whether a peer has a generation at the endpoint that must be moved before g.
func (s *SharedState) Ahead(now time.Time, endpoint uint64, g toucanmoveorder.Generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			continue
		}
		for _, other := range p.report.GetRuns() {
			if other.GetEndpoint() == endpoint && toucanmoveorder.Before(other.generation(), g) {
				return true
			}
		}
	}
	return false
}

func (r *Run) generation() toucanmoveorder.Generation {
	return toucanmoveorder.Generation{ID: r.GetId(), Tokens: int(r.GetTokens()), Remaining: time.Duration(r.GetLeftMillis()) * time.Millisecond}
}

// BeginCopy records that memory is being copied to an endpoint, until the caller calls the returned function.
func (s *SharedState) BeginCopy(endpoint uint64) (end func()) {
	s.mu.Lock()
	s.copying[endpoint]++
	s.mu.Unlock()
	s.RequestReport()
	return func() {
		s.mu.Lock()
		if s.copying[endpoint]--; s.copying[endpoint] == 0 {
			delete(s.copying, endpoint)
		}
		s.mu.Unlock()
		s.RequestReport()
	}
}

// Copying reports whether this entry or a peer is copying memory to an endpoint.
func (s *SharedState) Copying(now time.Time, endpoint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copying[endpoint] > 0 || s.copyingByPeer(now, endpoint)
}

// CopyingByPeer reports whether a peer is copying memory to an endpoint.
func (s *SharedState) CopyingByPeer(now time.Time, endpoint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyingByPeer(now, endpoint)
}

// copyingByPeer is CopyingByPeer for callers that hold s.mu.
func (s *SharedState) copyingByPeer(now time.Time, endpoint uint64) bool {
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			continue
		}
		for _, k := range p.report.GetCopyingTo() {
			if k == endpoint {
				return true
			}
		}
	}
	return false
}
