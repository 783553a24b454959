package toucanroute

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Toucan chooses the endpoint with the lowest expected cost. It corrects load reports by the requests that it sent
// since, and gives old reports less weight. Endpoints that fail, are slow compared with their peers, or send
// neither reports nor answers are ejected and probed with single requests.
type Toucan struct {
	cfg Config

	mu       sync.Mutex
	rnd      *rand.Rand
	services map[string]*service
	// byName holds every listed endpoint.
	byName map[string]*endpointState
}

// NewToucan returns a router that chooses by load reports and by the outcomes of requests.
func NewToucan(cfg Config) Router {
	cfg = cfg.withDefaults()
	return &Toucan{
		cfg:      cfg,
		rnd:      rand.New(cfg.Rand),
		services: make(map[string]*service),
		byName:   make(map[string]*endpointState),
	}
}

// SetEndpoints implements Router. It keeps the state of an endpoint whose name, address and service are unchanged.
func (t *Toucan) SetEndpoints(now time.Time, name string, es []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.services[name]
	if !ok {
		v = &service{sinceProbe: probeSpacing}
		t.services[name] = v
	}
	states := make([]*endpointState, 0, len(es))
	for _, e := range es {
		states = append(states, t.stateFor(now, e))
	}
	for _, s := range v.states {
		delete(t.byName, s.endpoint.Name)
	}
	for _, s := range states {
		t.byName[s.endpoint.Name] = s
	}
	v.states = states
	if len(states) == 0 {
		delete(t.services, name)
	}
}

func (t *Toucan) stateFor(now time.Time, e Endpoint) *endpointState {
	s, ok := t.byName[e.Name]
	if !ok || s.endpoint.Address != e.Address || s.endpoint.Service != e.Service {
		return newEndpointState(now, e)
	}
	s.endpoint = e
	return s
}

// Report implements Router.
func (t *Toucan) Report(now time.Time, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[l.Endpoint]
	if !ok || !s.filter.accept(l.BootID, l.Sequence) {
		return
	}
	s.applyReport(now, l)
	t.ejectIfSlow(now, s)
}

func (t *Toucan) ejectIfSlow(now time.Time, s *endpointState) {
	v, ok := t.services[s.endpoint.Service]
	if !ok {
		return
	}
	v.updateMedians(now)
	v.ejectIfSlow(now, s, &t.cfg)
}

// Pick implements Router.
func (t *Toucan) Pick(now time.Time, q Query) (Endpoint, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.services[q.Service]
	if !ok {
		return Endpoint{}, &NoEndpointError{Service: q.Service, RetryAfter: defaultRetryAfter}
	}
	c := v.newChoice(now, &q, &t.cfg)
	s := v.choose(&c, t.rnd)
	if s == nil {
		return Endpoint{}, &NoEndpointError{Service: q.Service, RetryAfter: v.retryAfter(&c)}
	}
	v.sinceProbe++
	if c.probeDue(s) {
		v.sinceProbe = 0
	}
	return s.endpoint, nil
}

// RecordSent implements Router.
func (t *Toucan) RecordSent(now time.Time, endpoint string, q Query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[endpoint]
	if !ok {
		return
	}
	s.recordSent(now, &q)
	if s.ejections > 0 || s.isSilent(now, &t.cfg) {
		s.probing = true
		s.probeSent = now
	}
}

// RecordFirstToken implements Router. A first token ends a probe: it shows that the endpoint works, and how fast.
func (t *Toucan) RecordFirstToken(now time.Time, endpoint string, firstToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[endpoint]
	if !ok {
		return
	}
	probed := s.probing
	s.probing = false
	s.observeFirstToken(firstToken)
	t.recordAnswer(now, s, probed)
}

// RecordOutcome implements Router.
func (t *Toucan) RecordOutcome(now time.Time, endpoint string, q Query, o Outcome, firstToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[endpoint]
	if !ok {
		return
	}
	s.removeOutstanding()
	probed := s.probing
	s.probing = false
	s.observeFirstToken(firstToken)
	switch o {
	case Completed:
		t.recordAnswer(now, s, probed)
	case Refused:
		s.recordRefusal(now, &q, &t.cfg)
	case Failed, Stalled:
		s.eject(now, &t.cfg, false)
	case Cancelled:
	}
}

// recordAnswer records that the endpoint answered, which reinstates it unless it was ejected as slow. In that case,
// an answer to a probe reinstates it or, if it is still slow, ejects it again.
func (t *Toucan) recordAnswer(now time.Time, s *endpointState, probed bool) {
	s.answeredAt = now
	v, ok := t.services[s.endpoint.Service]
	if !ok {
		return
	}
	v.updateMedians(now)
	if !s.ejectedAsSlow {
		s.reinstate()
		v.ejectIfSlow(now, s, &t.cfg)
		return
	}
	if !probed {
		return
	}
	if v.exceeds(s, recoveredFactor) {
		s.eject(now, &t.cfg, true)
		return
	}
	s.reinstate()
}
