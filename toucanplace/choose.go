package toucanplace

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Backup reserves memory for a backup of a generation that runs at the endpoint at. The backup is placed on another
// endpoint of the service, preferably in the same failure domain. The error is ErrFull.
func (p *Placer) Backup(now time.Time, at Endpoint, d Demand) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *endpointState
	var bestCost float64
	for _, s := range p.services[at.Service] {
		u := p.total(now, s)
		if s.isDraining() || s.isDeferred(now) || s.OtherCell || s.ID == at.ID || now.Before(s.suspectUntil) || !s.fitsBackup(u, d) {
			continue
		}
		c := s.cost(now, u)
		if s.FailureDomain != at.FailureDomain {
			c += copyDomainCost
		}
		if best == nil || c < bestCost {
			best, bestCost = s, c
		}
	}
	if best == nil {
		return nil, errors.Wrap(ErrFull, at.Service)
	}
	u := Use{Tokens: d.Tokens()}
	best.own = best.own.plus(u)
	p.usesChanged(u)
	return &Reservation{Endpoint: best.Endpoint, placer: p, state: best, use: u}, nil
}

// Filter reports whether an endpoint is eligible for a placement.
type Filter func(Endpoint) bool

// Place reserves capacity for d on the endpoint of a service with the lowest cost. It considers only endpoints that
// allowed accepts; nil accepts all. The error is ErrNoEndpoint, ErrFull or ErrTooLarge.
func (p *Placer) Place(now time.Time, service string, d Demand, allowed Filter) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, why, err := p.choose(now, service, d, allowed, memoryShare, p.domainCost(otherDomainCost))
	if err != nil {
		return nil, err
	}
	r := p.reserve(best, d)
	r.Choice = why
	return r, nil
}

// HasEndpoint reports whether a service has an endpoint that takes new requests and that allowed accepts. It ignores
// load.
func (p *Placer) HasEndpoint(service string, allowed Filter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.services[service], func(s *endpointState) bool { return !s.isDraining() && allowed(s.Endpoint) })
}

// domainCost returns a function that adds cost to endpoints outside this entry's failure domain.
func (p *Placer) domainCost(cost float64) func(*endpointState) float64 {
	return func(s *endpointState) float64 {
		if s.FailureDomain == p.domain {
			return 0
		}
		return cost
	}
}

// PlaceCopy is Place for a generation whose memory is copied from another endpoint. It prefers the source's failure
// domain, where copies take half the time. It varies the cost by source and target, so that two endpoints that drain
// together don't copy to the same target. It can fill memory beyond the limit of Place.
func (p *Placer) PlaceCopy(now time.Time, from Endpoint, d Demand, allowed Filter) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	source := from.Key()
	extra := func(s *endpointState) float64 {
		c := copySpreadCost * float64((source^s.key)%copySpreadSteps) / copySpreadSteps
		if s.FailureDomain != from.FailureDomain {
			c += copyDomainCost
		}
		return c
	}
	best, why, err := p.choose(now, from.Service, d, allowed, copyShare, extra)
	if err != nil {
		return nil, err
	}
	r := p.reserve(best, d)
	r.Choice = why
	r.markPromptRead()
	return r, nil
}

// choose selects the endpoint with the lowest cost. It considers endpoints of other entries only if this entry's own
// endpoints are full, draining or not allowed, and not if the request is too large for them.
func (p *Placer) choose(now time.Time, service string, d Demand, allowed Filter, share float64, extra func(*endpointState) float64) (*endpointState, Choice, error) {
	best, why, err := p.chooseAmong(now, service, d, share, extra, func(s *endpointState) bool {
		return !s.OtherCell && (allowed == nil || allowed(s.Endpoint))
	})
	if err == nil || errors.Is(err, ErrTooLarge) || !p.hasOtherCell(service) {
		return best, why, err
	}
	return p.chooseAmong(now, service, d, share, extra, func(s *endpointState) bool {
		return allowed == nil || allowed(s.Endpoint)
	})
}

// hasOtherCell reports whether some endpoints of a service are assigned to other entries.
func (p *Placer) hasOtherCell(service string) bool {
	for _, s := range p.services[service] {
		if s.OtherCell {
			return true
		}
	}
	return false
}

// chooseAmong selects the endpoint with the lowest cost, including extra, among the allowed ones. share limits the
// memory as in fits.
func (p *Placer) chooseAmong(now time.Time, service string, d Demand, share float64, extra func(*endpointState) float64, allowed func(*endpointState) bool) (*endpointState, Choice, error) {
	best, bestID := (*endpointState)(nil), ""
	var why Choice
	listed, large, deferred := false, true, true
	for _, s := range p.services[service] {
		if s.isDraining() || !allowed(s) {
			continue
		}
		listed = true
		if s.MemoryTokens > 0 && d.Tokens() > s.MemoryTokens {
			continue
		}
		large = false
		if s.isDeferred(now) {
			continue
		}
		deferred = false
		u := p.total(now, s)
		if !s.fits(u, d, share) {
			continue
		}
		if why.add(s.ID, bestID, s.cost(now, u)+extra(s)) {
			best, bestID = s, s.ID
		}
	}
	switch {
	case best != nil:
		return best, why, nil
	case !listed:
		return nil, why, errors.Wrap(ErrNoEndpoint, service)
	case large:
		return nil, why, errors.Wrap(ErrTooLarge, service)
	case deferred:
		return nil, why, errors.Wrap(ErrDeferred, service)
	}
	return nil, why, errors.Wrap(ErrFull, service)
}

// total returns the load of an endpoint: this entry's own and what its peers reported within peerUsesTTL.
func (p *Placer) total(now time.Time, s *endpointState) Use {
	u := s.own
	for _, reported := range p.peers {
		if now.Sub(reported.at) < peerUsesTTL {
			u = u.plus(reported.uses[s.key])
		}
	}
	return u
}
