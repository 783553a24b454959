package toucanrank

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var shortClass = Class{Service: "s", Route: "short", Rank: 1}

// arrivals lets requests of a class arrive for some seconds before start.
func arrivals(table *Table, c Class, perSecond int) {
	for at := start.Add(-10 * time.Second); at.Before(start); at = at.Add(time.Second / time.Duration(perSecond)) {
		table.Arrived(at, c, &Request{Tokens: 2000, Goal: time.Second})
	}
	table.Ended(c, Times{Work: 300 * time.Millisecond, Hold: 500 * time.Millisecond})
}

func TestTableLearns(t *testing.T) {
	table := NewTable()
	arrivals(table, shortClass, 20)
	flows := table.Flows(start, "s")
	assert.Equal(t, len(flows), 1)
	assert.Check(t, flows[0].PerSecond > 18 && flows[0].PerSecond < 22, "%v a second", flows[0].PerSecond)
	assert.Equal(t, flows[0].Tokens, 2000.0)
	assert.Equal(t, flows[0].Hold, 500*time.Millisecond)
	assert.Equal(t, flows[0].Rank, 1)
	assert.Equal(t, len(table.Flows(start, "other")), 0)
	later := table.Flows(start.Add(10*time.Second), "s")
	assert.Check(t, later[0].PerSecond < 1, "arrivals that have ceased are forgotten")
}

// TestTableAddsPeers checks that rows of peers add to the flows until they are too old, and that a lost report does no harm.
func TestTableAddsPeers(t *testing.T) {
	sender, receiver := NewTable(), NewTable()
	arrivals(sender, shortClass, 20)
	arrivals(receiver, shortClass, 10)
	sender.SetWaiting(shortClass, 2, 4000, start.Add(-time.Second))
	rows := sender.Rows(start)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, len(sender.Rows(start.Add(rowInterval/2))), 0, "the last rows are still good")
	receiver.Observe(start, "peer", rows)
	sum := receiver.Flows(start, "s")[0]
	assert.Check(t, sum.PerSecond > 28 && sum.PerSecond < 32, "%v a second", sum.PerSecond)
	assert.Equal(t, sum.Waiting, 2)
	assert.Equal(t, sum.WaitingTokens, 4000)
	assert.Equal(t, sum.Oldest, time.Second)
	receiver.Observe(start.Add(time.Second), "other", nil)
	assert.Equal(t, receiver.Flows(start.Add(time.Second), "s")[0].Waiting, 2, "one lost report changes nothing")
	assert.Equal(t, receiver.Flows(start.Add(rowsTTL), "s")[0].Waiting, 0, "the peer is silent")
	sender.SetWaiting(shortClass, 0, 0, time.Time{})
	receiver.Observe(start.Add(rowInterval), "peer", sender.Rows(start.Add(rowInterval)))
	assert.Equal(t, receiver.Flows(start.Add(rowInterval), "s")[0].Waiting, 0, "none waits any more")
}

// TestTimesFromPeers checks that an entry that has just started uses the times of the others.
func TestTimesFromPeers(t *testing.T) {
	sender, receiver := NewTable(), NewTable()
	arrivals(sender, shortClass, 20)
	receiver.Observe(start, "peer", sender.Rows(start))
	assert.Equal(t, receiver.Times(start, "s", "short").Hold, 500*time.Millisecond)
	receiver.Ended(shortClass, Times{Hold: time.Second})
	assert.Equal(t, receiver.Times(start, "s", "short").Hold, time.Second)
}

// TestTableIsBounded checks that rows and flows stay bounded whatever routes there are.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 5 * maxFlows {
		c := Class{Service: "s", Route: string(rune(i)), Rank: i}
		table.Arrived(start, c, &Request{Tokens: 1})
		table.Ended(c, Times{Hold: time.Second})
	}
	assert.Check(t, len(table.own) <= maxFlows && len(table.times) <= maxFlows)
	assert.Equal(t, len(table.Rows(start)), maxRows)
}

// TestTimesVary checks that the deviation of the time to the first event is learned.
func TestTimesVary(t *testing.T) {
	table := NewTable()
	for i := range 400 {
		table.Ended(shortClass, Times{Work: time.Second + time.Duration(i%2)*time.Second})
	}
	times := table.Times(start, "s", "short")
	assert.Check(t, (times.Work-1500*time.Millisecond).Abs() < 100*time.Millisecond, "mean %v", times.Work)
	assert.Check(t, (times.Deviation-500*time.Millisecond).Abs() < 100*time.Millisecond, "deviation %v", times.Deviation)
}
