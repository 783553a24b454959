package toucanplace

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanuneven"
	"toucanport/toucanway"
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
		if !s.takesNew() || s.isDeferred(now) || s.OtherCell || s.ID == at.ID || now.Before(s.suspectUntil) || !s.fitsBackup(u, d) {
			continue
		}
		c := s.cost(now, &u) + toucanway.Backup(at.FailureDomain, s.FailureDomain) + p.limitedCost(s)
		if best == nil || c < bestCost {
			best, bestCost = s, c
		}
	}
	if best == nil {
		return nil, errors.Wrap(ErrFull, at.Service)
	}
	u := Use{Tokens: d.Tokens(), Held: d.held()}
	best.own = best.own.plus(u)
	p.usesChanged(u)
	return &Reservation{Endpoint: best.Endpoint, placer: p, state: best, use: u}, nil
}

// Filter reports whether an endpoint is eligible for a placement.
type Filter func(Endpoint) bool

// search describes which endpoint a request needs.
type search struct {
	now     time.Time
	service string
	demand  Demand
	// stream and tokens are those of the demand. prepare sets them.
	stream toucanuneven.Stream
	tokens int
	// allowed accepts the eligible endpoints; nil accepts all.
	allowed Filter
	// limits are those of fits.
	limits memoryLimits
	// patience is how long the request can wait for its slot at an endpoint with a limit; negative if it must not go to one.
	patience time.Duration
	// extra is added to the cost of an endpoint.
	extra func(*endpointState) float64
	// copied is true if the request's prompt was read at another endpoint.
	copied bool
	// chosen is true for a copy of a generation that could stay where it is.
	chosen bool
}

// prepare returns the search with what it compares at each endpoint.
func (q search) prepare() search {
	q.stream, q.tokens = q.demand.stream(), q.demand.Tokens()
	return q
}

// PlaceOption sets an optional parameter of Place.
type PlaceOption func(*search)

// WithPatience lets a request wait for its slot at an endpoint that takes only so many requests a second. Without it, such an
// endpoint is chosen only if it may have a slot now.
func WithPatience(d time.Duration) PlaceOption { return func(q *search) { q.patience = d } }

// WithReserve leaves some memory, in tokens, of each endpoint free for other requests.
func WithReserve(tokens int) PlaceOption { return func(q *search) { q.limits.reserve = tokens } }

// WithMaxUnread leaves out endpoints at which the unread prompt tokens would be more with those of the request, unless there
// are none yet. Zero is no limit.
func WithMaxUnread(tokens int) PlaceOption { return func(q *search) { q.limits.unread = tokens } }

// Available returns the number of a service's endpoints that take new requests from this entry, regardless of their load.
func (p *Placer) Available(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.services[service] {
		if s.takesNew() && !s.OtherCell {
			n++
		}
	}
	return n
}

// WithoutLimited leaves out all endpoints that take only so many requests a second.
func WithoutLimited() PlaceOption { return func(q *search) { q.patience = -1 } }

// Place reserves capacity for d on the endpoint of a service with the lowest cost. It considers only endpoints that
// allowed accepts; nil accepts all. The error is ErrNoEndpoint, ErrEvacuated, ErrFull,
// ErrDeferred, ErrLimited, ErrNoTime or ErrTooLarge.
func (p *Placer) Place(now time.Time, service string, d Demand, allowed Filter, opts ...PlaceOption) (*Reservation, error) {
	q := p.newSearch(now, service, d, allowed, opts)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnGap(now, service, d.MaxGap)
	best, why, err := p.choose(q)
	if err != nil {
		return nil, err
	}
	r := p.reserve(best, d)
	r.Choice = why
	if best.MemoryTokens == 0 {
		r.sentAt, r.ahead = now, p.total(now, best).Requests-1
	}
	return r, nil
}

// newSearch returns the search of Place.
func (p *Placer) newSearch(now time.Time, service string, d Demand, allowed Filter, opts []PlaceOption) search {
	q := search{now: now, service: service, demand: d, allowed: allowed, limits: memoryLimits{end: memoryShare, taken: takenShare}, extra: p.requestCost}
	for _, opt := range opts {
		opt(&q)
	}
	return q
}

// HasEndpoint reports whether a service has an endpoint that takes new requests and that allowed accepts. It ignores
// load.
func (p *Placer) HasEndpoint(service string, allowed Filter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.services[service], func(s *endpointState) bool { return s.takesNew() && allowed(s.Endpoint) })
}

// copyCost returns a function with the cost of an endpoint as the target of a copy.
func (p *Placer) copyCost(c toucanway.Copy) func(*endpointState) float64 {
	return func(s *endpointState) float64 { return c.Cost(s.end()) + p.limitedCost(s) }
}

// requestCost returns the cost of the way from this entry to an endpoint.
func (p *Placer) requestCost(s *endpointState) float64 {
	return toucanway.Request(p.domain, s.FailureDomain)
}

// PlaceCopy is Place for a generation whose memory is copied from another endpoint. It prefers the source's failure
// domain, where copies take half the time, and endpoints without a limit on requests a second. It varies the cost by source
// and target, so that two endpoints that drain together don't copy to the same target; uneven ones share the targets out. It can
// fill memory beyond the limit of Place.
func (p *Placer) PlaceCopy(now time.Time, from Endpoint, d Demand, allowed Filter) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	way := toucanway.Copy{From: from.end()}
	if p.isUneven(now, from.Service) {
		p.addDraining(now, from, &way)
	}
	best, why, err := p.choose(search{
		now: now, service: from.Service, demand: d, allowed: allowed, patience: math.MaxInt64, extra: p.copyCost(way), copied: true,
		limits: memoryLimits{end: copyShare, taken: copyTakenShare},
	})
	if err != nil {
		return nil, err
	}
	r := p.reserve(best, d)
	r.Choice = why
	r.markPromptRead()
	return r, nil
}

// limitedCost returns the additional cost of an endpoint with a limit as the target of a copy.
func (p *Placer) limitedCost(s *endpointState) float64 {
	if _, limited := p.limits.Limit(s.key); limited {
		return limitedCopyCost
	}
	return 0
}

// RateLimit returns how many requests a second the endpoints of a service take together, and false if one that takes new
// requests has no limit.
func (p *Placer) RateLimit(service string) (perSecond float64, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services[service] {
		if !s.takesNew() || s.OtherCell {
			continue
		}
		limit, ok := p.limits.Limit(s.key)
		if !ok {
			return 0, false
		}
		perSecond += limit
		limited = true
	}
	return perSecond, limited
}

// choose selects the endpoint with the lowest cost. It considers endpoints of other entries only if this entry's own
// endpoints are full, draining or not allowed, and not if the request is too large for them.
func (p *Placer) choose(q search) (*endpointState, Choice, error) {
	best, why, err := p.chooseAmong(q, false)
	if err == nil || errors.Is(err, ErrTooLarge) || !p.hasOtherCell(q.service) {
		return best, why, err
	}
	return p.chooseAmong(q, true)
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

// chooseAmong selects the endpoint with the lowest cost, with or without those of other cells.
func (p *Placer) chooseAmong(q search, otherCells bool) (*endpointState, Choice, error) {
	q = q.prepare()
	best, bestID := (*endpointState)(nil), ""
	var why Choice
	var counts leftOutCounts
	var v Verdict
	var load Use
	uneven := q.tokens > 0 && p.isUneven(q.now, q.service)
	p.expirePeers(q.now)
	for _, s := range p.services[q.service] {
		p.assess(&q, s, otherCells, uneven, &v)
		counts[v.LeftOut]++
		if v.LeftOut == LeftOutNone && why.add(s.ID, bestID, v.Costs.Total()) {
			best, bestID, load = s, s.ID, v.Use
		}
	}
	why.Cold = counts[LeftOutCold]
	if why.Cold > 0 {
		p.cold.leftOut++
	}
	if best == nil {
		return nil, why, counts.err(q.service)
	}
	why.Unread = load.Unread
	if uneven {
		why.Pace = p.paceChoice(&q, best, &load)
	}
	return best, why, nil
}

// paceCost returns what an endpoint costs because the endpoints of its service are uneven.
func (q *search) paceCost(s *endpointState, u *Use) float64 {
	if q.chosen {
		return s.pace.MoveCost(u.paceLoad(), q.stream)
	}
	if q.copied {
		return s.pace.CopyCost(u.paceLoad(), q.stream)
	}
	return s.pace.PlaceCost(u.paceLoad(), q.stream)
}

// total returns the load of an endpoint: this entry's own and what its peers reported within peerUsesTTL.
func (p *Placer) total(now time.Time, s *endpointState) Use {
	p.expirePeers(now)
	return s.load()
}

// load returns the load of the endpoint if no report has expired.
func (s *endpointState) load() Use { return s.own.plus(s.reported) }
