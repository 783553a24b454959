package toucanplace

import (
	"time"

	"toucanport/toucanway"
)

const (
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

// addDraining adds to a copy from an endpoint what it costs the other generations that leave draining endpoints, if it drains: those at the
// same source wait for its link, and those of other sources need their own targets. The caller holds p.mu.
func (p *Placer) addDraining(now time.Time, from Endpoint, c *toucanway.Copy) {
	source, ok := p.known(from.ID)
	if !ok || !source.isDraining() {
		return
	}
	c.Draining = true
	c.Waiting = p.total(now, source).Requests - 1
	for _, s := range p.byKey {
		if s.Service == from.Service && s.isDraining() && p.total(now, s).Requests > 0 {
			c.Sources = append(c.Sources, s.end())
		}
	}
}

// end returns the endpoint as an end of a copy.
func (e Endpoint) end() toucanway.End {
	return toucanway.End{Key: e.Key(), FailureDomain: e.FailureDomain}
}

// end is that of Endpoint with the cached Key.
func (s *endpointState) end() toucanway.End {
	return toucanway.End{Key: s.key, FailureDomain: s.FailureDomain}
}
