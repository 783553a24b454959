package toucanplace

import (
	"math"
	"time"

	"toucanport/toucanpace"
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

const (
	// minExposedOutput is the least number of tokens that a stream still has to generate to be exposed to the prompts of others: a
	// shorter one ends before them.
	minExposedOutput = 64
	// pauseMargin is the share of a stream's longest pause on time that an endpoint may need by itself; the way to the caller needs
	// the rest.
	pauseMargin = 0.85
	// minBreakingPart is the number of endpoints of which one at least must break the bound: single ones are slow for other reasons,
	// such as a recent start.
	minBreakingPart = 8
	// harmCost is the cost of a prompt that makes an exposed stream beside it late if a slow moment comes, slowHarmCost that of one at an
	// endpoint that is slow now.
	harmCost     = 0.5
	slowHarmCost = 1.5
	// slowReadFactor is how much longer an endpoint that is slow now reads.
	slowReadFactor = 2
	// riskCost is the cost of an endpoint where the prompts of others make a stream late in a slow moment.
	riskCost = 0.5
	// moveCost is the cost of an endpoint from which a long stream is moved after its first event.
	moveCost = 0.3
	// soundCost is the cost of a short request at an endpoint where prompts harm no stream, while others are left for it.
	soundCost = 0.15
	// orderCost is the greatest cost by which short requests prefer some of the endpoints at which prompts harm streams, and long
	// streams the others.
	orderCost = 0.3
	// readerCost is the cost of a stream that was read elsewhere at an endpoint that can read prompts without harm.
	readerCost = 0.3
	// moveGain is the least difference of costs for which a stream is moved.
	moveGain = 0.4
	// minMovedOutput is the least number of tokens that a stream still has to generate to be moved for its pace.
	minMovedOutput = 200
	// crowdCost is the cost of each long stream at an endpoint beyond crowdStreams, which is about as many as its link carries away
	// while it drains.
	crowdCost    = 0.25
	crowdStreams = 6
	// lateCost is the cost of an endpoint whose first event is forecast for the end of the time that it may take. It grows from half
	// of that time on.
	lateCost = 1.5
	maxLate  = 1.5
)

// isExposed reports whether the prompts of others can make the request late: a long stream with a bound on its pauses.
func (d Demand) isExposed() bool { return d.MaxGap > 0 && d.Output-d.Made >= minExposedOutput }

// exposed returns 1 for a demand that is exposed.
func (d Demand) exposed() int {
	if d.isExposed() {
		return 1
	}
	return 0
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

// isUneven marks the endpoints of a service at which a prompt makes streams beside it late in slow moments, and reports whether
// there are some and others at which it does not. The caller holds p.mu.
func (p *Placer) isUneven(now time.Time, service string) bool {
	gap := p.shortestGap(now, service)
	if gap == 0 {
		return false
	}
	bound := time.Duration(pauseMargin * float64(gap))
	breaking, sound := 0, 0
	for _, s := range p.services[service] {
		forecast, known := p.paces.Forecast(now, s.key)
		s.breaksGap, s.paceKnown, s.readTime, s.harmCost = forecast.Pause > bound, known, forecast.ReadTime, harmCost
		if forecast.Slow {
			s.readTime, s.harmCost = slowReadFactor*forecast.ReadTime, slowHarmCost
		}
		switch {
		case !known || !s.takesNew():
		case s.breaksGap:
			breaking++
		default:
			sound++
		}
	}
	return sound > 0 && breaking > 0 && breaking*minBreakingPart >= breaking+sound
}

// IsUneven reports whether prompts make streams late at some endpoints of a service and not at others.
func (p *Placer) IsUneven(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUneven(now, service)
}

// paceCost returns what a placement at an endpoint with the load u costs because endpoints are uneven: the streams there that its
// prompt makes late, its own risk, and room that long streams need.
func (s *endpointState) paceCost(u Use, d Demand) float64 {
	if d.Prompt == 0 {
		return 0
	}
	c := s.lateCost(u, d)
	if d.isExposed() {
		c += crowdCost * float64(max(u.Exposed-crowdStreams, 0))
	}
	switch {
	case s.breaksGap && d.isExposed() && !d.Movable:
		c += s.harmCost*float64(u.Exposed) + riskCost + orderCost*(1-s.order())
	case s.breaksGap && d.isExposed():
		c += s.harmCost*float64(u.Exposed) + moveCost + orderCost*s.order()
	case s.breaksGap && !s.paceKnown:
		// A short request shows the pace of a new endpoint.
		c += s.harmCost * float64(u.Exposed)
	case s.breaksGap:
		c += s.harmCost*float64(u.Exposed) + orderCost*s.order()
	case !d.isExposed():
		c += soundCost
	}
	return c
}

// order returns the place of the endpoint in an order that all entries know, from 0 to 1.
func (s *endpointState) order() float64 { return float64(s.key) / math.MaxUint64 }

// firstEventTime returns the forecast of the time in which the endpoint makes the first event of a request; zero if it is unknown.
func (s *endpointState) firstEventTime(u Use, d Demand) time.Duration {
	return s.readTime * time.Duration(u.Unread+d.Prompt) / 1000
}

// lateCost returns the cost of a late first event.
func (s *endpointState) lateCost(u Use, d Demand) float64 {
	if d.Goal <= 0 {
		return 0
	}
	used := float64(s.firstEventTime(u, d)) / float64(d.Goal)
	return lateCost * min(max(2*used-1, 0), maxLate)
}

// paceCopyCost returns what the target of a copy costs because endpoints are uneven. The prompt is not read there again. Where
// prompts break the bound, the best place is one that other long streams keep free of prompts.
func (s *endpointState) paceCopyCost(u Use, d Demand) float64 {
	if !d.isExposed() {
		return 0
	}
	c := crowdCost * float64(max(u.Exposed-crowdStreams, 0))
	switch {
	case !s.breaksGap:
	case u.Unread > 0:
		c += 2 * riskCost
	case u.Exposed == 0:
		c += riskCost
	}
	return c
}

// paceMoveCost is paceCopyCost for a stream that need not be moved: it also costs room in which prompts can be read without harm, and
// streams prefer endpoints of the order's end.
func (s *endpointState) paceMoveCost(u Use, d Demand) float64 {
	c := s.paceCopyCost(u, d)
	if s.breaksGap {
		return c + orderCost*(1-s.order())
	}
	return c + readerCost
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
func (p *Placer) paceChoice(q *search, s *endpointState, u Use) PaceChoice {
	forecast, _ := p.paces.Forecast(q.now, s.key)
	harms := s.breaksGap && u.Exposed > 0 && !q.copied
	return PaceChoice{Uneven: true, Harms: harms, Pause: forecast.Pause, FirstEvent: s.firstEventTime(u, q.demand), Bound: p.shortestGap(q.now, q.service), Exposed: u.Exposed, Cost: q.paceCost(s, u)}
}

// PlaceBetter is PlaceCopy for a stream that runs at an endpoint that takes further requests, for its pace: because the prompts of
// others can make it late there, or because it takes room in which prompts could be read without harm. It returns nil unless
// endpoints are uneven and another one costs less by moveGain.
func (p *Placer) PlaceBetter(now time.Time, from Endpoint, d Demand, allowed Filter) *Reservation {
	if !d.isExposed() || d.Output-d.Made < minMovedOutput {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	source, ok := p.endpoints[from.ID]
	if !ok || !source.takesNew() || !p.isUneven(now, from.Service) {
		return nil
	}
	u := p.total(now, source).minus(Use{Requests: 1, Tokens: d.Tokens(), Held: d.held(), Exposed: 1})
	stay := source.cost(now, u) + source.paceMoveCost(u, d)
	if stay < moveGain {
		return nil
	}
	best, why, err := p.choose(search{
		now: now, service: from.Service, demand: d, allowed: allowed, patience: -1, extra: p.copyCost(from), copied: true, chosen: true,
		limits: memoryLimits{end: memoryShare, taken: takenShare},
	})
	if err != nil || best == source || why.Cost > stay-moveGain {
		return nil
	}
	r := p.reserve(best, d)
	why.Pace.Stay = stay
	r.Choice = why
	r.markPromptRead()
	return r
}
