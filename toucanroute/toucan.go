package toucanroute

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Toucan chooses the endpoint with the lowest expected cost. Load reports are corrected by the requests that
// this router sent since, and count less as they age. Endpoints that fail, are slow beside their peers or fall
// silent are set aside and probed with single requests.
type Toucan struct {
	cfg Config

	mu       sync.Mutex
	rnd      *rand.Rand
	services map[string]*service
	// byName has every listed endpoint.
	byName map[string]*state
}

// NewToucan returns a router that weighs load reports and outcomes.
func NewToucan(cfg Config) Router {
	cfg = cfg.withDefaults()
	return &Toucan{
		cfg:      cfg,
		rnd:      rand.New(cfg.Rand),
		services: make(map[string]*service),
		byName:   make(map[string]*state),
	}
}

// SetEndpoints implements Router. What is known of an endpoint is kept while its name and address stay.
func (t *Toucan) SetEndpoints(now time.Time, name string, es []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.services[name]
	if !ok {
		v = &service{sinceProbe: probeSpacing}
		t.services[name] = v
	}
	states := make([]*state, 0, len(es))
	for _, e := range es {
		states = append(states, t.keep(now, e))
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

func (t *Toucan) keep(now time.Time, e Endpoint) *state {
	s, ok := t.byName[e.Name]
	if !ok || s.endpoint.Address != e.Address || s.endpoint.Service != e.Service {
		return newState(now, e)
	}
	s.endpoint = e
	return s
}

// Report implements Router.
func (t *Toucan) Report(now time.Time, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[l.Endpoint]
	if !ok || !s.order.accept(l.BootID, l.Sequence) {
		return
	}
	s.report(now, l)
	t.judge(now, s)
}

func (t *Toucan) judge(now time.Time, s *state) {
	v, ok := t.services[s.endpoint.Service]
	if !ok {
		return
	}
	v.measure(now)
	v.judge(now, s, &t.cfg)
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
	if c.probe(s) {
		v.sinceProbe = 0
	}
	return s.endpoint, nil
}

// Sent implements Router.
func (t *Toucan) Sent(now time.Time, endpoint string, q Query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[endpoint]
	if !ok {
		return
	}
	s.sent(now, &q)
	if s.holds > 0 || s.silent(now, &t.cfg) {
		s.probing = true
		s.probeSent = now
	}
}

// Began implements Router. A first token ends a probe: it shows that the endpoint works, and how fast.
func (t *Toucan) Began(now time.Time, endpoint string, firstToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[endpoint]
	if !ok {
		return
	}
	probed := s.probing
	s.probing = false
	s.observe(firstToken)
	t.answered(now, s, probed)
}

// Finished implements Router.
func (t *Toucan) Finished(now time.Time, endpoint string, q Query, o Outcome, firstToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[endpoint]
	if !ok {
		return
	}
	s.drop()
	probed := s.probing
	s.probing = false
	s.observe(firstToken)
	switch o {
	case Completed:
		t.answered(now, s, probed)
	case Refused:
		s.refused(now, &q, &t.cfg)
	case Failed, Stalled:
		s.setAside(now, &t.cfg, false)
	case Cancelled:
	}
}

// answered takes an answer as a sign of life, and judges the speed of an endpoint that was set aside for it.
func (t *Toucan) answered(now time.Time, s *state, probed bool) {
	s.answered = now
	v, ok := t.services[s.endpoint.Service]
	if !ok {
		return
	}
	v.measure(now)
	if !s.slow {
		s.restore()
		v.judge(now, s, &t.cfg)
		return
	}
	if !probed {
		return
	}
	if v.exceeds(s, recoveredFactor) {
		s.setAside(now, &t.cfg, true)
		return
	}
	s.restore()
}
