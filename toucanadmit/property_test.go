package toucanadmit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func sendReport(p Policy, now time.Time, blocks int) {
	p.Report(now, EngineReport{
		At: now, TotalBlocks: blocks, BlockTokens: simulatedBlockTokens, StepTime: 30 * time.Millisecond, Running: 10,
	})
}

// TestQuantileOneNeverAdmitsOverMemory checks that at quantile 1 the running requests fit into the memory even with
// their longest outputs, unless a single request runs.
func TestQuantileOneNeverAdmitsOverMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const blocks = 256
		now := time.Unix(1000, 0)
		p := NewToucan(Config{Quantile: 1, FirstToken: time.Hour})
		sendReport(p, now, blocks)
		held := make(map[string]int)
		running := make(map[string]bool)
		for i := range rapid.IntRange(1, 100).Draw(t, "requests") {
			r := Request{
				ID:           fmt.Sprint(i),
				Workspace:    fmt.Sprint("w", i%3),
				Class:        rapid.SampledFrom([]Class{ClassBrief, ClassPlan}).Draw(t, "class"),
				PromptTokens: rapid.IntRange(1, 500).Draw(t, "prompt"),
				MaxTokens:    rapid.IntRange(1, 2000).Draw(t, "max"),
				Arrived:      now,
			}
			if p.Offer(now, r) == nil {
				held[r.ID] = blocksFor(r.PromptTokens + r.MaxTokens)
			}
			for _, s := range p.Next(now) {
				running[s.ID] = true
				p.Progress(now, s.ID, 1)
			}
			total := 0
			for id := range running {
				total += held[id]
			}
			if total > blocks && len(running) > 1 {
				t.Fatalf("%d requests may hold %d of %d blocks", len(running), total, blocks)
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				for id := range running {
					p.Done(now, id, 1, true)
					delete(running, id)
					break
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "report") == 0 {
				sendReport(p, now, blocks)
			}
		}
	})
}

// TestNoPlanStarves checks that only a bounded number of briefs start before a queued plan, however many arrive.
func TestNoPlanStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := NewToucan(Config{FirstToken: time.Hour})
		sendReport(p, now, rapid.IntRange(64, 1024).Draw(t, "blocks"))
		brief := func(i int) Request {
			return Request{
				ID: fmt.Sprint("b", i), Workspace: fmt.Sprint("w", i%4), Class: ClassBrief,
				PromptTokens: 100, MaxTokens: 50, Arrived: now,
			}
		}
		for i := range 20 {
			assert.NilError(t, p.Offer(now, brief(i)))
		}
		plan := Request{
			ID: "plan", Workspace: "plans", Class: ClassPlan, Arrived: now,
			PromptTokens: rapid.IntRange(1, 900).Draw(t, "prompt"), MaxTokens: 100,
		}
		assert.NilError(t, p.Offer(now, plan))
		var running []string
		started := 0
		for i := 20; ; i++ {
			now = now.Add(30 * time.Millisecond)
			for _, s := range p.Next(now) {
				if s.ID == plan.ID {
					return
				}
				started++
				running = append(running, s.ID)
				p.Progress(now, s.ID, 1)
			}
			if started > maxBypassingBriefs+briefsPerPlan {
				t.Fatalf("%d briefs started ahead of a plan", started)
			}
			if len(running) > 0 && rapid.IntRange(0, 2).Draw(t, "finish") > 0 {
				p.Done(now, running[0], 50, true)
				running = running[1:]
			}
			assert.NilError(t, p.Offer(now, brief(i)))
		}
	})
}

// TestPolicyConservesRequests checks that every accepted request either starts, expires or is still queued. None is
// returned twice.
func TestPolicyConservesRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := NewToucan(Config{})
		queued := make(map[string]bool)
		var running []string
		for i := range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := Request{
				ID: fmt.Sprint(i), Workspace: fmt.Sprint(i % 5), PromptTokens: 200, Arrived: now,
				Class: rapid.SampledFrom([]Class{ClassBrief, ClassPlan}).Draw(t, "class"),
			}
			err := p.Offer(now, r)
			if err == nil {
				queued[r.ID] = true
			} else {
				assert.ErrorIs(t, err, ErrOverloaded)
			}
			ids := p.Expired(now)
			for _, s := range p.Next(now) {
				running = append(running, s.ID)
				ids = append(ids, s.ID)
			}
			for _, id := range ids {
				if !queued[id] {
					t.Fatalf("%s was returned twice", id)
				}
				delete(queued, id)
			}
			if l := p.Load(now); l.Queued != len(queued) || l.Running != len(running) {
				t.Fatalf("load reports %d queued and %d running, want %d and %d",
					l.Queued, l.Running, len(queued), len(running))
			}
			if len(queued) > 0 && p.Wake(now).IsZero() {
				t.Fatalf("requests are queued but Wake returns no time")
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				p.Done(now, running[0], rapid.IntRange(0, 500).Draw(t, "output"), rapid.Bool().Draw(t, "complete"))
				running = running[1:]
			}
			if rapid.IntRange(0, 9).Draw(t, "report") == 0 {
				sendReport(p, now, 512)
			}
		}
	})
}

func TestMarginWidensAndShrinks(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewToucan(Config{}).(*toucan)
	sendReport(p, now, 1000)
	assert.Equal(t, p.margin.share, 0.0)
	e := EngineReport{At: now.Add(time.Second), TotalBlocks: 1000, BlockTokens: 16, Preemptions: 3}
	p.Report(e.At, e)
	widened := p.margin.share
	assert.Assert(t, widened > 0)
	e.At = e.At.Add(marginHalfLife)
	p.Report(e.At, e)
	assert.Assert(t, p.margin.share < 0.51*widened)
	var m margin
	m.check.steps = checkpointSteps
	m.checkAgainstUse(500, 1000)
	assert.Equal(t, m.share, excessGain*0.5)
}

func TestOlderReportIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewToucan(Config{})
	sendReport(p, now, 1000)
	sendReport(p, now.Add(-time.Second), 500)
	assert.Equal(t, p.Load(now).TotalBlocks, 1000)
}

func BenchmarkAdmission256Running(b *testing.B) {
	now := time.Unix(1000, 0)
	p := NewToucan(Config{FirstToken: time.Hour, InterToken: time.Hour})
	sendReport(p, now, 1<<20)
	request := func(i int) Request {
		return Request{ID: fmt.Sprint(i), Workspace: fmt.Sprint("w", i%50), Class: ClassPlan, PromptTokens: 200, Arrived: now}
	}
	admit := func(i int) {
		if err := p.Offer(now, request(i)); err != nil {
			b.Fatal(err)
		}
		for _, s := range p.Next(now) {
			p.Progress(now, s.ID, 1+i%20)
		}
	}
	for i := range 256 {
		admit(i)
	}
	b.ReportAllocs()
	for i := 256; b.Loop(); i++ {
		p.Done(now, fmt.Sprint(i-256), 500, true)
		admit(i)
		p.Expired(now)
		p.Wake(now)
	}
	if n := p.Load(now).Running; n != 256 {
		b.Fatalf("%d requests run", n)
	}
}
