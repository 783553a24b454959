package toucanplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanpace"
)

// formerChoose is the choice written plainly: each endpoint is judged by itself, and the best so far is described in full.
func (p *Placer) formerChoose(q search) (*endpointState, Choice) {
	var best *endpointState
	bestID := ""
	var why Choice
	q = q.prepare()
	uneven := q.demand.Tokens() > 0 && p.isUneven(q.now, q.service)
	for _, s := range p.services[q.service] {
		leftOut, wait := p.leftOut(&q, s, false)
		u := p.total(q.now, s)
		if leftOut == LeftOutCold {
			why.Cold++
		}
		if leftOut != LeftOutNone || !s.fits(&u, &q.demand, &q.limits) {
			continue
		}
		costs := Costs{Load: s.cost(q.now, &u), Distance: q.extra(s), Slot: slotWaitCost * wait.Seconds()}
		if uneven {
			costs.Pace = q.paceCost(s, &u)
		}
		if !why.add(s.ID, bestID, costs.Total()) {
			continue
		}
		best, bestID = s, s.ID
		why.Unread = u.Unread
		if uneven {
			why.Pace = p.paceChoice(&q, s, &u)
		}
	}
	return best, why
}

// TestChoiceIsTheFormerOne compares the choice with formerChoose at random loads, paces and demands, also when peers' reports expire.
func TestChoiceIsTheFormerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pauses := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, soundPause, brokenPause}), 2, 12).Draw(t, "pauses")
		p, list := unevenPlacer(pauses...)
		now := time.Now()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond)
			e := list[rapid.IntRange(0, len(list)-1).Draw(t, "endpoint")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				held, unread := rapid.IntRange(0, 25000).Draw(t, "held"), rapid.IntRange(0, 9000).Draw(t, "unread")
				u := Use{Requests: rapid.IntRange(1, 24).Draw(t, "requests"), Tokens: held + unread, Held: held, Unread: unread, Exposed: rapid.IntRange(0, 9).Draw(t, "exposed")}
				p.Observe(now, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "peer"), map[uint64]Use{e.Key(): u})
			case 1:
				p.paces.(fixedPaces)[e.Key()] = toucanpace.Forecast{Pause: brokenPause, ReadTime: brokenPause, Slow: rapid.Bool().Draw(t, "slow")}
			case 2:
				p.Suspect(now, e.ID)
			}
			d := rapid.SampledFrom([]Demand{longDemand, shortDemand, {Prompt: 30000}}).Draw(t, "demand")
			d.Goal = time.Duration(rapid.IntRange(0, 1800).Draw(t, "goal")) * time.Millisecond
			d.Movable = rapid.Bool().Draw(t, "movable")
			p.learnGap(now, "s", d.MaxGap)
			q := p.newSearch(now, "s", d, nil, nil)
			if rapid.Bool().Draw(t, "filtered") {
				q.allowed = func(other Endpoint) bool { return other.ID != e.ID }
			}
			q.copied = rapid.Bool().Draw(t, "copied")
			wantBest, want := p.formerChoose(q)
			best, why, err := p.choose(q)
			assert.Equal(t, err == nil, wantBest != nil)
			assert.Equal(t, best, wantBest)
			assert.Equal(t, why, want)
			if best != nil {
				p.reserve(best, d)
			}
		}
	})
}
