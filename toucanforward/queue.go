package toucanforward

import (
	"sync"
	"time"

	"toucanport/toucanrank"
)

// waitQueue holds the requests that wait for a free endpoint, and lets them try in the order that toucanrank decides. It is safe
// for concurrent use.
type waitQueue struct {
	// ranks learns how many requests of each rank wait.
	ranks *toucanrank.Table

	mu sync.Mutex
	// jobs holds the queued requests by service name. A service without queued requests has no entry.
	jobs map[string]map[*job]*toucanrank.Request
}

// add puts a request into the queue of its service. Adding it again replaces what is decided by.
func (w *waitQueue) add(j *job, r *toucanrank.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs == nil {
		w.jobs = make(map[string]map[*job]*toucanrank.Request)
	}
	jobs, ok := w.jobs[j.service.Name]
	if !ok {
		jobs = make(map[*job]*toucanrank.Request)
		w.jobs[j.service.Name] = jobs
	}
	_, known := jobs[j]
	jobs[j] = r
	if !known {
		w.recordWaiting(j)
	}
}

// remove takes a request out of the queue. It has no effect on a request that is not queued.
func (w *waitQueue) remove(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.jobs[j.service.Name]
	if _, queued := jobs[j]; !queued {
		return
	}
	delete(jobs, j)
	w.recordWaiting(j)
	if len(jobs) == 0 {
		delete(w.jobs, j.service.Name)
	}
}

// recordWaiting updates what ranks knows of the waiting requests of the request's class. The caller holds w.mu.
func (w *waitQueue) recordWaiting(j *job) {
	if !j.mixed {
		return
	}
	requests, tokens := 0, 0
	var oldest time.Time
	for other, r := range w.jobs[j.service.Name] {
		if other.class() != j.class() {
			continue
		}
		requests++
		tokens += r.Tokens
		if oldest.IsZero() || r.Arrived.Before(oldest) {
			oldest = r.Arrived
		}
	}
	w.ranks.SetWaiting(j.class(), requests, tokens, oldest)
}

// triedFor is how long it counts that a request found no room. It tries again about as soon.
const triedFor = recheckInterval

// setTried records that a request found no room.
func (w *waitQueue) setTried(now time.Time, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.triedAt = now
}

// mayReserve reports whether the request may try to reserve an endpoint now, beside those in the queue.
func (w *waitQueue) mayReserve(now time.Time, j *job, r *toucanrank.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.jobs[j.service.Name]
	if len(jobs) == 0 {
		return true
	}
	return toucanrank.MayTry(now, r, func(yield func(*toucanrank.Request, bool) bool) {
		for other, request := range jobs {
			if other != j && !yield(request, now.Sub(other.triedAt) < triedFor) {
				return
			}
		}
	})
}
