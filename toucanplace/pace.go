package toucanplace

import (
	"time"

	"toucanport/toucanpace"
	"toucanport/toucanuneven"
	"toucanport/toucanway"
)

// Paces forecasts the pauses of streams at endpoints, which are given by their Keys.
type Paces interface {
	// Forecast returns what to expect of an endpoint, and false if its pace is not known; the forecast is then that of most
	// endpoints, or zero.
	Forecast(now time.Time, endpoint uint64) (toucanpace.Forecast, bool)
}

// noPaces is the Paces that knows of no endpoint.
type noPaces struct{}

func (noPaces) Forecast(time.Time, uint64) (toucanpace.Forecast, bool) {
	return toucanpace.Forecast{}, false
}

// WithPaces sets the forecasts of pauses.
func WithPaces(f Paces) Option { return func(p *Placer) { p.paces = f } }

// stream returns the part of the demand that concerns its pace.
func (d *Demand) stream() toucanuneven.Stream {
	return toucanuneven.Stream{Prompt: d.Prompt, Left: d.Output - d.Made, MaxGap: d.MaxGap, Movable: d.Movable, Goal: d.Goal}
}

// exposed returns 1 for a demand that the prompts of others can make late.
func (d *Demand) exposed() int {
	if d.stream().IsExposed() {
		return 1
	}
	return 0
}

// paceLoad returns the part of the load that concerns the pace.
func (u *Use) paceLoad() toucanuneven.Load {
	return toucanuneven.Load{Unread: u.Unread, Exposed: u.Exposed}
}

// learnGap records a bound on pauses among a service's streams; zero is none. The caller holds p.mu.
func (p *Placer) learnGap(now time.Time, service string, gap time.Duration) {
	if gap <= 0 {
		return
	}
	b, ok := p.gaps[service]
	if !ok {
		b = &toucanpace.Bound{}
		p.gaps[service] = b
	}
	b.Observe(now, gap)
}

// shortestGap returns the shortest bound on pauses among a service's streams of lately; zero if there is none. The caller holds p.mu.
func (p *Placer) shortestGap(now time.Time, service string) time.Duration {
	b, ok := p.gaps[service]
	if !ok {
		return 0
	}
	return b.Shortest(now)
}

// isUneven judges the endpoints of a service by their forecasts, and reports whether they are uneven. The caller holds p.mu.
func (p *Placer) isUneven(now time.Time, service string) bool {
	gap := p.shortestGap(now, service)
	if gap == 0 {
		return false
	}
	var tally toucanuneven.Tally
	for _, s := range p.services[service] {
		forecast, known := p.paces.Forecast(now, s.key)
		s.pace = toucanuneven.NewEndpoint(s.key, forecast, known, gap)
		if s.takesNew() {
			tally.Add(s.pace)
		}
	}
	return tally.IsUneven()
}

// IsUneven reports whether prompts make streams late at some endpoints of a service and not at others.
func (p *Placer) IsUneven(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUneven(now, service)
}

// LoadOf returns the load of an endpoint, of all entries; zero for one that is not listed and was not until lately.
func (p *Placer) LoadOf(now time.Time, id string) Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.known(id)
	if !ok {
		return Use{}
	}
	return p.total(now, s)
}

// PaceChoice describes the endpoint that was selected among uneven ones.
type PaceChoice struct {
	// Uneven is true if prompts make streams late at some endpoints and not at others.
	Uneven bool
	// Pause is the forecast of the longest pause beside a prompt, and Bound the shortest bound on pauses.
	Pause, Bound time.Duration
	// FirstEvent is the forecast of the time to the first event; zero if it is unknown.
	FirstEvent time.Duration
	// Harms is true if the prompt can make streams late there.
	Harms bool
	// Exposed is the number of streams that ran there and that a longer pause would make late.
	Exposed int
	// Cost is the part of the cost that is due to the pace.
	Cost float64
	// Stay is the cost of the endpoint that a stream is moved from; zero for a first placement.
	Stay float64
}

// paceChoice describes the selection of an endpoint with the load u. The caller holds p.mu.
func (p *Placer) paceChoice(q *search, s *endpointState, u *Use) PaceChoice {
	forecast, _ := p.paces.Forecast(q.now, s.key)
	harms := s.pace.BreaksGap && u.Exposed > 0 && !q.copied
	first := s.pace.FirstEvent(u.paceLoad(), q.stream)
	return PaceChoice{Uneven: true, Harms: harms, Pause: forecast.Pause, FirstEvent: first, Bound: p.shortestGap(q.now, q.service), Exposed: u.Exposed, Cost: q.paceCost(s, u)}
}

// PlaceBetter is PlaceCopy for a stream that runs at an endpoint that takes further requests, for its pace: because the prompts of
// others can make it late there, or because it takes room in which prompts could be read without harm. It returns nil unless
// endpoints are uneven and another one costs less by toucanuneven.MoveGain.
func (p *Placer) PlaceBetter(now time.Time, from Endpoint, d Demand, allowed Filter) *Reservation {
	stream := d.stream()
	if !stream.MayMove() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	source, ok := p.endpoints[from.ID]
	if !ok || !source.takesNew() || !p.isUneven(now, from.Service) {
		return nil
	}
	u := p.total(now, source).minus(Use{Requests: 1, Tokens: d.Tokens(), Held: d.held(), Exposed: 1})
	stay := source.cost(now, &u) + source.pace.MoveCost(u.paceLoad(), stream)
	if stay < toucanuneven.MoveGain {
		return nil
	}
	way := toucanway.Copy{From: source.end()}
	best, why, err := p.choose(search{
		now: now, service: from.Service, demand: d, allowed: allowed, patience: -1, extra: p.copyCost(way), copied: true, chosen: true,
		limits: memoryLimits{end: memoryShare, taken: takenShare},
	})
	if err != nil || best == source || why.Cost > stay-toucanuneven.MoveGain {
		return nil
	}
	r := p.reserve(best, d)
	why.Pace.Stay = stay
	r.Choice = why
	r.markPromptRead()
	return r
}
