package toucanroute

import (
	"slices"
	"sync"
	"time"
)

// naiveRetryAfter is what a naive router tells callers when it has no endpoint.
const naiveRetryAfter = time.Second

// Naive sends requests to the endpoints of a service in turn. Of the reports it heeds only Leaving and Healthy.
type Naive struct {
	mu       sync.Mutex
	services map[string]*naiveService
	loads    map[string]Load
}

type naiveService struct {
	endpoints []Endpoint
	next      int
}

// NewNaive returns a round robin router.
func NewNaive() Router {
	return &Naive{services: make(map[string]*naiveService), loads: make(map[string]Load)}
}

// SetEndpoints implements Router.
func (n *Naive) SetEndpoints(_ time.Time, service string, es []Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.services[service]
	if !ok {
		s = &naiveService{}
		n.services[service] = s
	}
	for _, old := range s.endpoints {
		if !slices.ContainsFunc(es, func(e Endpoint) bool { return e.Name == old.Name }) {
			delete(n.loads, old.Name)
		}
	}
	s.endpoints = slices.Clone(es)
}

// Report implements Router.
func (n *Naive) Report(_ time.Time, l Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.loads[l.Endpoint]; ok && old.BootID == l.BootID && l.Sequence <= old.Sequence {
		return
	}
	n.loads[l.Endpoint] = Load{BootID: l.BootID, Sequence: l.Sequence, Leaving: l.Leaving, Healthy: l.Healthy}
}

// Pick implements Router.
func (n *Naive) Pick(_ time.Time, q Query) (Endpoint, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.services[q.Service]
	if !ok {
		return Endpoint{}, &NoEndpointError{Service: q.Service, RetryAfter: naiveRetryAfter}
	}
	for range s.endpoints {
		e := s.endpoints[s.next%len(s.endpoints)]
		s.next++
		if n.usable(e.Name) && !slices.Contains(q.Exclude, e.Name) {
			return e, nil
		}
	}
	return Endpoint{}, &NoEndpointError{Service: q.Service, RetryAfter: naiveRetryAfter}
}

func (n *Naive) usable(name string) bool {
	l, ok := n.loads[name]
	return !ok || l.Healthy && !l.Leaving
}

// Sent implements Router.
func (n *Naive) Sent(time.Time, string, Query) {}

// Finished implements Router.
func (n *Naive) Finished(time.Time, string, Query, Outcome, time.Duration) {}
