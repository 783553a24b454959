package toucanplace

import "time"

const (
	// otherSourceCost is the cost of a target that another draining endpoint copies to: two copies to one target take twice as long.
	otherSourceCost = 0.6
	// drainDomainCost is the further cost of a copy from a draining endpoint to another failure domain: it takes twice as long, which the
	// endpoint's notice may not leave.
	drainDomainCost = 1.5
	// maxWaitingCopies bounds the generations at a draining endpoint for which a slow copy costs more, since they wait for its link.
	maxWaitingCopies = 5
	// targetMix spreads the targets of copies over sources.
	targetMix = 0x9E3779B97F4A7C15
	// departingMemory is how long the load of an endpoint is kept after the list has lost it. Most are listed as draining first; those
	// that are not still serve their generations for a while.
	departingMemory = 10 * time.Second
)

// known returns an endpoint that is listed, or was until lately. The caller holds p.mu.
func (p *Placer) known(id string) (*endpointState, bool) {
	if s, ok := p.endpoints[id]; ok {
		return s, true
	}
	s, ok := p.departing[id]
	return s, ok
}

// returned takes back an endpoint that the list has lost and has again. The caller holds p.mu.
func (p *Placer) returned(e Endpoint) (*endpointState, bool) {
	s, ok := p.departing[e.ID]
	delete(p.departing, e.ID)
	return s, ok
}

// keepDeparting adds the endpoints that the list has lost to byKey, and forgets those that have been gone for departingMemory. The caller
// holds p.mu.
func (p *Placer) keepDeparting(now time.Time, byKey map[uint64]*endpointState) {
	for id, s := range p.departing {
		if now.Sub(s.goneAt) > departingMemory {
			delete(p.departing, id)
			continue
		}
		byKey[s.key] = s
	}
}

// drainCost returns copyCost with what a target costs the other generations that leave draining endpoints: those at the same source wait
// while a copy to another failure domain takes twice as long, and those of other sources need their own targets. The caller holds
// p.mu.
func (p *Placer) drainCost(now time.Time, from Endpoint, copyCost func(*endpointState) float64) func(*endpointState) float64 {
	source, ok := p.known(from.ID)
	if !ok || !source.isDraining() {
		return copyCost
	}
	waiting := min(max(p.total(now, source).Requests-1, 0), maxWaitingCopies)
	sources := p.drainingSources(now, from.Service)
	return func(s *endpointState) float64 {
		c := copyCost(s)
		if s.FailureDomain != from.FailureDomain {
			c += drainDomainCost + copyDomainCost*float64(waiting)
		}
		if owner := sourceOf(s, sources); owner != nil && owner != source {
			c += otherSourceCost
		}
		return c
	}
}

// drainingSources returns the draining endpoints of a service that requests still run at. The caller holds p.mu.
func (p *Placer) drainingSources(now time.Time, service string) []*endpointState {
	var sources []*endpointState
	for _, s := range p.byKey {
		if s.Service == service && s.isDraining() && p.total(now, s).Requests > 0 {
			sources = append(sources, s)
		}
	}
	return sources
}

// sourceOf returns the one of the draining endpoints that a target is meant for: one of the target's failure domain, if there are such.
// Entries with the same list agree on it, and the end of one source changes only its targets. It is nil without sources.
func sourceOf(target *endpointState, sources []*endpointState) *endpointState {
	var best *endpointState
	bestNear, bestWeight := false, uint64(0)
	for _, s := range sources {
		near, weight := s.FailureDomain == target.FailureDomain, (s.key^target.key)*targetMix
		if best == nil || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = s, near, weight
		}
	}
	return best
}
