// Package toucanroom decides for one entry on the room of requests at endpoints with model engines: how long a request may wait,
// which of those that wait may try to take room now and how much they leave free, which are rejected at once, and when their callers are to
// come back. It keeps the requests that wait and applies the rules of toucanrank to them, with what the entry and its peers know of the
// service. It performs no I/O; its caller reserves, waits and answers.
package toucanroom

import (
	"sync"
	"time"

	"toucanport/toucanrank"
)

const (
	// maxWaitShare bounds how long a request waits for a free endpoint, as a share of the time to its deadline.
	maxWaitShare = 0.3
	// maxWaitGoals bounds how long a request waits for a free endpoint, as a multiple of its goal.
	maxWaitGoals = 2
	// RecheckInterval is the longest time between two attempts to reserve an endpoint while a request waits.
	RecheckInterval = 100 * time.Millisecond
	// triedFor is how long it counts that a request found no room. It tries again about as soon.
	triedFor = RecheckInterval
)

// Services tells what the entry knows of the endpoints of services.
type Services interface {
	// Available returns the number of a service's endpoints that take new requests.
	Available(service string) int
}

// Request is what is known of a request. Only its own goroutine uses it, but for triedAt.
type Request struct {
	toucanrank.Class
	// Mixed is true if the requests of its service differ in goal or priority. Otherwise it leaves nothing free, and goes by its
	// goal.
	Mixed             bool
	Arrived, Deadline time.Time
	// Goal is the time from arrival within which the first event is on time; zero for none.
	Goal time.Duration
	// Tokens is the memory that it takes, and Memory that of one endpoint.
	Tokens, Memory int
	// triedAt is when it last found no room. It is guarded by Decider.mu.
	triedAt time.Time
}

// Patience returns how long the request may wait for room from now.
func (r *Request) Patience(now time.Time) time.Duration {
	wait := time.Duration(float64(r.Deadline.Sub(now)) * maxWaitShare)
	if r.Goal > 0 {
		wait = min(wait, maxWaitGoals*r.Goal)
	}
	return wait
}

// Limits are the limits on the room that a request may take at an endpoint. All are zero if the requests of its service don't
// differ.
type Limits struct {
	// Reserve is the memory, in tokens, that it leaves free for others.
	Reserve int
	// MaxUnread is how many prompt tokens may be unread there, with its own; zero for any number.
	MaxUnread int
}

// Decider decides on the requests of one entry. It is safe for concurrent use.
type Decider struct {
	ranks    *toucanrank.Table
	services Services

	mu sync.Mutex
	// waiting holds the requests that wait, with what was last decided by, by service name. A service without any has no entry.
	waiting map[string]map[*Request]*toucanrank.Request
}

// New returns a Decider without waiting requests. ranks is what is known of the requests of all entries.
func New(ranks *toucanrank.Table, services Services) *Decider {
	return &Decider{ranks: ranks, services: services, waiting: make(map[string]map[*Request]*toucanrank.Request)}
}

// ranked returns what toucanrank decides by. until is when the request is rejected if it still waits.
func (d *Decider) ranked(now time.Time, r *Request, until time.Time) *toucanrank.Request {
	ranked := &toucanrank.Request{Arrived: r.Arrived, Goal: r.Goal, Deadline: r.Deadline, Tokens: r.Tokens}
	if !r.Mixed {
		return ranked
	}
	times := d.ranks.Times(now, r.Service, r.Route)
	ranked.Rank, ranked.MaxWait, ranked.Work, ranked.Hold = r.Rank, until.Sub(r.Arrived), times.Work+times.Deviation, times.Hold
	return ranked
}

// size returns the size of the request's service.
func (d *Decider) size(r *Request) toucanrank.Endpoints {
	return toucanrank.Endpoints{Count: d.services.Available(r.Service), Memory: r.Memory}
}

// decide returns which room the request may take now, and what it is ordered by.
func (d *Decider) decide(now time.Time, r *Request, until time.Time) (*toucanrank.Request, Limits) {
	ranked := d.ranked(now, r, until)
	if !r.Mixed {
		return ranked, Limits{}
	}
	flows := d.ranks.Flows(now, r.Service)
	ranked.Reserve = toucanrank.Reserve(now, ranked, flows, d.size(r))
	rate := d.ranks.Times(now, r.Service, r.Route).ReadRate
	return ranked, Limits{
		Reserve:   ranked.Reserve,
		MaxUnread: toucanrank.MaxUnread(now, ranked, flows, rate),
	}
}

// Try returns which room the request may take now, and false if it may not try beside those that wait. until is when it is rejected
// if it still waits.
func (d *Decider) Try(now time.Time, r *Request, until time.Time) (Limits, bool) {
	ranked, limits := d.decide(now, r, until)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting[r.Service]) == 0 {
		return limits, true
	}
	may := toucanrank.MayTry(now, ranked, func(yield func(*toucanrank.Request, bool) bool) {
		for other, request := range d.waiting[r.Service] {
			if other != r && !yield(request, now.Sub(other.triedAt) < triedFor) {
				return
			}
		}
	})
	return limits, may
}

// Limits returns which room the request may take now.
func (d *Decider) Limits(now time.Time, r *Request, until time.Time) Limits {
	_, limits := d.decide(now, r, until)
	return limits
}

// Tried records that the request found no room.
func (d *Decider) Tried(now time.Time, r *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.triedAt = now
}

// Wait puts the request among those that wait. Calling it again renews what is decided by.
func (d *Decider) Wait(now time.Time, r *Request, until time.Time) {
	ranked, _ := d.decide(now, r, until)
	d.mu.Lock()
	defer d.mu.Unlock()
	requests, ok := d.waiting[r.Service]
	if !ok {
		requests = make(map[*Request]*toucanrank.Request)
		d.waiting[r.Service] = requests
	}
	_, known := requests[r]
	requests[r] = ranked
	if !known {
		d.recordWaiting(r)
	}
}

// Leave takes the request out of those that wait. It has no effect on one that does not.
func (d *Decider) Leave(r *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests := d.waiting[r.Service]
	if _, waits := requests[r]; !waits {
		return
	}
	delete(requests, r)
	d.recordWaiting(r)
	if len(requests) == 0 {
		delete(d.waiting, r.Service)
	}
}

// recordWaiting updates what the table knows of the waiting requests of the request's class. The caller holds d.mu.
func (d *Decider) recordWaiting(r *Request) {
	if !r.Mixed {
		return
	}
	requests, tokens := 0, 0
	var oldest time.Time
	for other, ranked := range d.waiting[r.Service] {
		if other.Class != r.Class {
			continue
		}
		requests++
		tokens += ranked.Tokens
		if oldest.IsZero() || ranked.Arrived.Before(oldest) {
			oldest = ranked.Arrived
		}
	}
	d.ranks.SetWaiting(r.Class, requests, tokens, oldest)
}

// Hopeless reports whether the waiting requests before this one need more room than becomes free until a time.
func (d *Decider) Hopeless(now time.Time, r *Request, until time.Time) bool {
	return r.Mixed && now.Add(d.Forecast(now, r)).After(until)
}

// Forecast returns the least time until the request gets room.
func (d *Decider) Forecast(now time.Time, r *Request) time.Duration {
	return toucanrank.Forecast(now, d.ranked(now, r, r.Deadline), d.ranks.Flows(now, r.Service), d.size(r))
}

// Turn returns how long the request leaves freed room to those that wait at other entries and precede it; zero if the requests of its
// service don't differ.
func (d *Decider) Turn(now time.Time, r *Request, until time.Time) time.Duration {
	if !r.Mixed {
		return 0
	}
	turn := toucanrank.Turn(now, d.ranked(now, r, until), d.ranks.Flows(now, r.Service))
	return min(turn, max(until.Sub(now), 0))
}

// ReturnAfter returns when the caller of a request that got no room is to come back, at the least after least; zero if the requests
// of its service don't differ.
func (d *Decider) ReturnAfter(now time.Time, r *Request, least time.Duration) time.Duration {
	if !r.Mixed {
		return 0
	}
	return toucanrank.ReturnAfter(d.Forecast(now, r), least, r.Deadline.Sub(now))
}

// Arrived records the arrival of the request.
func (d *Decider) Arrived(r *Request) {
	if r.Mixed {
		d.ranks.Arrived(r.Arrived, r.Class, d.ranked(r.Arrived, r, r.Deadline))
	}
}

// Ended records the times of a request that has ended.
func (d *Decider) Ended(r *Request, times toucanrank.Times) {
	if r.Mixed {
		d.ranks.Ended(r.Class, times)
	}
}
