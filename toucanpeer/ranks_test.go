package toucanpeer

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"toucanport/toucanplace"
	"toucanport/toucanrank"
)

var rankClass = toucanrank.Class{Service: "s", Route: "r", Rank: 1}

func newRankedState() (*SharedState, *toucanrank.Table) {
	table := toucanrank.NewTable()
	return NewSharedState(toucanplace.NewPlacer("d1"), WithRanks(table)), table
}

// TestRanksReachPeers checks that a peer learns of an entry's requests, keeps what it knows while reports are lost, and
// forgets it when the entry is silent.
func TestRanksReachPeers(t *testing.T) {
	a, sent := newRankedState()
	b, received := newRankedState()
	now := time.Now()
	sent.Arrived(now, rankClass, &toucanrank.Request{Tokens: 2000, Goal: time.Second})
	sent.Ended(rankClass, toucanrank.Times{Hold: 500 * time.Millisecond})
	sent.SetWaiting(rankClass, 3, 6000, now)
	r := a.Report()
	r.Sender, r.Boot, r.Serial = "a", 1, 1
	assert.Assert(t, b.Apply(now, r))
	f := received.Flows(now, "s")[0]
	assert.Equal(t, f.Rank, 1)
	assert.Equal(t, f.Tokens, 2000.0)
	assert.Equal(t, f.Hold, 500*time.Millisecond)
	assert.Equal(t, f.Goal, time.Second)
	assert.Equal(t, f.Waiting, 3)
	assert.Equal(t, f.WaitingTokens, 6000)
	assert.Assert(t, b.Apply(now.Add(time.Second), &Report{Sender: "a", Boot: 1, Serial: 2}))
	assert.Equal(t, received.Flows(now.Add(time.Second), "s")[0].Waiting, 3, "a report without rows changes nothing")
	assert.Equal(t, len(received.Flows(now.Add(3*time.Second), "s")), 0, "the entry is silent")
}

// TestOddRanks checks that figures out of range from a peer neither overflow nor become negative.
func TestOddRanks(t *testing.T) {
	b, received := newRankedState()
	row := &RankRow{Service: toucanrank.Key("s"), Rank: math.MaxUint32, MilliPerSecond: math.MaxUint32, Tokens: math.MaxUint32,
		HoldMillis: math.MaxUint32, GoalMillis: math.MaxUint32, Waiting: math.MaxUint32, WaitingTokens: math.MaxUint32, OldestMillis: math.MaxUint32}
	now := time.Now()
	b.Apply(now, &Report{Sender: "a", Boot: 1, Serial: 1, Ranks: []*RankRow{row, row}})
	f := received.Flows(now, "s")[0]
	assert.Assert(t, f.Rank > 0 && f.PerSecond > 0 && f.Tokens > 0 && f.Hold > 0 && f.Goal > 0 && f.Waiting > 0 && f.WaitingTokens > 0 && f.Oldest > 0)
	r := &toucanrank.Request{Arrived: now, Goal: math.MaxInt64, Hold: math.MaxInt64, Deadline: now.Add(time.Minute), Tokens: 1}
	reserve := toucanrank.Reserve(now, r, []toucanrank.Flow{f}, toucanrank.Endpoints{Count: 1, Memory: 1000})
	assert.Assert(t, reserve >= 0 && reserve <= 400)
	assert.Assert(t, toucanrank.Turn(now, r, []toucanrank.Flow{f}) >= 0)
	r.Rank, r.Hold = math.MaxInt, time.Hour
	forecast := toucanrank.Forecast(now, r, []toucanrank.Flow{f}, toucanrank.Endpoints{Count: 1, Memory: 1})
	assert.Equal(t, forecast, time.Hour, "a forecast is bounded")
}

// TestRowSize checks the size of the rows that bounds what they add to reports.
func TestRowSize(t *testing.T) {
	row := &RankRow{Service: math.MaxUint64, Route: math.MaxUint64, Rank: 9, MilliPerSecond: 100000, Tokens: 9000, HoldMillis: 20000,
		GoalMillis: 4000, Waiting: 100, WaitingTokens: 400000, OldestMillis: 10000}
	size := proto.Size(&Report{Ranks: []*RankRow{row}})
	assert.Assert(t, size <= 48, "%d bytes", size)
}
