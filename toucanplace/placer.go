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
	// departed is closed and replaced when an endpoint starts to leave or is removed.
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

// NewPlacer returns an empty Book for an entry in a failure domain.
func NewPlacer(domain string) *Placer {
	return &Placer{
		domain:    domain,
		endpoints: make(map[string]*endpointState),
		services:  make(map[string][]*endpointState),
		peers:     make(map[string]peerUses),
		departed:  make(chan struct{}),
		freed:     make(chan struct{}),
		changed:   make(chan struct{}),
	}
}

// SetEndpoints replaces the list of endpoints. An endpoint with the same ID and Born keeps its load and failures.
func (b *Placer) SetEndpoints(list []Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*endpointState, len(list))
	services := make(map[string][]*endpointState)
	leaving := false
	for _, e := range list {
		s, known := b.endpoints[e.ID]
		if !known || s.StartMillis != e.StartMillis {
			s = &endpointState{}
		}
		leaving = leaving || e.Leaving && !s.Leaving
		s.Endpoint, s.key = e, e.Key()
		next[e.ID] = s
		services[e.Service] = append(services[e.Service], s)
	}
	for id := range b.endpoints {
		if _, stays := next[id]; !stays {
			leaving = true
		}
	}
	for _, states := range services {
		sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	}
	b.endpoints, b.services = next, services
	if leaving {
		broadcast(&b.departed)
	}
	broadcast(&b.freed)
}

// broadcast wakes all goroutines that wait on *ch, and replaces the channel. The caller holds the book's lock.
func broadcast(ch *chan struct{}) {
	close(*ch)
	*ch = make(chan struct{})
}

// Departed returns a channel that is closed when an endpoint starts to leave or is removed.
func (b *Placer) Departed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.departed
}

// Freed returns a channel that is closed when capacity may have become available.
func (b *Placer) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// Changed returns a channel that is closed when this entry's own load of requests with tokens changes.
func (b *Placer) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// IsAvailable reports whether an endpoint is listed and not leaving.
func (b *Placer) IsAvailable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.endpoints[id]
	return ok && !s.isLeaving()
}

// Endpoints returns this entry's endpoints that take new requests, in no order.
func (b *Placer) Endpoints() []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Endpoint, 0, len(b.endpoints))
	for _, s := range b.endpoints {
		if !s.isLeaving() && !s.OtherCell {
			list = append(list, s.Endpoint)
		}
	}
	return list
}

// Unreachable returns the Keys of the endpoints that this entry suspects because it could not reach them.
func (b *Placer) Unreachable(now time.Time) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []uint64
	for _, s := range b.endpoints {
		if now.Before(s.suspectUntil) {
			keys = append(keys, s.key)
		}
	}
	return keys
}

// MarkUnreachable adds a cost for a short time to endpoints that a peer reports as unreachable, given their Keys.
func (b *Placer) MarkUnreachable(now time.Time, keys []uint64) {
	if len(keys) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		if slices.Contains(keys, s.key) {
			s.peerSuspectUntil = now.Add(peerSuspectDuration)
		}
	}
}

// Suspect adds a high cost for a time to an endpoint that does not answer.
func (b *Placer) Suspect(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.endpoints[id]; ok {
		s.suspect(now)
	}
}

// Reservation is the capacity of an endpoint that is reserved for one request or backup. The owner calls Done to release it.
type Reservation struct {
	Endpoint Endpoint
	// Choice describes the selection of the endpoint; zero for backups and reclaimed endpoints.
	Choice Choice
	book   *Placer
	state  *endpointState
	use    Use
	done   bool
}

// Choice describes how an endpoint was selected. Costs have no unit; the endpoint with the lowest cost is selected.
type Choice struct {
	// Candidates is the number of endpoints with enough capacity.
	Candidates int
	Cost       float64
	// Next is the ID of the endpoint with the second lowest cost, NextCost. It is empty if there was only one candidate.
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
func (b *Placer) Backup(now time.Time, at Endpoint, d Demand) (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *endpointState
	var bestCost float64
	for _, s := range b.services[at.Service] {
		u := b.total(now, s)
		if s.isLeaving() || s.OtherCell || s.ID == at.ID || now.Before(s.suspectUntil) || !s.fitsBackup(u, d) {
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
	b.usesChanged(u)
	return &Reservation{Endpoint: best.Endpoint, book: b, state: best, use: u}, nil
}

// Filter reports whether an endpoint is eligible for a placement.
type Filter func(Endpoint) bool

// Place reserves capacity for d on the endpoint of a service with the lowest cost. It considers only endpoints that allowed
// accepts; nil accepts all. The error is ErrNoEndpoint, ErrFull or ErrTooLarge.
func (b *Placer) Place(now time.Time, service string, d Demand, allowed Filter) (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, why, err := b.choose(now, service, d, allowed, memoryShare, b.domainCost(otherDomainCost))
	if err != nil {
		return nil, err
	}
	c := b.reserve(best, d)
	c.Choice = why
	return c, nil
}

// HasEndpoint reports whether a service has an endpoint that takes new requests and that allowed accepts. It ignores load.
func (b *Placer) HasEndpoint(service string, allowed Filter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(s *endpointState) bool { return !s.isLeaving() && allowed(s.Endpoint) })
}

// domainCost returns a function that adds cost to endpoints outside this entry's failure domain.
func (b *Placer) domainCost(cost float64) func(*endpointState) float64 {
	return func(s *endpointState) float64 {
		if s.FailureDomain == b.domain {
			return 0
		}
		return cost
	}
}

// PlaceCopy is Place for a generation whose memory is copied from another endpoint. It prefers the source's failure
// domain, where copies take half the time. It varies the cost by source and target, so that two endpoints that leave
// together don't copy to the same target. It can fill memory beyond the limit of Place.
func (b *Placer) PlaceCopy(now time.Time, from Endpoint, d Demand, allowed Filter) (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	source := from.Key()
	extra := func(s *endpointState) float64 {
		c := copySpreadCost * float64((source^s.key)%copySpreadSteps) / copySpreadSteps
		if s.FailureDomain != from.FailureDomain {
			c += copyDomainCost
		}
		return c
	}
	best, why, err := b.choose(now, from.Service, d, allowed, copyShare, extra)
	if err != nil {
		return nil, err
	}
	c := b.reserve(best, d)
	c.Choice = why
	c.markPromptRead()
	return c, nil
}

// choose selects the endpoint with the lowest cost. It considers endpoints of other entries only if this entry's own
// endpoints are full, leaving or not allowed, and not if the request is too large for them.
func (b *Placer) choose(now time.Time, service string, d Demand, allowed Filter, share float64, extra func(*endpointState) float64) (*endpointState, Choice, error) {
	best, why, err := b.chooseAmong(now, service, d, share, extra, func(s *endpointState) bool {
		return !s.OtherCell && (allowed == nil || allowed(s.Endpoint))
	})
	if err == nil || errors.Is(err, ErrTooLarge) || !b.hasElsewhere(service) {
		return best, why, err
	}
	return b.chooseAmong(now, service, d, share, extra, func(s *endpointState) bool {
		return allowed == nil || allowed(s.Endpoint)
	})
}

// hasElsewhere reports whether some endpoints of a service are assigned to other entries.
func (b *Placer) hasElsewhere(service string) bool {
	for _, s := range b.services[service] {
		if s.OtherCell {
			return true
		}
	}
	return false
}

// chooseAmong selects the endpoint with the lowest cost, including extra, among the allowed ones. share limits the memory as
// in fits.
func (b *Placer) chooseAmong(now time.Time, service string, d Demand, share float64, extra func(*endpointState) float64, allowed func(*endpointState) bool) (*endpointState, Choice, error) {
	best, bestID := (*endpointState)(nil), ""
	var why Choice
	listed, large := false, true
	for _, s := range b.services[service] {
		if s.isLeaving() || !allowed(s) {
			continue
		}
		listed = true
		if s.MemoryTokens > 0 && d.Tokens() > s.MemoryTokens {
			continue
		}
		large = false
		u := b.total(now, s)
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
	}
	return nil, why, errors.Wrap(ErrFull, service)
}

// total returns the load of an endpoint: this entry's own and what its peers reported within peerUsesTTL.
func (b *Placer) total(now time.Time, s *endpointState) Use {
	u := s.own
	for _, p := range b.peers {
		if now.Sub(p.at) < peerUsesTTL {
			u = u.plus(p.uses[s.key])
		}
	}
	return u
}

// reserve adds the load of a request to an endpoint and returns its claim. The caller holds the book's lock.
func (b *Placer) reserve(s *endpointState, d Demand) *Reservation {
	u := Use{Requests: 1, Tokens: d.Tokens(), Unread: d.Prompt}
	s.own = s.own.plus(u)
	b.usesChanged(u)
	return &Reservation{Endpoint: s.Endpoint, book: b, state: s, use: u}
}

// usesChanged wakes the waiters on changed, so that peers receive the new load at once. It ignores requests without
// tokens: they are too frequent and too short to report each one.
func (b *Placer) usesChanged(u Use) {
	if u.Tokens > 0 {
		broadcast(&b.changed)
	}
}

// MarkPromptRead records that the first part of the answer arrived, which means that the endpoint has processed the prompt.
func (c *Reservation) MarkPromptRead() {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.markPromptRead()
}

// markPromptRead is Began for callers that hold the book's lock.
func (c *Reservation) markPromptRead() {
	if c.done || c.use.Unread == 0 {
		return
	}
	c.state.own.Unread -= c.use.Unread
	c.use.Unread = 0
	c.book.usesChanged(c.use)
}

// Resize updates the estimated memory, in tokens, at the end of the answer. It does not trigger a report to peers; the
// next one includes it.
func (c *Reservation) Resize(tokens int) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if c.done || c.use.Tokens == tokens {
		return
	}
	c.state.own.Tokens += tokens - c.use.Tokens
	c.use.Tokens = tokens
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
func (c *Reservation) Done(now time.Time, o Outcome) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.state.own = c.state.own.minus(c.use)
	switch o {
	case OutcomeGood:
		c.state.recordOutcome(now, false)
	case OutcomeFailed:
		c.state.recordOutcome(now, true)
	case OutcomeUnreachable:
		c.state.recordOutcome(now, true)
		c.state.suspect(now)
	case OutcomeNeutral:
	}
	broadcast(&c.book.freed)
	c.book.usesChanged(c.use)
}

// Uses returns this entry's own load, by the endpoint's Key.
func (b *Placer) Uses() map[uint64]Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := make(map[uint64]Use)
	for _, s := range b.endpoints {
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
	// Leaves is true for an endpoint that takes no new requests, Suspect for one that this entry could not reach.
	Leaves, Suspect bool
}

// Loads returns the load of each endpoint, sorted by ID.
func (b *Placer) Loads(now time.Time) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make([]Load, 0, len(b.endpoints))
	for _, s := range b.endpoints {
		loads = append(loads, Load{
			Endpoint:     s.Endpoint,
			Use:          b.total(now, s),
			FailureShare: s.failureShare(now),
			Leaves:       s.isLeaving(),
			Suspect:      now.Before(s.suspectUntil),
		})
	}
	slices.SortFunc(loads, func(x, y Load) int { return strings.Compare(x.ID, y.ID) })
	return loads
}

// SetReportedLeaving replaces the set of endpoints that peers report as leaving, given by their Keys.
func (b *Placer) SetReportedLeaving(keys map[uint64]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaving := false
	for _, s := range b.endpoints {
		leaving = leaving || keys[s.key] && !s.reportedLeaving
		s.reportedLeaving = keys[s.key]
	}
	if leaving {
		broadcast(&b.departed)
	}
}

// Observe replaces a peer's load with its newest report, and drops reports older than peerUsesTTL.
func (b *Placer) Observe(now time.Time, peer string, uses map[uint64]Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = peerUses{at: now, uses: uses}
	for name, p := range b.peers {
		if now.Sub(p.at) >= peerUsesTTL {
			delete(b.peers, name)
		}
	}
	broadcast(&b.freed)
}

// ReserveForced reserves capacity on an endpoint regardless of its load, for a request whose memory the endpoint still holds.
func (b *Placer) ReserveForced(e Endpoint, d Demand) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.endpoints[e.ID]
	if !ok {
		s = &endpointState{Endpoint: e, key: e.Key()}
	}
	c := b.reserve(s, d)
	c.markPromptRead()
	return c
}
