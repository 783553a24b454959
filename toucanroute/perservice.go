package toucanroute

import (
	"sync"
	"time"

	"toucanport/toucansettings"
)

// PerService chooses endpoints with the policy in each service's settings. Both policies receive all events, so that
// a change of policy takes effect with the next request.
type PerService struct {
	naive  Router
	toucan Router

	mu sync.RWMutex
	// naiveServices contains the services whose policy is naive.
	naiveServices map[string]bool
}

// NewPerService returns a router that uses the toucan policy for every service until SetPolicy is called.
func NewPerService(cfg Config) *PerService {
	return &PerService{naive: NewNaive(), toucan: NewToucan(cfg), naiveServices: make(map[string]bool)}
}

// SetPolicy sets the policy of a service. Any value other than the naive policy selects toucan.
func (p *PerService) SetPolicy(service string, policy toucansettings.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.naiveServices, service)
	if policy == toucansettings.PolicyNaive {
		p.naiveServices[service] = true
	}
}

// SetEndpoints implements Router.
func (p *PerService) SetEndpoints(now time.Time, service string, es []Endpoint) {
	p.naive.SetEndpoints(now, service, es)
	p.toucan.SetEndpoints(now, service, es)
}

// Report implements Router.
func (p *PerService) Report(now time.Time, l Load) {
	p.naive.Report(now, l)
	p.toucan.Report(now, l)
}

// Pick implements Router.
func (p *PerService) Pick(now time.Time, q Query) (Endpoint, error) {
	return p.router(q.Service).Pick(now, q)
}

// router returns the router of a service's policy.
func (p *PerService) router(service string) Router {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.naiveServices[service] {
		return p.naive
	}
	return p.toucan
}

// RecordSent implements Router.
func (p *PerService) RecordSent(now time.Time, endpoint string, q Query) {
	p.naive.RecordSent(now, endpoint, q)
	p.toucan.RecordSent(now, endpoint, q)
}

// RecordFirstToken implements Router.
func (p *PerService) RecordFirstToken(now time.Time, endpoint string, firstToken time.Duration) {
	p.naive.RecordFirstToken(now, endpoint, firstToken)
	p.toucan.RecordFirstToken(now, endpoint, firstToken)
}

// RecordOutcome implements Router.
func (p *PerService) RecordOutcome(now time.Time, endpoint string, q Query, o Outcome, firstToken time.Duration) {
	p.naive.RecordOutcome(now, endpoint, q, o, firstToken)
	p.toucan.RecordOutcome(now, endpoint, q, o, firstToken)
}
