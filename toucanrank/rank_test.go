package toucanrank

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// drawRequest draws a request that arrived in the last seconds before start.
func drawRequest(t *rapid.T) Request {
	millis := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
	}
	r := Request{
		Rank:    rapid.IntRange(0, 3).Draw(t, "rank"),
		Arrived: start.Add(-millis("waited", 0, 8000)),
		Goal:    millis("goal", 0, 4000),
		Work:    millis("work", 0, 500),
		Hold:    millis("hold", 0, 12000),
		Tokens:  rapid.IntRange(1, 6000).Draw(t, "tokens"),
		Reserve: rapid.IntRange(0, 6000).Draw(t, "reserve"),
	}
	r.Deadline = r.Arrived.Add(millis("patience", 1, 40000))
	if rapid.Bool().Draw(t, "ages") {
		r.MaxWait = millis("maxWait", 1, 10000)
	}
	return r
}

func drawRequests(t *rapid.T) []Request {
	return rapid.SliceOfN(rapid.Custom(drawRequest), 1, 12).Draw(t, "requests")
}

// TestOrder checks that the order has no cycles and that a more urgent request goes first unless the other one has aged.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRequest(t), drawRequest(t), drawRequest(t)
		assert.Check(t, !a.Precedes(start, &a))
		assert.Check(t, !a.Precedes(start, &b) || !b.Precedes(start, &a))
		assert.Check(t, !a.Precedes(start, &b) || !b.Precedes(start, &c) || a.Precedes(start, &c))
		assert.Check(t, a.Rank >= b.Rank || b.place(start).rank < b.Rank || a.Precedes(start, &b))
	})
}

// TestOrderOfOneRank compares the order of requests that don't differ in rank with that by the ends of their goals.
func TestOrderOfOneRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRequest(t), drawRequest(t)
		for _, r := range []*Request{&a, &b} {
			r.Rank, r.Work, r.MaxWait = 0, 0, 0
		}
		want := a.Arrived.Add(a.Goal).Before(b.Arrived.Add(b.Goal))
		if a.place(start).late && b.place(start).late {
			want = a.Deadline.Before(b.Deadline)
		} else if a.place(start).late != b.place(start).late {
			want = b.place(start).late
		}
		assert.Equal(t, a.Precedes(start, &b), want)
	})
}

// mayTry returns the requests that may try, if those with tried[i] have just found no room.
func mayTry(requests []Request, tried []bool) []Request {
	var may []Request
	for i, r := range requests {
		ok := MayTry(start, &r, func(yield func(*Request, bool) bool) {
			for k, other := range requests {
				if k != i && !yield(&other, tried[k]) {
					return
				}
			}
		})
		if ok {
			may = append(may, r)
		}
	}
	return may
}

// TestMayTry checks that the first request always may try, that none passes a more urgent one that may fit, and that few contend.
func TestMayTry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := drawRequests(t)
		tried := rapid.SliceOfN(rapid.Bool(), len(requests), len(requests)).Draw(t, "tried")
		may := mayTry(requests, tried)
		assert.Check(t, len(may) > 0)
		for _, r := range may {
			ahead := 0
			for k, other := range requests {
				if !other.Precedes(start, &r) {
					continue
				}
				ahead++
				if tried[k] && other.givesWay(start, &r) {
					ahead--
					continue
				}
				assert.Check(t, tried[k] || other.place(start).rank >= r.place(start).rank, "a more urgent request is passed")
			}
			assert.Check(t, ahead < maxContenders)
		}
	})
}

// TestNoneStarves checks that a request that waits goes before all more urgent ones that arrive late in its wait and have missed their
// goals, and leaves no room free any more in the end, whatever its rank.
func TestNoneStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		r.MaxWait = 2*r.Goal + time.Millisecond
		r.Deadline = r.Arrived.Add(2 * r.MaxWait)
		end := r.Arrived.Add(r.MaxWait)
		urgent := Request{Arrived: end.Add(-time.Second), Goal: time.Millisecond, Deadline: end.Add(time.Hour)}
		assert.Check(t, r.Precedes(end, &urgent))
		assert.Equal(t, Reserve(end, &r, []Flow{{Rank: -1, PerSecond: 1000, Tokens: 1000, Hold: 1, Goal: 1}}, size), 0)
	})
}

// onTime returns how many requests of each rank are placed in time to meet their goal, if room for one is freed at each of the times and
// they take it in their order.
func onTime(requests []Request, freed []time.Time) [4]int {
	var n [4]int
	for i, r := range requests {
		if !freed[i].After(r.Arrived.Add(r.Goal - r.Work)) {
			n[r.Rank]++
		}
	}
	return n
}

// permute calls f with each order of the requests.
func permute(requests []Request, k int, f func([]Request)) {
	if k == len(requests) {
		f(requests)
		return
	}
	for i := k; i < len(requests); i++ {
		requests[k], requests[i] = requests[i], requests[k]
		permute(requests, k+1, f)
		requests[k], requests[i] = requests[i], requests[k]
	}
}

// TestOrderAgainstEveryOther compares the order with all others, where room for one request is freed at a time: if any order
// serves all requests of the most urgent rank on time, so does this one; and the same for all requests of one rank.
func TestOrderAgainstEveryOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, 6).Draw(t, "requests")
		freed := make([]time.Time, len(requests))
		at := start
		for i := range freed {
			at = at.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * time.Millisecond)
			freed[i] = at
		}
		for i := range requests {
			requests[i].Arrived, requests[i].MaxWait = start, 0
			requests[i].Goal += requests[i].Work + 1
			requests[i].Deadline = start.Add(time.Minute)
		}
		ordered := slices.Clone(requests)
		slices.SortStableFunc(ordered, func(a, b Request) int {
			switch {
			case a.Precedes(start, &b):
				return -1
			case b.Precedes(start, &a):
				return 1
			}
			return 0
		})
		got := onTime(ordered, freed)
		var all [4]int
		first := ordered[0].Rank
		for _, r := range requests {
			all[r.Rank]++
		}
		permute(slices.Clone(requests), 0, func(order []Request) {
			if onTime(order, freed)[first] == all[first] {
				assert.Check(t, got[first] == all[first], "another order serves all of rank %d on time", first)
			}
		})
	})
}
