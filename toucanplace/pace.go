package toucanplace

import "time"

// Paces forecasts the pauses of streams at endpoints, which are given by their Keys.
type Paces interface {
	// Pause returns the longest pause to expect of a stream at an endpoint that reads a prompt beside it, and false if it is not
	// known of this endpoint; the pause is then that of most endpoints, or zero.
	Pause(now time.Time, endpoint uint64) (time.Duration, bool)
}

// noPaces is the Paces that knows of no endpoint.
type noPaces struct{}

func (noPaces) Pause(time.Time, uint64) (time.Duration, bool) { return 0, false }

// WithPaces sets the forecasts of pauses.
func WithPaces(f Paces) Option { return func(p *Placer) { p.paces = f } }

const (
	// minExposedOutput is the least number of tokens that a stream still has to generate to be exposed to the prompts of others: a
	// shorter one ends before them.
	minExposedOutput = 64
	// pauseMargin is the share of a stream's longest pause on time that an endpoint may need by itself; the way to the caller needs
	// the rest.
	pauseMargin = 0.85
	// harmCost is the cost of a prompt that makes an exposed stream beside it late in a slow moment.
	harmCost = 0.4
	// riskCost is the cost of an endpoint where the prompts of others make a stream late in a slow moment.
	riskCost = 0.5
	// soundCost is the cost of a short request at an endpoint where prompts harm no stream, while others are left for it.
	soundCost = 0.3
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

// learnGap keeps the shortest bound on pauses of a service's streams. The caller holds p.mu.
func (p *Placer) learnGap(service string, gap time.Duration) {
	if shortest, ok := p.gaps[service]; gap > 0 && (!ok || gap < shortest) {
		p.gaps[service] = gap
	}
}

// isUneven marks the endpoints of a service at which a prompt makes streams beside it late in slow moments, and reports whether
// there are some and others at which it does not. The caller holds p.mu.
func (p *Placer) isUneven(now time.Time, service string) bool {
	gap, ok := p.gaps[service]
	if !ok {
		return false
	}
	bound := time.Duration(pauseMargin * float64(gap))
	breaking, sound := false, false
	for _, s := range p.services[service] {
		pause, known := p.paces.Pause(now, s.key)
		s.breaksGap = pause > bound
		if known && !s.isDraining() {
			breaking = breaking || s.breaksGap
			sound = sound || !s.breaksGap
		}
	}
	return breaking && sound
}

// paceCost returns what a placement at an endpoint with the load u costs because endpoints are uneven: the streams there that its
// prompt makes late, its own risk, and room that long streams need.
func (s *endpointState) paceCost(u Use, d Demand) float64 {
	switch {
	case d.Prompt == 0:
		return 0
	case s.breaksGap:
		return harmCost*float64(u.Exposed) + riskCost*float64(d.exposed())
	case d.isExposed():
		return 0
	}
	return soundCost
}

// paceCopyCost returns what the target of a copy costs because endpoints are uneven. The prompt is not read there again. Where
// prompts break the bound, the best place is one that other long streams keep free of prompts.
func (s *endpointState) paceCopyCost(u Use, d Demand) float64 {
	switch {
	case !s.breaksGap || !d.isExposed():
		return 0
	case u.Unread > 0:
		return 2 * riskCost
	case u.Exposed == 0:
		return riskCost
	}
	return 0
}

// ReadsPrompts reports whether an endpoint has requests whose prompts it has not read yet, and false for one that is not listed.
func (p *Placer) ReadsPrompts(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.endpoints[id]
	return ok && p.total(now, s).Unread > 0
}

// PaceChoice describes the endpoint that was selected among uneven ones.
type PaceChoice struct {
	// Uneven is true if prompts make streams late at some endpoints and not at others.
	Uneven bool
	// Pause is the forecast of the longest pause beside a prompt, and Bound the shortest bound on pauses.
	Pause, Bound time.Duration
	// Exposed is the number of streams that ran there and that a longer pause would make late.
	Exposed int
	// Cost is the part of the cost that is due to the pace.
	Cost float64
}

// paceChoice describes the selection of an endpoint with the load u. The caller holds p.mu.
func (p *Placer) paceChoice(q search, s *endpointState, u Use) PaceChoice {
	pause, _ := p.paces.Pause(q.now, s.key)
	return PaceChoice{Uneven: true, Pause: pause, Bound: p.gaps[q.service], Exposed: u.Exposed, Cost: q.paceCost(s, u)}
}
