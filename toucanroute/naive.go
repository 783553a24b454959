package toucanroute

import (
	"slices"
	"sync"
	"time"
)

// naiveRetryAfter is the retry time that a naive router returns when it has no endpoint.
const naiveRetryAfter = time.Second

// Naive sends requests to the endpoints of a service in round-robin order. It uses only the Leaving and Healthy
// fields of load reports.
type Naive struct {
	mu       sync.Mutex
	services map[string]*naiveService
	// reports has an element for each listed endpoint.
	reports map[string]*naiveReport
}

type naiveReport struct {
	filter reportFilter
	usable bool
}

type naiveService struct {
	endpoints []Endpoint
	next      int
}

// NewNaive returns a round-robin router.
func NewNaive() Router {
	return &Naive{services: make(map[string]*naiveService), reports: make(map[string]*naiveReport)}
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
	n.syncReports(s.endpoints, es)
	s.endpoints = slices.Clone(es)
}

// syncReports creates reports for newly listed endpoints and removes those of endpoints that are no longer listed.
func (n *Naive) syncReports(before, now []Endpoint) {
	for _, e := range before {
		if !slices.ContainsFunc(now, func(kept Endpoint) bool { return kept.Name == e.Name }) {
			delete(n.reports, e.Name)
		}
	}
	for _, e := range now {
		if n.reports[e.Name] == nil {
			n.reports[e.Name] = &naiveReport{usable: true}
		}
	}
}

// Report implements Router.
func (n *Naive) Report(_ time.Time, l Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.reports[l.Endpoint]
	if ok && r.filter.accept(l.BootID, l.Sequence) {
		r.usable = l.Healthy && !l.Leaving
	}
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
		if n.isUsable(e.Name) && !slices.Contains(q.Exclude, e.Name) {
			return e, nil
		}
	}
	return Endpoint{}, &NoEndpointError{Service: q.Service, RetryAfter: naiveRetryAfter}
}

func (n *Naive) isUsable(name string) bool {
	return n.reports[name].usable
}

// RecordSent implements Router.
func (n *Naive) RecordSent(time.Time, string, Query) {}

// RecordFirstToken implements Router.
func (n *Naive) RecordFirstToken(time.Time, string, time.Duration) {}

// RecordOutcome implements Router.
func (n *Naive) RecordOutcome(time.Time, string, Query, Outcome, time.Duration) {}
