package toucanplain

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDecide checks that an endpoint with a free slot takes a request, that no request is taken that is expected to end after its
// time, and that one with less time left is never taken where one with more is not.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		requests := rapid.IntRange(0, 120).Draw(t, "requests")
		service := ServiceTime{}.With(time.Duration(rapid.IntRange(1, 500).Draw(t, "service"))*time.Millisecond, 0, slots)
		left := time.Duration(rapid.IntRange(1, 3000).Draw(t, "left")) * time.Millisecond
		got := service.Decide(requests, slots, left)
		if requests < slots {
			assert.Equal(t, got, Takes)
			return
		}
		if got == Takes {
			assert.Assert(t, service.End(requests, slots) <= left)
			assert.Equal(t, service.Decide(requests, slots, 2*left), Takes)
		}
		if got == Late {
			assert.Equal(t, service.Decide(requests+1, slots, left), Late)
		}
	})
}

// TestServiceTime checks that requests that waited in the endpoint's queue don't change what is known of its service time.
func TestServiceTime(t *testing.T) {
	service := ServiceTime{}.With(15*time.Millisecond, 2, 6)
	for range 100 {
		service = service.With(45*time.Millisecond, 17, 6)
	}
	assert.Equal(t, service.End(0, 6), 15*time.Millisecond)
	assert.Equal(t, service.With(0, 0, 6), service)
}

// plainPlay plays requests with 600 ms to live and a goal of 100 ms at three endpoints with 6 slots, of which two are gone for 2 s beside a burst.
// A request that is not taken is looked at again every 100 ms for up to 180 ms, as an entry does, or is rejected at once if it is late.
type plainPlay struct {
	decide           func(t ServiceTime, requests int, left time.Duration) Verdict
	onTime, late     int
	rejected, missed int
	// held is how long the rejected waited in all.
	held time.Duration
}

const (
	playSlots   = 6
	playService = 15 * time.Millisecond
	playStep    = time.Millisecond
	playLeft    = 600 * time.Millisecond
	playGoal    = 100 * time.Millisecond
	playHold    = 180 * time.Millisecond
	playCheck   = 100 * time.Millisecond
)

type waiting struct{ arrived, next time.Duration }

func (p *plainPlay) run(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	service := ServiceTime{}.With(playService, 0, playSlots)
	var ends [3][]time.Duration // when each request at an endpoint ends
	var held []waiting
	for now := time.Duration(0); now < 6*time.Second; now += playStep {
		away := now > 2*time.Second && now < 4*time.Second
		perSecond := 132.0
		if away {
			perSecond = 500
		}
		if r.Float64() < perSecond*playStep.Seconds() {
			held = append(held, waiting{arrived: now, next: now})
		}
		for i := range ends {
			ends[i] = slices.DeleteFunc(ends[i], func(end time.Duration) bool { return end <= now })
		}
		held = slices.DeleteFunc(held, func(w waiting) bool {
			if w.next > now {
				return false
			}
			best := 0
			for i := range ends {
				if len(ends[i]) < len(ends[best]) && !away {
					best = i
				}
			}
			left := w.arrived + playLeft - now
			switch p.decide(service, len(ends[best]), left) {
			case Takes:
				begin := now
				if n := len(ends[best]); n >= playSlots {
					begin = ends[best][n-playSlots]
				}
				end := begin + time.Duration((0.5+r.Float64())*float64(playService))
				ends[best] = append(ends[best], end)
				slices.Sort(ends[best])
				p.count(end - w.arrived)
				return true
			case Late:
				p.reject(now - w.arrived)
				return true
			}
			if now-w.arrived >= playHold {
				p.reject(now - w.arrived)
				return true
			}
			return false
		})
		for i := range held {
			if held[i].next <= now {
				held[i].next = now + playCheck
			}
		}
	}
}

func (p *plainPlay) count(took time.Duration) {
	switch {
	case took <= playGoal:
		p.onTime++
	case took <= playLeft:
		p.late++
	default:
		p.missed++
	}
}

func (p *plainPlay) reject(held time.Duration) {
	p.rejected++
	p.held += held
}

// TestBurstOfPlainRequests plays the load that the bound answers, with a bound of twice the slots and with Decide: more requests are on time,
// no more miss their deadline, and fewer are rejected.
func TestBurstOfPlainRequests(t *testing.T) {
	before := plainPlay{decide: func(_ ServiceTime, requests int, _ time.Duration) Verdict {
		if requests < 2*playSlots {
			return Takes
		}
		return Full
	}}
	after := plainPlay{decide: func(s ServiceTime, requests int, left time.Duration) Verdict {
		return s.Decide(requests, playSlots, left)
	}}
	for seed := range uint64(10) {
		before.run(seed)
		after.run(seed)
	}
	t.Logf("before %+v", before)
	t.Logf("after %+v", after)
	assert.Check(t, after.onTime > before.onTime)
	assert.Check(t, after.late < before.late)
	assert.Check(t, after.missed <= before.missed)
	assert.Check(t, after.rejected < before.rejected)
}

// TestOneSlowAnswerIsNoRule guards against bursts that are rejected since the first answer of an endpoint, which had just started, was slow.
func TestOneSlowAnswerIsNoRule(t *testing.T) {
	service := ServiceTime{}.With(2*time.Second, 0, playSlots)
	for range 10 {
		service = service.With(playService, 0, playSlots)
	}
	assert.Equal(t, service.Decide(2*playSlots-1, playSlots, playLeft), Takes, "%v", service)
}
