package toucanroute

import (
	"cmp"
	"slices"
	"time"
)

// Surveyor tells what a Router would choose, without a choice. Implementations are safe for concurrent use.
type Surveyor interface {
	// Survey returns an Assessment of each endpoint of the query's service: first those that can be chosen, the one that Pick would
	// choose first unless the random part of its costs decides, then the others by name. The error is that of Pick.
	Survey(now time.Time, q Query) ([]Assessment, error)
}

// LeftOut is why an endpoint can't be chosen now.
type LeftOut string

// Reasons to leave an endpoint out.
const (
	// LeftOutNone means that the endpoint can be chosen.
	LeftOutNone LeftOut = ""
	// LeftOutTried means that the query excludes the endpoint.
	LeftOutTried LeftOut = "tried"
	// LeftOutDraining means that it takes no new requests, LeftOutUnhealthy that it does not respond to its sidecar, and LeftOutUnusable
	// one of both.
	LeftOutDraining  LeftOut = "draining"
	LeftOutUnhealthy LeftOut = "unhealthy"
	LeftOutUnusable  LeftOut = "unusable"
	// LeftOutFull means that it has just refused a request that was not larger.
	LeftOutFull LeftOut = "full"
	// LeftOutFailing, LeftOutSlow and LeftOutSilent mean that it gets only probes, at least while others can be chosen.
	LeftOutFailing LeftOut = "failing"
	LeftOutSlow    LeftOut = "slow"
	LeftOutSilent  LeftOut = "silent"
)

// Assessment is what sending a query to one endpoint would cost, or why it can't be chosen.
type Assessment struct {
	Endpoint Endpoint
	LeftOut  LeftOut
	// Probe is true if the endpoint would be chosen to find out whether it works again.
	Probe bool
	// LoadCost and DistanceCost are the parts of the expected cost in seconds, without the random part that tells equal ones apart.
	// They are zero for an endpoint that is left out, and for a router that does not compare costs.
	LoadCost, DistanceCost float64
	// Requests is the number of requests on the endpoint, Tokens the memory in use, and Wait the time to the first token that is
	// expected for a new one.
	Requests, Tokens int
	Wait             time.Duration
}

// Survey implements Surveyor.
func (t *Toucan) Survey(now time.Time, q Query) ([]Assessment, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.services[q.Service]
	if !ok {
		return nil, &NoEndpointError{Service: q.Service, RetryAfter: defaultRetryAfter}
	}
	c := v.newChoice(now, &q, &t.cfg)
	probe, best := v.chooseProbe(&c), v.bestEligibility()
	if probe == nil && best == ineligible {
		probe = v.chooseAnyProbe(&c)
	}
	list := make([]Assessment, 0, len(v.states))
	for _, s := range v.states {
		a := c.assess(s, best)
		if s == probe {
			a.Probe, a.LeftOut = true, LeftOutNone
		}
		list = append(list, a)
	}
	slices.SortStableFunc(list, compareAssessments)
	if list[0].LeftOut != LeftOutNone {
		return list, &NoEndpointError{Service: q.Service, RetryAfter: v.retryAfter(&c)}
	}
	return list, nil
}

// bestEligibility returns the highest eligibility of an endpoint.
func (v *service) bestEligibility() eligibility {
	best := ineligible
	for _, s := range v.states {
		best = max(best, s.eligibility)
	}
	return best
}

// assess returns the assessment of s while the best endpoint has an eligibility.
func (c *choice) assess(s *endpointState, best eligibility) Assessment {
	a := Assessment{
		Endpoint: s.endpoint,
		Requests: s.activeRequests(),
		Tokens:   s.load.UsedBlocks * c.cfg.BlockTokens,
		Wait:     time.Duration(s.estimatedWait() * float64(time.Second)),
	}
	if s.eligibility == ineligible || s.eligibility < best {
		a.LeftOut = c.leftOut(s)
		return a
	}
	a.LoadCost = c.loadCost(s)
	a.DistanceCost = c.distanceCost(s, a.LoadCost)
	a.LoadCost -= c.prefixSaving(s)
	return a
}

// leftOut returns why s is not eligible.
func (c *choice) leftOut(s *endpointState) LeftOut {
	switch {
	case s.hasLoad && s.load.Leaving:
		return LeftOutDraining
	case s.refusesWork():
		return LeftOutUnhealthy
	case s.isFull(c.now, c.tokens):
		return LeftOutFull
	case slices.Contains(c.query.Exclude, s.endpoint.Name):
		return LeftOutTried
	case s.ejectedAsSlow:
		return LeftOutSlow
	case s.ejections > 0:
		return LeftOutFailing
	}
	return LeftOutSilent
}

// compareAssessments orders as Survey.
func compareAssessments(a, b Assessment) int {
	rank := func(a Assessment) int {
		switch {
		case a.Probe:
			return 0
		case a.LeftOut == LeftOutNone:
			return 1
		}
		return 2
	}
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.LoadCost+a.DistanceCost, b.LoadCost+b.DistanceCost),
		cmp.Compare(a.Endpoint.Name, b.Endpoint.Name),
	)
}

// Survey implements Surveyor. The endpoints that can be chosen are in turn.
func (n *Naive) Survey(_ time.Time, q Query) ([]Assessment, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list, leftOut []Assessment
	if s, ok := n.services[q.Service]; ok {
		for i := range s.endpoints {
			e := s.endpoints[(s.next+i)%len(s.endpoints)]
			switch {
			case !n.isUsable(e.Name):
				leftOut = append(leftOut, Assessment{Endpoint: e, LeftOut: LeftOutUnusable})
			case slices.Contains(q.Exclude, e.Name):
				leftOut = append(leftOut, Assessment{Endpoint: e, LeftOut: LeftOutTried})
			default:
				list = append(list, Assessment{Endpoint: e})
			}
		}
	}
	slices.SortFunc(leftOut, compareAssessments)
	if len(list) == 0 {
		return leftOut, &NoEndpointError{Service: q.Service, RetryAfter: naiveRetryAfter}
	}
	return append(list, leftOut...), nil
}

// Survey implements Surveyor.
func (p *PerService) Survey(now time.Time, q Query) ([]Assessment, error) {
	if s, ok := p.router(q.Service).(Surveyor); ok {
		return s.Survey(now, q)
	}
	return nil, &NoEndpointError{Service: q.Service, RetryAfter: defaultRetryAfter}
}
