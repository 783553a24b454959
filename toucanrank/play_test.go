package toucanrank

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play plays a burst of long requests beside a steady flow of short ones at engines that do nothing but read prompts one after
// the other and hold memory. One entry places them, with or without the decisions of this package.
type play struct {
	// decides is true if long requests leave room free and requests wait in the order of this package.
	decides bool
	rand    *rand.Rand
	engines []engine
	waiting []*playRequest
	flows   []Flow
	size    Endpoints
	// onTime and offered count the short and the long requests.
	onTime, offered [2]int
}

type playRequest struct {
	Request
	kind int
	read int
}

// engine is the memory in use at an engine and the time at which it has read all prompts.
type engine struct {
	used int
	read time.Time
	ends []memoryEnd
}

type memoryEnd struct {
	at     time.Time
	tokens int
}

const (
	playEngines   = 12
	playMemory    = 27000
	playStep      = 10 * time.Millisecond
	tokensPerStep = 65
	longKind      = 1
)

func newPlay(seed uint64, decides bool) *play {
	return &play{
		decides: decides, rand: rand.New(rand.NewPCG(seed, 1)), engines: make([]engine, playEngines),
		size: Endpoints{Count: playEngines, Memory: playMemory},
		flows: []Flow{
			{Rank: 0, PerSecond: 10, Tokens: 2200, Hold: 500 * time.Millisecond, Goal: 1500 * time.Millisecond},
			{Rank: 1, PerSecond: 5, Tokens: 3800, Hold: 8 * time.Second, Goal: 4 * time.Second},
		},
	}
}

// arrive adds a request of a kind with a probability.
func (p *play) arrive(now time.Time, kind int, perSecond float64) {
	if p.rand.Float64() > perSecond*playStep.Seconds() {
		return
	}
	f := p.flows[kind]
	r := &playRequest{kind: kind, read: int(f.Tokens * (0.6 + 0.6*p.rand.Float64())), Request: Request{
		Rank: f.Rank, Arrived: now, Goal: f.Goal, Deadline: now.Add(6 * time.Second), MaxWait: 2 * f.Goal,
		Work: 500 * time.Millisecond, Tokens: int(f.Tokens), Hold: f.Hold,
	}}
	p.offered[kind]++
	p.waiting = append(p.waiting, r)
}

// place places the waiting requests that fit, in order, each at the engine with the most free memory.
func (p *play) place(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *playRequest) int {
		first := a.Arrived.Add(a.Goal).Before(b.Arrived.Add(b.Goal))
		if p.decides {
			first = a.Precedes(now, &b.Request)
		}
		if first {
			return -1
		}
		return 1
	})
	p.waiting = slices.DeleteFunc(p.waiting, func(r *playRequest) bool {
		if now.Sub(r.Arrived) > r.MaxWait {
			return true
		}
		reserve, maxUnread := 0, 0
		if p.decides {
			reserve = Reserve(now, &r.Request, p.flows, p.size)
			maxUnread = MaxUnread(now, &r.Request, p.flows, tokensPerStep/playStep.Seconds())
		}
		e := p.emptiest(now, r.read, maxUnread)
		if e == nil || e.used+r.Tokens > playMemory-reserve {
			return false
		}
		if e.read.Before(now) {
			e.read = now
		}
		e.read = e.read.Add(time.Duration(r.read/tokensPerStep) * playStep)
		e.used += r.Tokens
		e.ends = append(e.ends, memoryEnd{at: e.read.Add(r.Hold), tokens: r.Tokens})
		if e.read.Sub(r.Arrived) <= r.Goal {
			p.onTime[r.kind]++
		}
		return true
	})
}

// unread returns how many tokens of prompts the engine has not read yet.
func (e *engine) unread(now time.Time) int {
	return int(max(e.read.Sub(now), 0)/playStep) * tokensPerStep
}

// emptiest returns the engine with the most free memory of those at which no more than maxUnread tokens would be unread; nil if
// there is none.
func (p *play) emptiest(now time.Time, prompt, maxUnread int) *engine {
	var best *engine
	for i := range p.engines {
		e := &p.engines[i]
		unread := e.unread(now)
		if maxUnread > 0 && unread > 0 && unread+prompt > maxUnread {
			continue
		}
		if best == nil || e.used < best.used {
			best = e
		}
	}
	return best
}

func (p *play) free(now time.Time) {
	for i := range p.engines {
		e := &p.engines[i]
		e.ends = slices.DeleteFunc(e.ends, func(m memoryEnd) bool {
			if now.Before(m.at) {
				return false
			}
			e.used -= m.tokens
			return true
		})
	}
}

// run plays 30 s, with three times as many long requests from second 5 to 11.
func (p *play) run() {
	for at := time.Duration(0); at < 30*time.Second; at += playStep {
		now := start.Add(at)
		longs := p.flows[longKind].PerSecond
		if at > 5*time.Second && at < 11*time.Second {
			longs *= 3
		}
		p.free(now)
		p.arrive(now, 0, p.flows[0].PerSecond)
		p.arrive(now, longKind, longs)
		p.place(now)
	}
}

// TestBurstOfLongRequests plays the load that the reserve answers, before and after: the short requests lose at most half as many
// of their goals, and the long ones no more than one in fifty further.
func TestBurstOfLongRequests(t *testing.T) {
	var before, after play
	for seed := range uint64(20) {
		for _, decides := range []bool{false, true} {
			p := newPlay(seed, decides)
			p.run()
			sum := &before
			if decides {
				sum = &after
			}
			for kind := range p.offered {
				sum.offered[kind] += p.offered[kind]
				sum.onTime[kind] += p.onTime[kind]
			}
		}
	}
	t.Logf("on time: before %v, after %v, of %v", before.onTime, after.onTime, before.offered)
	assert.Equal(t, before.offered, after.offered)
	lost := func(p play, kind int) int { return p.offered[kind] - p.onTime[kind] }
	assert.Check(t, lost(after, 0)*2 <= lost(before, 0))
	assert.Check(t, lost(after, longKind)-lost(before, longKind) <= before.offered[longKind]/50)
}
