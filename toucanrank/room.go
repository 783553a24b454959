package toucanrank

import (
	"math"
	"time"
)

// Flow describes the requests of one route and rank that a service gets at all entries together.
type Flow struct {
	// Route is the hash of the route's name.
	Route uint64
	Rank  int
	// PerSecond is the number of requests that arrive each second.
	PerSecond float64
	// Tokens is the mean memory that a request takes, and Hold the mean time for which it does.
	Tokens float64
	Hold   time.Duration
	// Goal is the shortest goal of these requests; zero if one has none.
	Goal time.Duration
	// Waiting is the number of requests that wait for room, WaitingTokens the memory that they need together.
	Waiting, WaitingTokens int
	// Oldest is how long the first of them has waited.
	Oldest time.Duration
}

const (
	// roomQuantile is the share of more urgent requests that are to find room at an endpoint.
	roomQuantile = 0.95
	// maxReserveShare bounds the memory that is left free, as a share of an endpoint's memory.
	maxReserveShare = 0.4
	// maxQuantile bounds the number of requests for which room is left.
	maxQuantile = 64
)

// Endpoints is the size of a service.
type Endpoints struct {
	Count int
	// Memory is the memory of one endpoint in tokens.
	Memory int
}

// Reserve returns the memory, in tokens, that r leaves free at each endpoint for brief work that can't wait as long. It answers a
// burst of long requests beside short ones: what the burst takes comes back only after many seconds, and the short ones would
// have to wait in the engines, behind long prompts, or preempt running streams. The memory is for as many of the brief
// requests as run at an endpoint at the same time, but for one in twenty of them.
//
// In the second half of the time in which r has to be placed to meet its goal, the reserve shrinks to nothing: being placed late
// costs its caller more than a brief one that perhaps comes. What is left free for requests that are less urgent than r
// shrinks from the beginning. A request that missed its goal has less to lose by waiting and leaves all of it
// free again, until it would soon be rejected.
func Reserve(now time.Time, r *Request, flows []Flow, size Endpoints) int {
	if size.Count <= 0 || size.Memory <= 0 {
		return 0
	}
	left := r.patienceLeft(now)
	reserve := 0.0
	for i := range flows {
		f := &flows[i]
		if !f.isBrief(r) {
			continue
		}
		running := f.PerSecond * f.Hold.Seconds() / float64(size.Count)
		share := min(2*left, 1)
		if f.Rank > r.Rank {
			share = left
		}
		reserve += float64(poissonQuantile(running, roomQuantile)) * f.Tokens * share
	}
	return int(min(reserve, maxReserveShare*float64(size.Memory)))
}

const (
	// briefReadShare is the share of a brief request's goal that the prompts before its own may take.
	briefReadShare = 0.5
	// ownReadShare is the share of the time left to its goal in which the prompts before a request's first event are to be read.
	ownReadShare = 0.8
	// minPatience bounds how far the limit on unread prompts grows.
	minPatience = 0.25
)

// meetsOther reports whether the flows have brief requests beside r, or long ones beside which r is brief.
func meetsOther(r *Request, flows []Flow) bool {
	for i := range flows {
		if flows[i].isBrief(r) || r.timing().isBrief(flows[i].timing()) {
			return true
		}
	}
	return false
}

// MaxUnread returns how many prompt tokens, with its own, may be unread at the endpoint that r goes to; zero for no limit. readRate
// is how many an endpoint reads a second; zero if it is not known. There is no limit for a service without brief requests beside long
// ones. It answers prompts that queue at the few endpoints
// with free memory: a request that waits can still go to another one.
func MaxUnread(now time.Time, r *Request, flows []Flow, readRate float64) int {
	if r.Goal <= 0 || readRate <= 0 || !meetsOther(r, flows) {
		return 0
	}
	waited := now.Sub(r.Arrived)
	seconds := r.Goal.Seconds()
	if !r.missedGoal(waited) {
		seconds = (r.Goal - waited).Seconds()
	}
	seconds *= ownReadShare
	left := max(r.patienceLeft(now), minPatience)
	for i := range flows {
		if flows[i].isBrief(r) {
			seconds = min(seconds, briefReadShare*flows[i].Goal.Seconds()/left)
		}
	}
	return max(int(readRate*seconds), 1)
}

const (
	// briefShare is the largest time for which a request holds its room that is brief beside another, as a share of the other's.
	briefShare = 0.25
	// briefGoalShare is the longest goal of a request that can't wait as long as another, as a share of the other's.
	briefGoalShare = 0.5
)

// timing is the goal of requests and how long they hold their room.
type timing struct{ goal, hold time.Duration }

// isBrief reports whether requests with timing t are brief beside those with timing long: they have much less time, hold their room
// briefly, and would not get back in time what a long one takes.
func (t timing) isBrief(long timing) bool {
	return t.goal > 0 && float64(t.goal) <= briefGoalShare*float64(long.goal) &&
		long.hold > t.goal && float64(t.hold) <= briefShare*float64(long.hold)
}

func (r *Request) timing() timing { return timing{goal: r.Goal, hold: r.Hold} }

func (f *Flow) timing() timing { return timing{goal: f.Goal, hold: f.Hold} }

// isBrief reports whether the requests of a flow are brief beside r.
func (f *Flow) isBrief(r *Request) bool { return f.timing().isBrief(r.timing()) }

// patienceLeft returns which share of the time in which the request has to be placed for its goal is left, or of that until it
// is rejected for one without a goal and one that has missed it.
func (r *Request) patienceLeft(now time.Time) float64 {
	waited := now.Sub(r.Arrived)
	if r.Goal <= 0 || r.missedGoal(waited) {
		return 1 - r.aged(waited)
	}
	window := r.Goal - r.Work
	if window <= 0 {
		return 0
	}
	return max(1-float64(waited)/float64(window), 0)
}

// poissonQuantile returns the smallest number that a Poisson variable with this mean exceeds with a probability of at most 1 - q.
func poissonQuantile(mean, q float64) int {
	p := math.Exp(-mean)
	sum := p
	n := 0
	for sum < q && n < maxQuantile {
		n++
		p *= mean / float64(n)
		sum += p
	}
	return n
}
