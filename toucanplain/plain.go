// Package toucanplain decides how many plain requests, those without a model engine, may wait at an endpoint. The bound follows the
// time that a request has left and how long the endpoint takes for one. It performs no I/O.
//
// The load that it answers is a burst of short requests beside a deadline of a few hundred milliseconds. A request that waits at
// the endpoint is served as soon as a slot is free; one that waits at its entry learns of that late. One that can't end in
// time is rejected at once, while its caller can still ask again.
package toucanplain

import "time"

const (
	// unknownOverload is the bound on requests, as a multiple of the slots, while the service time is unknown.
	unknownOverload = 2
	// maxOverload is the bound for requests with much time left: endpoints have queues of some length.
	maxOverload = 4
	// endShare is the share of the time left in which a request is expected to end.
	endShare = 0.8
	// learnGain is the weight of one request in the average service time. The first requests, up to its inverse, count alike.
	learnGain = 0.1
	// maxRise bounds what one request counts, as a multiple of the average: its caller may have read slowly.
	maxRise = 4
)

// ServiceTime is how long an endpoint takes for a request that does not wait. Its zero value is unknown.
type ServiceTime struct {
	mean time.Duration
	// requests is the number of requests in the average, at most 1/learnGain.
	requests int
}

// With returns the average with a request that took so long in all, when ahead other requests were at the endpoint.
func (t ServiceTime) With(took time.Duration, ahead, slots int) ServiceTime {
	if took <= 0 {
		return t
	}
	served := float64(took) / rounds(ahead, slots)
	requests := min(t.requests+1, int(1/learnGain))
	if t.mean > 0 {
		served = min(served, maxRise*float64(t.mean))
		served = float64(t.mean) + (served-float64(t.mean))/float64(requests)
	}
	return ServiceTime{mean: time.Duration(served), requests: requests}
}

// rounds returns how many service times pass until a request ends that finds ahead others.
func rounds(ahead, slots int) float64 {
	return max(float64(ahead+1)/float64(max(slots, 1)), 1)
}

// End returns how long a request takes that finds ahead others; zero if the service time is unknown.
func (t ServiceTime) End(ahead, slots int) time.Duration {
	return time.Duration(float64(t.mean) * rounds(ahead, slots))
}

// Verdict is whether an endpoint can take a request.
type Verdict int

const (
	// Takes means that it can.
	Takes Verdict = iota
	// Full means that it has too many requests. Some may end while the request waits.
	Full
	// Late means that the request would end too late. Waiting elsewhere does not help it: the requests before it are served in the
	// same time.
	Late
)

// Decide returns whether an endpoint with these requests and slots can take one more that has so much time left; zero if it
// has no deadline. An endpoint with a free slot always can.
func (t ServiceTime) Decide(requests, slots int, left time.Duration) Verdict {
	switch {
	case requests < slots:
		return Takes
	case t.mean == 0:
		if requests < unknownOverload*slots {
			return Takes
		}
		return Full
	case left != 0 && float64(t.End(requests, slots)) > endShare*float64(left):
		return Late
	case requests < maxOverload*slots:
		return Takes
	}
	return Full
}
