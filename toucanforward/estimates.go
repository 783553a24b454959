package toucanforward

import (
	"sync"

	"toucanport/toucanlength"
)

// initialMedian is the assumed median length of answers, in tokens, until answers of the route have been observed.
const initialMedian = 200

// lengthEstimates estimates the lengths of answers per route. It is safe for concurrent use.
type lengthEstimates struct {
	mu sync.Mutex
	// routes has an estimator for each route with generations, by route name. Entries of deleted routes are kept; each
	// takes only a few words of memory.
	routes map[string]*toucanlength.HintedEstimator
}

// estimate returns the expected total length, in tokens, of an answer of which made tokens exist already. It returns
// zero for requests that generate nothing.
func (l *lengthEstimates) estimate(route string, r Request, made int) int {
	if r.MaxOutput == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimator(route, r).Estimate(r.LengthHint, made, r.MaxOutput)
}

// observe updates the route's estimator with the length of a complete answer, in tokens.
func (l *lengthEstimates) observe(route string, r Request, length int) {
	if r.MaxOutput == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator(route, r).Observe(r.LengthHint, length)
}

// estimator returns the estimator of a route and creates it if necessary. The caller holds l.mu.
func (l *lengthEstimates) estimator(name string, r Request) *toucanlength.HintedEstimator {
	if l.routes == nil {
		l.routes = make(map[string]*toucanlength.HintedEstimator)
	}
	e, ok := l.routes[name]
	if !ok {
		e = toucanlength.NewHintedEstimator(min(initialMedian, float64(r.MaxOutput)/2))
		l.routes[name] = e
	}
	return e
}
