package toucanroom

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanrank"
)

type services int

func (s services) Available(string) int { return int(s) }

var start = time.Unix(1000, 0)

func newRequest(route string, goal time.Duration) *Request {
	return &Request{
		Class: toucanrank.Class{Service: "s", Route: route}, Mixed: true, Arrived: start, Deadline: start.Add(39 * time.Second),
		Goal: goal, Tokens: 4000, Memory: 20000,
	}
}

// TestWaitingRequestsTryInOrder checks that a request may not try before one that waits and has less time, until that has
// tried or left.
func TestWaitingRequestsTryInOrder(t *testing.T) {
	d := New(toucanrank.NewTable(), services(2))
	urgent, other := newRequest("short", time.Second), newRequest("long", 4*time.Second)
	other.Rank = 1
	until := start.Add(2 * time.Second)
	d.Wait(start, urgent, until)
	_, may := d.Try(start, other, until)
	assert.Check(t, !may)
	_, may = d.Try(start, urgent, until)
	assert.Check(t, may)
	d.Tried(start, urgent)
	_, may = d.Try(start, other, until)
	assert.Check(t, may, "the urgent request has just found no room")
	_, may = d.Try(start.Add(triedFor), other, until)
	assert.Check(t, !may)
	d.Leave(urgent)
	_, may = d.Try(start.Add(triedFor), other, until)
	assert.Check(t, may)
}

// TestLimits checks that a long request leaves room for brief ones, and that nothing is limited where requests don't differ.
func TestLimits(t *testing.T) {
	d := New(toucanrank.NewTable(), services(10))
	short, long := newRequest("short", time.Second), newRequest("long", 4*time.Second)
	for range 40 {
		d.Arrived(short)
	}
	d.Arrived(long)
	d.Ended(short, toucanrank.Times{Work: 300 * time.Millisecond, Hold: 500 * time.Millisecond})
	d.Ended(long, toucanrank.Times{Work: 500 * time.Millisecond, Hold: 8 * time.Second})
	until := start.Add(8 * time.Second)
	now := start.Add(50 * time.Millisecond) // The sums of flows are some ms old.
	assert.Check(t, d.Limits(now, long, until).Reserve >= short.Tokens)
	assert.Equal(t, d.Limits(now, short, until).Reserve, 0)
	long.Mixed = false
	assert.Equal(t, d.Limits(now, long, until), Limits{})
}

// TestPatience checks the bounds of a wait.
func TestPatience(t *testing.T) {
	r := newRequest("r", 4*time.Second)
	assert.Equal(t, r.Patience(start), 8*time.Second)
	r.Goal = 0
	assert.Equal(t, r.Patience(start), 11700*time.Millisecond)
}
