package toucanforward

import (
	"sync"

	"toucanport/toucanlength"
)

// assumedMedian is the median length of answers, in tokens, that is taken for granted before any was seen.
const assumedMedian = 200

// lengths forecasts the lengths of answers by route. It is safe for concurrent use.
type lengths struct {
	mu sync.Mutex
	// routes has an entry for each route that generates; routes that are gone stay, with a few words each.
	routes map[string]*toucanlength.Hinted
}

// forecast returns the expected length of an answer that has made tokens already; zero for requests that generate
// nothing.
func (l *lengths) forecast(route string, r Request, made int) int {
	if r.MaxOutput == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.route(route, r).Forecast(r.LengthHint, made, r.MaxOutput)
}

// observe takes in the length of a whole answer.
func (l *lengths) observe(route string, r Request, length int) {
	if r.MaxOutput == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.route(route, r).Observe(r.LengthHint, length)
}

func (l *lengths) route(name string, r Request) *toucanlength.Hinted {
	if l.routes == nil {
		l.routes = make(map[string]*toucanlength.Hinted)
	}
	e, ok := l.routes[name]
	if !ok {
		e = toucanlength.NewHinted(min(assumedMedian, float64(r.MaxOutput)/2))
		l.routes[name] = e
	}
	return e
}
