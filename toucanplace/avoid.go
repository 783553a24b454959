package toucanplace

import (
	"slices"
	"time"
)

// forgetLeaving drops what endpoints said that have been gone for leavingMemory. The caller holds p.mu.
func (p *Placer) forgetLeaving(now time.Time) {
	for _, s := range p.endpoints {
		if s.saidLeaving {
			p.saidLeaving[s.key] = now
		}
	}
	for key, at := range p.saidLeaving {
		if now.Sub(at) > leavingMemory {
			delete(p.saidLeaving, key)
		}
	}
}

// MarkLeaving records that an endpoint said in an answer that it drains, which holds for its incarnation. It returns true
// if this is new.
func (p *Placer) MarkLeaving(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[id]
	if !ok || s.saidLeaving {
		return false
	}
	s.saidLeaving = true
	p.saidLeaving[s.key] = now
	broadcast(&p.departed)
	broadcast(&p.changed)
	return true
}

// SaidLeaving returns the Keys of the listed endpoints that said in an answer that they drain.
func (p *Placer) SaidLeaving() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []uint64
	for _, s := range p.endpoints {
		if s.saidLeaving {
			keys = append(keys, s.key)
		}
	}
	return keys
}

// Unreachable returns the Keys of the endpoints that this entry suspects because it could not reach them.
func (p *Placer) Unreachable(now time.Time) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []uint64
	for _, s := range p.endpoints {
		if now.Before(s.suspectUntil) {
			keys = append(keys, s.key)
		}
	}
	return keys
}

// MarkUnreachable adds a cost for a short time to endpoints that a peer reports as unreachable, given their Keys. It is called after
// Observe with the same report.
func (p *Placer) MarkUnreachable(now time.Time, peer string, keys []uint64) {
	if len(keys) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reported := p.peers[peer]
	reported.unreachable = keys
	p.peers[peer] = reported
	for _, s := range p.endpoints {
		if !slices.Contains(keys, s.key) {
			continue
		}
		s.peerSuspectUntil = now.Add(peerSuspectDuration)
		if !p.mostReach(now, s) {
			s.suspectCold(now)
		}
	}
}

// mostReach reports whether at least half of the entries that have requests at an endpoint, or can't reach it, do reach it. This entry
// also reaches it if it got an answer within reachedMemory. The caller holds p.mu.
func (p *Placer) mostReach(now time.Time, s *endpointState) bool {
	p.expirePeers(now)
	reach, miss := 0, 0
	if s.own.Requests > 0 || now.Sub(s.answeredAt) < reachedMemory {
		reach++
	}
	for _, reported := range p.peers {
		switch {
		case slices.Contains(reported.unreachable, s.key):
			miss++
		case reported.uses[s.key].Requests > 0:
			reach++
		}
	}
	return reach >= miss && reach > 0
}

// Suspect adds a high cost for a time to an endpoint that does not answer.
func (p *Placer) Suspect(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.endpoints[id]; ok {
		s.suspect(now)
	}
}

// Defer keeps this entry's requests away from an endpoint for a time, as the endpoint asked. What it asked for before stands: an answer that
// names a shorter time does not take a longer one back.
func (p *Placer) Defer(now time.Time, id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.endpoints[id]; ok {
		if end := now.Add(min(d, maxDeferral)); end.After(s.deferredUntil) {
			s.deferredUntil = end
		}
	}
}

// DeferredFor returns how long every endpoint of a service that takes new requests has asked this entry for none; zero if
// one has not.
func (p *Placer) DeferredFor(now time.Time, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := time.Duration(0)
	for _, s := range p.services[service] {
		if !s.takesNew() {
			continue
		}
		left := s.deferredUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// SetReportedLeaving replaces the set of endpoints that peers report as draining, given by their Keys.
func (p *Placer) SetReportedLeaving(keys map[uint64]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyDeparted := false
	for _, s := range p.endpoints {
		anyDeparted = anyDeparted || keys[s.key] && !s.reportedLeaving
		s.reportedLeaving = keys[s.key]
	}
	if anyDeparted {
		broadcast(&p.departed)
	}
}
