package toucanplace

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Book keeps account of what is placed where. It is safe for concurrent use.
type Book struct {
	domain string

	mu        sync.Mutex
	endpoints map[string]*state
	// services holds the endpoints of each service in the order of their ids.
	services map[string][]*state
	peers    map[string]peerUses
	// departed is closed and replaced when an endpoint begins to leave or is gone.
	departed chan struct{}
	// freed is closed and replaced when room may have appeared.
	freed chan struct{}
	// changed is closed and replaced when this entry's own account changes.
	changed chan struct{}
}

// peerUses is what a peer told of its placements.
type peerUses struct {
	at   time.Time
	uses map[uint64]Use
}

// NewBook returns an empty book of an entry in a failure domain.
func NewBook(domain string) *Book {
	return &Book{
		domain:    domain,
		endpoints: make(map[string]*state),
		services:  make(map[string][]*state),
		peers:     make(map[string]peerUses),
		departed:  make(chan struct{}),
		freed:     make(chan struct{}),
		changed:   make(chan struct{}),
	}
}

// SetEndpoints replaces the list of endpoints. Accounts of those that stay are kept.
func (b *Book) SetEndpoints(list []Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*state, len(list))
	services := make(map[string][]*state)
	leaving := false
	for _, e := range list {
		s, known := b.endpoints[e.ID]
		if !known || s.Born != e.Born {
			s = &state{}
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
		signal(&b.departed)
	}
	signal(&b.freed)
}

// signal wakes all who wait on *ch. The book's lock is held.
func signal(ch *chan struct{}) {
	close(*ch)
	*ch = make(chan struct{})
}

// Departed returns a channel that is closed when an endpoint begins to leave or is gone.
func (b *Book) Departed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.departed
}

// Freed returns a channel that is closed when room may have appeared.
func (b *Book) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// Changed returns a channel that is closed when this entry's own account changes.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Staying reports whether an endpoint is listed and does not leave.
func (b *Book) Staying(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.endpoints[id]
	return ok && !s.leaves()
}

// Endpoints returns the endpoints that take new requests and are for this entry.
func (b *Book) Endpoints() []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Endpoint, 0, len(b.endpoints))
	for _, s := range b.endpoints {
		if !s.leaves() && !s.Elsewhere {
			list = append(list, s.Endpoint)
		}
	}
	return list
}

// Unreachable returns the Keys of the endpoints that this entry could not reach lately.
func (b *Book) Unreachable(now time.Time) []uint64 {
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

// Doubt takes in the Keys of endpoints that a peer could not reach lately.
func (b *Book) Doubt(now time.Time, keys []uint64) {
	if len(keys) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		if slices.Contains(keys, s.key) {
			s.doubtedUntil = now.Add(doubtFor)
		}
	}
}

// Suspect keeps requests from an endpoint that does not answer, for a while.
func (b *Book) Suspect(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.endpoints[id]; ok {
		s.suspect(now)
	}
}

// Claim is one request's place on an endpoint. Its owner calls Done once.
type Claim struct {
	Endpoint Endpoint
	// Choice says why this endpoint was chosen; it is zero for places that were not chosen among several.
	Choice Choice
	book   *Book
	state  *state
	use    Use
	done   bool
}

// Choice is what decided between endpoints. A cost has no unit; the lowest is chosen.
type Choice struct {
	// Candidates is the number of endpoints with room.
	Candidates int
	Cost       float64
	// Next is the ID of the second best endpoint and NextCost its cost; Next is empty when there was none.
	Next     string
	NextCost float64
}

// take counts a candidate and reports whether it is the best so far. best is the ID of the best before it.
func (c *Choice) take(id, best string, cost float64) bool {
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

// Backup claims memory for the copy of a run that is at an endpoint, where there is room to spare. The error is
// ErrNoEndpoint or ErrFull.
func (b *Book) Backup(now time.Time, at Endpoint, d Demand) (*Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *state
	var bestCost float64
	for _, s := range b.services[at.Service] {
		u := b.total(now, s)
		if s.leaves() || s.Elsewhere || s.ID == at.ID || now.Before(s.suspectUntil) || !s.spares(u, d) {
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
	b.touch(u)
	return &Claim{Endpoint: best.Endpoint, book: b, state: best, use: u}, nil
}

// Filter reports whether an endpoint may be chosen.
type Filter func(Endpoint) bool

// Place claims the best endpoint of a service for a demand among those that allowed accepts; nil accepts all. The error
// is ErrNoEndpoint, ErrFull or ErrTooLarge.
func (b *Book) Place(now time.Time, service string, d Demand, allowed Filter) (*Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, why, err := b.choose(now, service, d, allowed, memoryShare, b.near(otherDomainCost))
	if err != nil {
		return nil, err
	}
	c := b.claim(best, d)
	c.Choice = why
	return c, nil
}

// Offers reports whether a service has an endpoint that takes new requests among those that allowed accepts.
func (b *Book) Offers(service string, allowed Filter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(s *state) bool { return !s.leaves() && allowed(s.Endpoint) })
}

// near returns the extra cost of endpoints outside this entry's failure domain.
func (b *Book) near(cost float64) func(*state) float64 {
	return func(s *state) float64 {
		if s.FailureDomain == b.domain {
			return 0
		}
		return cost
	}
}

// PlaceCopy is Place for a demand whose memory is copied from an endpoint. Copies within a failure domain take half the
// time, and two endpoints that leave together should not copy to the same one.
func (b *Book) PlaceCopy(now time.Time, from Endpoint, d Demand, allowed Filter) (*Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	source := from.Key()
	extra := func(s *state) float64 {
		c := copySpread * float64((source^s.key)%copySpreadSteps) / copySpreadSteps
		if s.FailureDomain != from.FailureDomain {
			c += copyDomainCost
		}
		return c
	}
	best, why, err := b.choose(now, from.Service, d, allowed, copyShare, extra)
	if err != nil {
		return nil, err
	}
	c := b.claim(best, d)
	c.Choice = why
	c.read()
	return c, nil
}

func (b *Book) choose(now time.Time, service string, d Demand, allowed Filter, share float64, extra func(*state) float64) (*state, Choice, error) {
	best, why, err := b.chooseAmong(now, service, d, share, extra, func(s *state) bool {
		return !s.Elsewhere && (allowed == nil || allowed(s.Endpoint))
	})
	if err == nil || errors.Is(err, ErrTooLarge) || !b.divided(service) {
		return best, why, err
	}
	return b.chooseAmong(now, service, d, share, extra, func(s *state) bool {
		return allowed == nil || allowed(s.Endpoint)
	})
}

// divided reports whether some endpoints of a service are for other entries.
func (b *Book) divided(service string) bool {
	for _, s := range b.services[service] {
		if s.Elsewhere {
			return true
		}
	}
	return false
}

func (b *Book) chooseAmong(now time.Time, service string, d Demand, share float64, extra func(*state) float64, allowed func(*state) bool) (*state, Choice, error) {
	best, bestID := (*state)(nil), ""
	var why Choice
	listed, large := false, true
	for _, s := range b.services[service] {
		if s.leaves() || !allowed(s) {
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
		if why.take(s.ID, bestID, s.cost(now, u)+extra(s)) {
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

// total is what all entries together have placed on an endpoint, as far as this one knows.
func (b *Book) total(now time.Time, s *state) Use {
	u := s.own
	for _, p := range b.peers {
		if now.Sub(p.at) < peerLifetime {
			u = u.plus(p.uses[s.key])
		}
	}
	return u
}

func (b *Book) claim(s *state, d Demand) *Claim {
	u := Use{Requests: 1, Tokens: d.Tokens(), Unread: d.Prompt}
	s.own = s.own.plus(u)
	b.touch(u)
	return &Claim{Endpoint: s.Endpoint, book: b, state: s, use: u}
}

// touch notes a change of this entry's account. Short requests without generation change too often and matter too
// little for peers to hear of each at once.
func (b *Book) touch(u Use) {
	if u.Tokens > 0 {
		signal(&b.changed)
	}
}

// Began takes in that the first part of the answer has come, so that the prompt has been read.
func (c *Claim) Began() {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.read()
}

// read is Began with the book's lock held.
func (c *Claim) read() {
	if c.done || c.use.Unread == 0 {
		return
	}
	c.state.own.Unread -= c.use.Unread
	c.use.Unread = 0
	c.book.touch(c.use)
}

// Resize takes in a new forecast of the memory at the end of the answer. Peers hear of it with the next change.
func (c *Claim) Resize(tokens int) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if c.done || c.use.Tokens == tokens {
		return
	}
	c.state.own.Tokens += tokens - c.use.Tokens
	c.use.Tokens = tokens
}

// Outcome is how a request ended at its endpoint.
type Outcome int

// The outcomes.
const (
	// OutcomeGood is an answer of the endpoint's own.
	OutcomeGood Outcome = iota
	// OutcomeFailed is a failure that speaks against the endpoint.
	OutcomeFailed
	// OutcomeUnreachable is a connection that could not be made, or that was closed without an answer.
	OutcomeUnreachable
	// OutcomeNeutral says nothing about the endpoint, as when the caller left.
	OutcomeNeutral
)

// Done gives the place back and takes in how the request ended. Later calls do nothing.
func (c *Claim) Done(now time.Time, o Outcome) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.state.own = c.state.own.minus(c.use)
	switch o {
	case OutcomeGood:
		c.state.observe(now, false)
	case OutcomeFailed:
		c.state.observe(now, true)
	case OutcomeUnreachable:
		c.state.observe(now, true)
		c.state.suspect(now)
	case OutcomeNeutral:
	}
	signal(&c.book.freed)
	c.book.touch(c.use)
}

// Uses returns what this entry has placed, by the endpoint's Key.
func (b *Book) Uses() map[uint64]Use {
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

// Load is what an endpoint carries as far as this entry knows.
type Load struct {
	Endpoint
	// Use is what all entries have placed.
	Use Use
	// FailureShare is the share of this entry's requests that failed lately, between 0 and 1.
	FailureShare float64
	// Leaves is true for an endpoint that takes no new requests, and Suspect for one that could not be reached.
	Leaves, Suspect bool
}

// Loads returns the load of each endpoint, in the order of their IDs.
func (b *Book) Loads(now time.Time) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make([]Load, 0, len(b.endpoints))
	for _, s := range b.endpoints {
		loads = append(loads, Load{
			Endpoint:     s.Endpoint,
			Use:          b.total(now, s),
			FailureShare: s.failureShare(now),
			Leaves:       s.leaves(),
			Suspect:      now.Before(s.suspectUntil),
		})
	}
	slices.SortFunc(loads, func(x, y Load) int { return strings.Compare(x.ID, y.ID) })
	return loads
}

// SetToldLeaving replaces the endpoints that peers say leave, by their Keys.
func (b *Book) SetToldLeaving(keys map[uint64]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaving := false
	for _, s := range b.endpoints {
		leaving = leaving || keys[s.key] && !s.toldLeaving
		s.toldLeaving = keys[s.key]
	}
	if leaving {
		signal(&b.departed)
	}
}

// Observe takes in what a peer has placed; it replaces what the peer told before.
func (b *Book) Observe(now time.Time, peer string, uses map[uint64]Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = peerUses{at: now, uses: uses}
	for name, p := range b.peers {
		if now.Sub(p.at) >= peerLifetime {
			delete(b.peers, name)
		}
	}
	signal(&b.freed)
}

// Reclaim claims a place on an endpoint whatever it carries, for a request whose memory it still holds.
func (b *Book) Reclaim(e Endpoint, d Demand) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.endpoints[e.ID]
	if !ok {
		s = &state{Endpoint: e, key: e.Key()}
	}
	c := b.claim(s, d)
	c.read()
	return c
}
