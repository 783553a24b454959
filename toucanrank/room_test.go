package toucanrank

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	short = Flow{Rank: 0, PerSecond: 40, Tokens: 2200, Hold: 600 * time.Millisecond, Goal: 1500 * time.Millisecond}
	size  = Endpoints{Count: 50, Memory: 27000}
)

// long returns a long request of lower rank that has waited for some time.
func long(waited time.Duration) *Request {
	return &Request{Rank: 2, Arrived: start.Add(-waited), Goal: 4 * time.Second, Deadline: start.Add(39*time.Second - waited),
		MaxWait: 8 * time.Second, Work: time.Second, Hold: 8 * time.Second, Tokens: 3800}
}

func TestReserve(t *testing.T) {
	flows := []Flow{short}
	// On average, 0.48 short requests run at an endpoint, and 95 of 100 times no more than two.
	assert.Equal(t, Reserve(start, long(0), flows, size), 4400)
	assert.Equal(t, Reserve(start, long(1500*time.Millisecond), flows, size), 4400)
	assert.Equal(t, Reserve(start, long(2250*time.Millisecond), flows, size), 2200)
	assert.Equal(t, Reserve(start, long(3*time.Second), flows, size), 0)
	assert.Equal(t, Reserve(start, long(5*time.Second), flows, size), 4400, "one that is late leaves all free")
	assert.Equal(t, Reserve(start, long(7500*time.Millisecond), flows, size), 2200, "one that is rejected soon leaves less")
	brief := long(0)
	brief.Hold = time.Second
	assert.Equal(t, Reserve(start, brief, flows, size), 0, "room that comes back in time is not kept")
	hurried := long(0)
	hurried.Goal = 2 * time.Second
	assert.Equal(t, Reserve(start, hurried, flows, size), 0, "it can't wait much longer than the short ones")
	urgent := long(1500 * time.Millisecond)
	urgent.Rank = -1
	assert.Equal(t, Reserve(start, urgent, flows, size), 2200, "less is left free for what is less urgent")
}

// TestMaxUnread checks that prompts are placed where they can be read in time.
func TestMaxUnread(t *testing.T) {
	const readRate = 6000
	flows := []Flow{short}
	// A short request arrives a moment later and has 1.5 s: the long prompt may take half of that.
	assert.Equal(t, MaxUnread(start, long(0), flows, readRate), 4500)
	// The long request has 1 s left to its goal.
	assert.Equal(t, MaxUnread(start, long(3*time.Second), flows, readRate), 4800)
	brief := &Request{Arrived: start, Goal: short.Goal, Hold: short.Hold}
	assert.Equal(t, MaxUnread(start, brief, []Flow{{Goal: 4 * time.Second, Hold: 8 * time.Second}}, readRate), 7200)
	assert.Equal(t, MaxUnread(start, brief, flows, readRate), 0, "there are no long ones")
	assert.Equal(t, MaxUnread(start, long(0), flows, 0), 0, "the rate is not known")
	none := long(0)
	none.Goal = 0
	assert.Equal(t, MaxUnread(start, none, flows, readRate), 0)
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		r.Goal, r.Hold = r.Goal+3*time.Second, 8*time.Second
		assert.Check(t, MaxUnread(start, &r, flows, rapid.Float64Range(1, 1e6).Draw(t, "rate")) > 0)
	})
}

// TestReserveOfOneKind checks that nothing changes for services whose requests don't differ, and that a reserve never takes more
// than its share.
func TestReserveOfOneKind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		f := Flow{
			Rank: r.Rank, PerSecond: rapid.Float64Range(0, 1e4).Draw(t, "perSecond"), Tokens: rapid.Float64Range(0, 1e5).Draw(t, "tokens"),
			Hold: r.Hold, Goal: r.Goal,
		}
		assert.Equal(t, Reserve(start, &r, []Flow{f}, size), 0)
		f.Hold, f.Goal = r.Hold/8, r.Goal/2
		got := Reserve(start, &r, []Flow{f}, size)
		assert.Check(t, got >= 0 && got <= int(maxReserveShare*float64(size.Memory)))
	})
}

// TestForecast checks the forecast against rooms that are freed one after the other at the rate that the flows give.
func TestForecast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead := rapid.IntRange(0, 500).Draw(t, "ahead")
		flow := Flow{Rank: 2, PerSecond: 30, Tokens: 3800, Hold: 8 * time.Second, Waiting: ahead, WaitingTokens: ahead * 3800, Oldest: time.Hour}
		perSecond := float64(size.Count*size.Memory) / 3800 / flow.Hold.Seconds()
		served := time.Duration(float64(ahead) / perSecond * float64(time.Second))
		got := Forecast(start, long(0), []Flow{flow}, size)
		assert.Check(t, got <= served+time.Microsecond, "forecast %v, served after %v", got, served)
	})
	assert.Equal(t, Forecast(start, long(0), nil, size), time.Duration(0))
}

// TestReturnAfter checks that callers come back after the forecast, spread, and within a third of their time.
func TestReturnAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(0, 40000).Draw(t, "left")) * time.Millisecond
		forecast := time.Duration(rapid.IntRange(0, 20000).Draw(t, "forecast")) * time.Millisecond
		got := ReturnAfter(forecast, 300*time.Millisecond, left)
		assert.Check(t, got <= left/3+time.Microsecond)
		assert.Check(t, got >= min(forecast, left/3-time.Microsecond))
	})
	seen := make(map[time.Duration]bool)
	for range 200 {
		seen[ReturnAfter(time.Second, 300*time.Millisecond, time.Minute).Round(100*time.Millisecond)] = true
	}
	assert.Check(t, len(seen) >= 8, "200 callers come back at %d times", len(seen))
}

func TestTurn(t *testing.T) {
	waiting := Flow{Rank: 0, Waiting: 1000}
	for range 100 {
		got := Turn(start, long(0), []Flow{waiting})
		assert.Check(t, got >= maxTurn/2 && got <= maxTurn+turnStep)
		assert.Check(t, Turn(start, long(0), nil) < turnStep)
	}
}

// BenchmarkDecisions makes the decisions for one request among 200 waiting ones and the flows of 27 entries.
func BenchmarkDecisions(b *testing.B) {
	table := NewTable()
	var rows []Row
	for rank := range 4 {
		rows = append(rows, Row{Service: Key("s"), Flow: Flow{Rank: rank, PerSecond: 10, Tokens: 2000, Hold: time.Second, Goal: time.Second, Waiting: 1}})
	}
	for i := range 27 {
		table.Observe(start, fmt.Sprint("entry", i), rows)
	}
	r := long(0)
	waiters := make([]*Request, 200)
	for i := range waiters {
		waiters[i] = long(time.Duration(i) * time.Millisecond)
		waiters[i].Rank = 3
	}
	b.ReportAllocs()
	for b.Loop() {
		MayTry(start, r, func(yield func(*Request, bool) bool) {
			for _, w := range waiters {
				if !yield(w, true) {
					return
				}
			}
		})
		flows := table.Flows(start, "s")
		Reserve(start, r, flows, size)
		Turn(start, r, flows)
		Forecast(start, r, flows, size)
	}
}
