package main

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// quietTime is how long the engine wants nothing from the machine.
	quietTime = 20 * time.Second
	// quietSlack is how long after an answer with Retry-After requests may still reach the engine, and quietRequests how many may after that.
	quietSlack    = 500 * time.Millisecond
	quietRequests = 2
)

// notice is an answer 503 with Retry-After.
type notice struct {
	at    time.Time
	after time.Duration
}

// quieter turns requests away for quietSlack and wants none for quietTime. Retry-After is the time that is left, in whole seconds, rounded
// down. What still comes later, it runs.
type quieter struct {
	mu sync.Mutex
	// armed is true until the first answer, from which quietTime counts: began.
	armed   bool
	began   time.Time
	notices []notice
}

func (q *quieter) turnAway(w http.ResponseWriter, now time.Time) bool {
	if !q.turnsAway(now) {
		return false
	}
	time.Sleep(20 * time.Millisecond) // It looks at the request first.
	q.mu.Lock()
	defer q.mu.Unlock()
	now = time.Now()
	if q.armed {
		q.armed, q.began = false, now
	}
	w.Header().Set("Not-Run", "1")
	if left := int(math.Floor((quietTime - now.Sub(q.began)).Seconds())); left > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(left))
		q.notices = append(q.notices, notice{at: now, after: time.Duration(left) * time.Second})
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (q *quieter) turnsAway(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.armed || !q.began.IsZero() && now.Sub(q.began) < quietSlack
}

// deferralCase: an engine turns requests of one machine away for a time.
func deferralCase(r *rig) int {
	var engines []*plain
	for i := range 3 {
		p, err := r.newPlain(i, 6, 30*time.Millisecond)
		if err != nil {
			return couldNot
		}
		engines = append(engines, p)
	}
	q := &quieter{}
	engines[0].turnAway = q.turnAway
	r.configure(1)
	e, err := r.startEntry(1, nil)
	if err != nil || !e.awaitReady() {
		return couldNot
	}
	seen := &outcomes{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() {
			c := newCaller(true)
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				seen.add(c.request(e.front(), "/order/2f", []byte("order"), 1500*time.Millisecond))
			}
		})
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		q.mu.Lock()
		q.armed = true
		q.mu.Unlock()
		r.logf("engine %s turns requests away for %v from the next one on", engines[0].id, quietTime)
	}
	time.Sleep(quietTime + 3*time.Second)
	close(stop)
	clients.Wait()
	list := seen.list()
	r.logOutcomes(list)
	r.logArrivals(engines[0])
	n, good := served(list, r.began, time.Now())
	r.logf("%d requests, %d served", n, good)
	if good*10 < n*9 {
		return couldNot
	}
	arrivals := engines[0].taken()
	most := 0
	for i, x := range q.notices {
		late := 0
		for _, a := range arrivals {
			if a.at.After(x.at.Add(quietSlack)) && a.at.Before(x.at.Add(x.after)) {
				late++
			}
		}
		r.logf("answer %d: 503 with Retry-After %v at %.3f s; %d requests reached the engine from 0.5 s after it to its end", i, x.after, x.at.Sub(r.began).Seconds(), late)
		most = max(most, late)
	}
	if r.trouble && len(q.notices) == 0 {
		return couldNot
	}
	if most > quietRequests {
		r.logf("BUDGET: %d requests, %d allowed", most, quietRequests)
		return broken
	}
	return held
}
