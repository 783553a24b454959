package toucanplace

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"toucanport/toucanpace"
)

// Placer tracks the load of all endpoints and reserves capacity on them. It is safe for concurrent use.
type Placer struct {
	domain string

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// services holds the endpoints of each service, sorted by ID.
	services map[string][]*endpointState
	// departing holds endpoints that the list no longer has, by ID, for departingMemory: generations may still run there.
	departing map[string]*endpointState
	// byKey holds the endpoints of both by Key.
	byKey map[uint64]*endpointState
	peers map[string]peerUses
	// nextExpiry is when the first of the peers' reports expires; zero without reports.
	nextExpiry time.Time
	// saidLeaving holds when endpoints said in an answer that they drain, by Key.
	saidLeaving map[uint64]time.Time
	// departed is closed and replaced when an endpoint starts to drain or is removed.
	departed chan struct{}
	// freed is closed and replaced when capacity may have become available.
	freed chan struct{}
	// changed is closed and replaced when this entry's own load of requests with tokens changes.
	changed chan struct{}
	// limits tells which endpoints take only so many requests a second.
	limits RateLimits
	// paces forecasts pauses, and gaps holds the shortest bound on pauses among the streams of each service.
	paces Paces
	gaps  map[string]*toucanpace.Bound
	cold  coldGuard
}

// RateLimits tells which endpoints take only so many requests a second from all entries together.
type RateLimits interface {
	// Wait returns how long a request to an endpoint has to wait at least, and false if the endpoint has no limit.
	Wait(now time.Time, endpoint uint64) (time.Duration, bool)
	// Limit returns the limit of an endpoint in requests a second, and false if it has none.
	Limit(endpoint uint64) (float64, bool)
}

// unlimited is the RateLimits without a limit.
type unlimited struct{}

func (unlimited) Wait(time.Time, uint64) (time.Duration, bool) { return 0, false }
func (unlimited) Limit(uint64) (float64, bool)                 { return 0, false }

// Option configures a Placer.
type Option func(*Placer)

// WithRateLimits sets the limits of endpoints on requests a second.
func WithRateLimits(l RateLimits) Option { return func(p *Placer) { p.limits = l } }

// NewPlacer returns a Placer without endpoints for an entry in a failure domain.
func NewPlacer(domain string, opts ...Option) *Placer {
	p := &Placer{
		domain:      domain,
		endpoints:   make(map[string]*endpointState),
		departing:   make(map[string]*endpointState),
		services:    make(map[string][]*endpointState),
		byKey:       make(map[uint64]*endpointState),
		peers:       make(map[string]peerUses),
		saidLeaving: make(map[uint64]time.Time),
		departed:    make(chan struct{}),
		freed:       make(chan struct{}),
		changed:     make(chan struct{}),
		limits:      unlimited{},
		paces:       noPaces{},
		gaps:        make(map[string]*toucanpace.Bound),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetEndpoints replaces the list of endpoints. An endpoint with the same ID and StartMillis keeps its load and
// failures.
func (p *Placer) SetEndpoints(list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	next := make(map[string]*endpointState, len(list))
	byKey := make(map[uint64]*endpointState, len(list))
	services := make(map[string][]*endpointState)
	anyDeparted := false
	for _, e := range list {
		s, known := p.endpoints[e.ID]
		if !known {
			s, known = p.returned(e)
		}
		if !known || s.StartMillis != e.StartMillis {
			_, saidLeaving := p.saidLeaving[e.Key()]
			s = &endpointState{saidLeaving: saidLeaving, reported: p.sumReports(e.Key())}
		}
		anyDeparted = anyDeparted || e.Leaving && !s.Leaving
		previous := s.Endpoint
		if !s.goneAt.IsZero() {
			previous, s.goneAt = Endpoint{}, time.Time{}
		}
		s.Endpoint, s.key = e, e.Key()
		p.observeListed(now, s, previous)
		next[e.ID] = s
		byKey[s.key] = s
		services[e.Service] = append(services[e.Service], s)
	}
	for id, s := range p.endpoints {
		if _, stays := next[id]; !stays {
			anyDeparted = true
			s.goneAt = now
			p.departing[id] = s
		}
	}
	p.keepDeparting(now, byKey)
	for _, states := range services {
		sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	}
	p.endpoints, p.byKey, p.services = next, byKey, services
	p.cold.observeList(now, len(list))
	p.forgetLeaving(now)
	if anyDeparted {
		broadcast(&p.departed)
	}
	broadcast(&p.freed)
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

// ByAddress returns the listed endpoint at an address that started last, and false if there is none.
func (p *Placer) ByAddress(address string) (Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last Endpoint
	found := false
	for _, s := range p.endpoints {
		if s.Address == address && (!found || s.StartMillis > last.StartMillis) {
			last, found = s.Endpoint, true
		}
	}
	return last, found
}

// IsAvailable reports whether an endpoint is listed and not draining. An evacuated one is available to its generations.
func (p *Placer) IsAvailable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[id]
	return ok && !s.isDraining()
}

// Endpoints returns this entry's endpoints that do not drain and can be called now, with the evacuated ones, in no order.
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

// OwnUse returns this entry's own load, by the endpoint's Key, with that of endpoints that were listed until lately.
func (p *Placer) OwnUse() map[uint64]Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	uses := make(map[uint64]Use)
	for key, s := range p.byKey {
		if s.own != (Use{}) {
			uses[key] = s.own
		}
	}
	return uses
}

// PlainEnd returns how long a plain request takes at the least at an endpoint of a service that allowed accepts, all if it is nil; zero if
// that is unknown.
func (p *Placer) PlainEnd(now time.Time, service string, allowed Filter) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := time.Duration(0)
	for _, s := range p.services[service] {
		if allowed != nil && !allowed(s.Endpoint) {
			continue
		}
		end := s.service.End(p.total(now, s).Requests, s.Slots)
		if s.takesNew() && end > 0 && (least == 0 || end < least) {
			least = end
		}
	}
	return least
}

// Load describes an endpoint and its load, as known to this entry.
type Load struct {
	Endpoint
	// Use is the load of all entries.
	Use Use
	// Pause is the forecast of the longest pause of a stream beside a prompt; zero if the endpoint's pace is unknown.
	Pause time.Duration
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
		forecast, known := p.paces.Forecast(now, s.key)
		if !known {
			forecast.Pause = 0
		}
		loads = append(loads, Load{
			Pause:        forecast.Pause,
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
