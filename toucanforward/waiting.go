package toucanforward

import (
	"sync"
	"time"
)

// triers is how many of those who wait for a service may look for room, so that one large request does not keep smaller
// ones behind it waiting.
const triers = 3

// waiting holds the requests for which there is no room. It answers loads beyond the memory of the engines: requests that
// can still be answered within their goal go before those that can't, since serving in order of arrival would make all of
// them late. It is safe for concurrent use.
type waiting struct {
	mu sync.Mutex
	// jobs holds those who wait, by service.
	jobs map[string]map[*job]struct{}
}

// join adds a request to those who wait.
func (w *waiting) join(j *job) {
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

// leave takes a request off those who wait.
func (w *waiting) leave(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.jobs[j.service.Name]
	delete(jobs, j)
	if len(jobs) == 0 {
		delete(w.jobs, j.service.Name)
	}
}

// mayTry reports whether fewer than triers of those who wait go before j.
func (w *waiting) mayTry(now time.Time, j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ahead := 0
	for other := range w.jobs[j.service.Name] {
		if other != j && other.before(now, j) {
			ahead++
		}
	}
	return ahead < triers
}

// late reports whether a request can no longer be answered within its route's goal.
func (j *job) late(now time.Time) bool {
	return j.route.Goal > 0 && now.Sub(j.arrived) > j.route.Goal
}

// before reports whether j is placed before k: those in time first, by the end of their goals, then by their deadlines.
func (j *job) before(now time.Time, k *job) bool {
	if late := j.late(now); late != k.late(now) {
		return !late
	} else if late {
		return j.deadline.Before(k.deadline)
	}
	return j.arrived.Add(j.route.Goal).Before(k.arrived.Add(k.route.Goal))
}
