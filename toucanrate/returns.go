package toucanrate

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxReturn is the longest time after which a rejected caller is told to come back.
	maxReturn = 10 * time.Second
	// maxReturnServices bounds the services whose returns are spread.
	maxReturnServices = 256
)

// Returns spreads the times at which rejected callers come back, so that they come at the rate at which they can be served. It
// is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	services map[string]*schedule
}

// NewReturns returns a Returns without callers.
func NewReturns() *Returns { return &Returns{services: make(map[string]*schedule)} }

// After returns after which time the next rejected caller of a service comes back that can serve so many a second. Callers
// beyond maxReturn are spread over its second half.
func (r *Returns) After(now time.Time, service string, perSecond float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if !ok {
		if len(r.services) >= maxReturnServices {
			clear(r.services)
		}
		s = newSchedule(now, perSecond)
		r.services[service] = s
	}
	s.setRate(now, perSecond)
	if wait, ok := s.reserve(now, maxReturn); ok {
		return wait
	}
	return maxReturn/2 + rand.N(maxReturn/2)
}

// Next returns the earliest time that After would return, and spreads nothing.
func (r *Returns) Next(now time.Time, service string, perSecond float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := newSchedule(now, perSecond)
	if s, ok := r.services[service]; ok {
		next = &schedule{interval: s.interval, next: s.next}
		next.setRate(now, perSecond)
	}
	wait := next.wait(now)
	if wait > maxReturn {
		return maxReturn / 2
	}
	return wait
}
