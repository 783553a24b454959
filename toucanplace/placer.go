package toucanplace

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Placer tracks the load of all endpoints and reserves capacity on them. It is safe for concurrent use.
type Placer struct {
	domain string

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// services holds the endpoints of each service, sorted by ID.
	services map[string][]*endpointState
	peers    map[string]peerUses
	// saidLeaving holds when endpoints said in an answer that they drain, by Key.
	saidLeaving map[uint64]time.Time
	// departed is closed and replaced when an endpoint starts to drain or is removed.
	departed chan struct{}
	// freed is closed and replaced when capacity may have become available.
	freed chan struct{}
	// changed is closed and replaced when this entry's own load of requests with tokens changes.
	changed chan struct{}
}

// peerUses is the load that a peer last reported, by the endpoint's Key.
type peerUses struct {
	at   time.Time
	uses map[uint64]Use
}

// NewPlacer returns a Placer without endpoints for an entry in a failure domain.
func NewPlacer(domain string) *Placer {
	return &Placer{
		domain:      domain,
		endpoints:   make(map[string]*endpointState),
		services:    make(map[string][]*endpointState),
		peers:       make(map[string]peerUses),
		saidLeaving: make(map[uint64]time.Time),
		departed:    make(chan struct{}),
		freed:       make(chan struct{}),
		changed:     make(chan struct{}),
	}
}

// SetEndpoints replaces the list of endpoints. An endpoint with the same ID and StartMillis keeps its load and
// failures.
func (p *Placer) SetEndpoints(list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*endpointState, len(list))
	services := make(map[string][]*endpointState)
	anyDeparted := false
	for _, e := range list {
		s, known := p.endpoints[e.ID]
		if !known || s.StartMillis != e.StartMillis {
			_, saidLeaving := p.saidLeaving[e.Key()]
			s = &endpointState{saidLeaving: saidLeaving}
		}
		anyDeparted = anyDeparted || e.Leaving && !s.Leaving
		s.Endpoint, s.key = e, e.Key()
		next[e.ID] = s
		services[e.Service] = append(services[e.Service], s)
	}
	for id := range p.endpoints {
		if _, stays := next[id]; !stays {
			anyDeparted = true
		}
	}
	for _, states := range services {
		sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	}
	p.endpoints, p.services = next, services
	p.forgetLeaving(time.Now())
	if anyDeparted {
		broadcast(&p.departed)
	}
	broadcast(&p.freed)
}

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

// broadcast wakes all goroutines that wait on *ch, and replaces the channel. The caller holds p.mu.
func broadcast(ch *chan struct{}) {
	close(*ch)
	*ch = make(chan struct{})
}

// Departed returns a channel that is closed when an endpoint starts to drain or is removed.
func (p *Placer) Departed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.departed
}

// Freed returns a channel that is closed when capacity may have become available.
func (p *Placer) Freed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

// Changed returns a channel that is closed when this entry's own load of requests with tokens changes.
func (p *Placer) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// IsAvailable reports whether an endpoint is listed and not draining.
func (p *Placer) IsAvailable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[id]
	return ok && !s.isDraining()
}

// Endpoints returns this entry's endpoints that take new requests now, in no order.
func (p *Placer) Endpoints() []Endpoint {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Endpoint, 0, len(p.endpoints))
	for _, s := range p.endpoints {
		if !s.isDraining() && !s.OtherCell && !s.isDeferred(now) {
			list = append(list, s.Endpoint)
		}
	}
	return list
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

// MarkUnreachable adds a cost for a short time to endpoints that a peer reports as unreachable, given their Keys.
func (p *Placer) MarkUnreachable(now time.Time, keys []uint64) {
	if len(keys) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.endpoints {
		if slices.Contains(keys, s.key) {
			s.peerSuspectUntil = now.Add(peerSuspectDuration)
		}
	}
}

// Suspect adds a high cost for a time to an endpoint that does not answer.
func (p *Placer) Suspect(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.endpoints[id]; ok {
		s.suspect(now)
	}
}

// Defer keeps this entry's requests away from an endpoint for a time, as the endpoint asked.
func (p *Placer) Defer(now time.Time, id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.endpoints[id]; ok {
		s.deferredUntil = now.Add(min(d, maxDeferral))
	}
}

// DeferredFor returns how long every endpoint of a service that takes new requests has asked this entry for none; zero if
// one has not.
func (p *Placer) DeferredFor(now time.Time, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := time.Duration(0)
	for _, s := range p.services[service] {
		if s.isDraining() {
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

// Reservation is the capacity of an endpoint that is reserved for one request or backup. The owner calls Done to
// release it.
type Reservation struct {
	Endpoint Endpoint
	// Choice describes the selection of the endpoint; zero for backups and reservations by ReserveForced.
	Choice Choice
	placer *Placer
	state  *endpointState
	use    Use
	done   bool
}

// Choice describes how an endpoint was selected. Costs have no unit; the endpoint with the lowest cost is selected.
type Choice struct {
	// Candidates is the number of endpoints with enough capacity.
	Candidates int
	Cost       float64
	// Next is the ID of the endpoint with the second lowest cost, NextCost. It is empty if there was only one
	// candidate.
	Next     string
	NextCost float64
}

// add adds a candidate and reports whether it has the lowest cost so far. best is the ID of the previous best.
func (c *Choice) add(id, best string, cost float64) bool {
	c.Candidates++
	if c.Candidates == 1 || cost < c.Cost {
		c.Next, c.NextCost = best, c.Cost
		c.Cost = cost
		return true
	}
	if c.Next == "" || cost < c.NextCost {
		c.Next, c.NextCost = id, cost
	}
	return false
}

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

// reserve adds the load of a request to an endpoint and returns the reservation. The caller holds p.mu.
func (p *Placer) reserve(s *endpointState, d Demand) *Reservation {
	u := Use{Requests: 1, Tokens: d.Tokens(), Unread: d.Prompt}
	s.own = s.own.plus(u)
	p.usesChanged(u)
	return &Reservation{Endpoint: s.Endpoint, placer: p, state: s, use: u}
}

// usesChanged wakes the waiters on changed, so that peers receive the new load at once. It ignores requests without
// tokens: they are too frequent and too short to report each one.
func (p *Placer) usesChanged(u Use) {
	if u.Tokens > 0 {
		broadcast(&p.changed)
	}
}

// MarkPromptRead records that the first part of the answer arrived, which means that the endpoint has processed the
// prompt.
func (r *Reservation) MarkPromptRead() {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	r.markPromptRead()
}

// markPromptRead is MarkPromptRead for callers that hold p.mu.
func (r *Reservation) markPromptRead() {
	if r.done || r.use.Unread == 0 {
		return
	}
	r.state.own.Unread -= r.use.Unread
	r.use.Unread = 0
	r.placer.usesChanged(r.use)
}

// Resize updates the estimated memory, in tokens, at the end of the answer. It does not trigger a report to peers; the
// next one includes it.
func (r *Reservation) Resize(tokens int) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.done || r.use.Tokens == tokens {
		return
	}
	r.state.own.Tokens += tokens - r.use.Tokens
	r.use.Tokens = tokens
}

// Outcome is the result of a request at its endpoint.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeGood means that the endpoint itself answered.
	OutcomeGood Outcome = iota
	// OutcomeFailed is a failure that is attributed to the endpoint.
	OutcomeFailed
	// OutcomeUnreachable is a connection that could not be made, or that was closed without an answer.
	OutcomeUnreachable
	// OutcomeNeutral is an end that does not depend on the endpoint, such as a caller that disconnected.
	OutcomeNeutral
)

// Done releases the reserved capacity and records the outcome of the request. Later calls do nothing.
func (r *Reservation) Done(now time.Time, o Outcome) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	r.state.own = r.state.own.minus(r.use)
	switch o {
	case OutcomeGood:
		r.state.recordOutcome(now, false)
	case OutcomeFailed:
		r.state.recordOutcome(now, true)
	case OutcomeUnreachable:
		r.state.recordOutcome(now, true)
		r.state.suspect(now)
	case OutcomeNeutral:
	}
	broadcast(&r.placer.freed)
	r.placer.usesChanged(r.use)
}

// OwnUse returns this entry's own load, by the endpoint's Key.
func (p *Placer) OwnUse() map[uint64]Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	uses := make(map[uint64]Use)
	for _, s := range p.endpoints {
		if s.own != (Use{}) {
			uses[s.key] = s.own
		}
	}
	return uses
}

// Load describes an endpoint and its load, as known to this entry.
type Load struct {
	Endpoint
	// Use is the load of all entries.
	Use Use
	// FailureShare is the decaying average of this entry's failed requests, between 0 and 1.
	FailureShare float64
	// Draining is true for an endpoint that takes no new requests, Suspect for one that this entry could not reach.
	Draining, Suspect bool
}

// Loads returns the load of each endpoint, sorted by ID.
func (p *Placer) Loads(now time.Time) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make([]Load, 0, len(p.endpoints))
	for _, s := range p.endpoints {
		loads = append(loads, Load{
			Endpoint:     s.Endpoint,
			Use:          p.total(now, s),
			FailureShare: s.failureShare(now),
			Draining:     s.isDraining(),
			Suspect:      now.Before(s.suspectUntil),
		})
	}
	slices.SortFunc(loads, func(x, y Load) int { return strings.Compare(x.ID, y.ID) })
	return loads
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

// Observe replaces a peer's load with its newest report, and drops reports older than peerUsesTTL.
func (p *Placer) Observe(now time.Time, peer string, uses map[uint64]Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[peer] = peerUses{at: now, uses: uses}
	for name, reported := range p.peers {
		if now.Sub(reported.at) >= peerUsesTTL {
			delete(p.peers, name)
		}
	}
	broadcast(&p.freed)
}

// ReserveForced reserves capacity on an endpoint regardless of its load, for a request whose memory the endpoint still
// holds.
func (p *Placer) ReserveForced(e Endpoint, d Demand) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[e.ID]
	if !ok {
		s = &endpointState{Endpoint: e, key: e.Key()}
	}
	r := p.reserve(s, d)
	r.markPromptRead()
	return r
}
