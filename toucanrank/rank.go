// Package toucanrank decides, where requests of one service differ in urgency and there is too little room, which of them
// wait: the order in which waiting requests try to take room, the memory that less urgent work leaves free for more urgent
// work, the wait to expect, and when a rejected caller is to come back. It performs no I/O.
//
// The load that it answers is a burst of long, less urgent requests that would take the memory of all engines for many
// seconds, beside a steady flow of short, urgent ones.
package toucanrank

import "time"

// Request is what the decisions need to know of a request. It is immutable.
type Request struct {
	// Rank is 0 for the most urgent requests and grows with falling urgency.
	Rank    int
	Arrived time.Time
	// Goal is the time from arrival within which the first event is on time; zero for none.
	Goal     time.Duration
	Deadline time.Time
	// MaxWait is the time from arrival after which the request is rejected if it still waits; zero if it does not age.
	MaxWait time.Duration
	// Work is the expected time from placement to the first event.
	Work time.Duration
	// Tokens is the memory that the request takes until its end, and Hold for how long it is expected to take it.
	Tokens int
	Hold   time.Duration
	// Reserve is the memory that it leaves free for others, as decided when it last tried.
	Reserve int
}

// agedShare is the share of the time for which a request may wait after which it goes before more urgent ones.
const agedShare = 0.75

// aged returns how far a request that has waited so long is into the last part of the time for which it may wait, from 0 to 1.
func (r *Request) aged(waited time.Duration) float64 {
	begins := time.Duration(agedShare * float64(r.MaxWait))
	if waited <= begins || r.MaxWait <= begins {
		return 0
	}
	return min(float64(waited-begins)/float64(r.MaxWait-begins), 1)
}

// place is a request's place in the order of waiting.
type place struct {
	rank int
	// late is true if the request missed its goal.
	late bool
	// left is the time until it has to be placed for its goal, or until its deadline if it is late.
	left time.Duration
}

// place returns the request's place. One that would soon be rejected is as urgent as any, so that a steady flow of more
// urgent requests does not hold it back for ever.
func (r *Request) place(now time.Time) place {
	waited := now.Sub(r.Arrived)
	p := place{rank: r.Rank, late: r.missedGoal(waited)}
	if r.Rank > 0 && r.aged(waited) > 0 {
		p.rank = 0
	}
	if p.late {
		p.left = r.Deadline.Sub(now)
	} else {
		p.left = r.Goal - r.Work - waited
	}
	return p
}

// missedGoal reports whether the first event of a request that has waited so long can't be on time any more.
func (r *Request) missedGoal(waited time.Duration) bool { return r.Goal > 0 && waited > r.Goal }

// precedes reports whether p goes before q.
func (p place) precedes(q place) bool {
	if p.rank != q.rank {
		return p.rank < q.rank
	}
	if p.late != q.late {
		return !p.late
	}
	return p.left < q.left
}

// Precedes reports whether r gets room before s. The more urgent request goes first. Of two that are as urgent, one that can still
// meet its goal goes first, then the one whose goal ends first, less the work until then; of two that missed theirs, the one
// with the earlier deadline.
func (r *Request) Precedes(now time.Time, s *Request) bool {
	return r.place(now).precedes(s.place(now))
}

// Waiters calls yield with each waiting request but one, until yield returns false. tried is true if the request has just found
// no room.
type Waiters func(yield func(r *Request, tried bool) bool)

// maxContenders is how many waiting requests of a service may try to take room at the same time. With more than one, a
// large request that does not fit yet does not block the smaller ones behind it.
const maxContenders = 3

// givesWay reports whether a request that has just found no room lets a later one try: one that needs less room, unless it would
// soon be rejected itself.
func (r *Request) givesWay(now time.Time, later *Request) bool {
	return r.Reserve > 0 && r.Tokens+r.Reserve > later.Tokens+later.Reserve && r.aged(now.Sub(r.Arrived)) == 0
}

// MayTry reports whether r may try to take room now, beside others. It may not if one that is more urgent and has not just tried
// precedes it, as that one may fit, or maxContenders that do not give way to it.
func MayTry(now time.Time, r *Request, others Waiters) bool {
	own, ahead, may := r.place(now), 0, true
	others(func(w *Request, tried bool) bool {
		other := w.place(now)
		if !other.precedes(own) || tried && w.givesWay(now, r) {
			return true
		}
		ahead++
		may = ahead < maxContenders && (tried || other.rank >= own.rank)
		return may
	})
	return may
}
