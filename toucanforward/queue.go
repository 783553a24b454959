package toucanforward

import (
	"sync"
	"time"
)

// maxContenders is how many queued requests of a service may try to reserve an endpoint at the same time. With more
// than one, a large request that does not fit yet does not block the smaller requests behind it.
const maxContenders = 3

// waitQueue holds the requests that wait for a free endpoint. Under overload, requests that can still meet their
// route's goal go before those that can't, because serving in order of arrival would make all of them late. It is safe
// for concurrent use.
type waitQueue struct {
	mu sync.Mutex
	// jobs holds the queued requests by service name. A service without queued requests has no entry.
	jobs map[string]map[*job]struct{}
}

// add puts a request into the queue of its service. Adding it twice has no effect.
func (w *waitQueue) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs == nil {
		w.jobs = make(map[string]map[*job]struct{})
	}
	jobs, ok := w.jobs[j.service.Name]
	if !ok {
		jobs = make(map[*job]struct{})
		w.jobs[j.service.Name] = jobs
	}
	jobs[j] = struct{}{}
}

// remove takes a request out of the queue. It has no effect on a request that is not queued.
func (w *waitQueue) remove(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.jobs[j.service.Name]
	delete(jobs, j)
	if len(jobs) == 0 {
		delete(w.jobs, j.service.Name)
	}
}

// mayReserve reports whether fewer than maxContenders queued requests precede j.
func (w *waitQueue) mayReserve(now time.Time, j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ahead := 0
	for other := range w.jobs[j.service.Name] {
		if other != j && other.precedes(now, j) {
			ahead++
		}
	}
	return ahead < maxContenders
}

// missedGoal reports whether the request has been in progress for longer than its route's goal.
func (j *job) missedGoal(now time.Time) bool {
	return j.route.Goal > 0 && now.Sub(j.arrived) > j.route.Goal
}

// precedes reports whether j gets an endpoint before k. Requests that can still meet their goal come first, ordered by
// the time at which the goal ends; requests that missed their goal follow, ordered by deadline.
func (j *job) precedes(now time.Time, k *job) bool {
	if late := j.missedGoal(now); late != k.missedGoal(now) {
		return !late
	} else if late {
		return j.deadline.Before(k.deadline)
	}
	return j.arrived.Add(j.route.Goal).Before(k.arrived.Add(k.route.Goal))
}
