package toucanlink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAnswerIsAwaitedWhileThePeerLives checks when the answer to a heartbeat is awaited on.
func TestAnswerIsAwaitedWhileThePeerLives(t *testing.T) {
	sent := time.Unix(1000, 0)
	due := newAnswerWait(sent).until
	for _, tc := range []struct {
		name          string
		now, received time.Time
		want          time.Time
	}{
		{"nothing arrived", due, sent.Add(-time.Millisecond), time.Time{}},
		{"other bytes arrived", due, due.Add(-100 * time.Millisecond), due.Add(HeartbeatTimeout - 100*time.Millisecond)},
		{"the process stood still", due.Add(standstill), sent.Add(-time.Second), due.Add(standstill + HeartbeatTimeout)},
		{"the end was noticed a little late", due.Add(standstill - time.Millisecond), sent.Add(-time.Second), time.Time{}},
		{"bytes arrive and no answer", sent.Add(maxAnswerWait), sent.Add(maxAnswerWait), time.Time{}},
	} {
		wait := newAnswerWait(sent)
		if tc.name == "bytes arrive and no answer" {
			wait.until = sent.Add(maxAnswerWait)
		}
		next, ok := wait.prolonged(tc.now, tc.received)
		assert.Equal(t, ok, !tc.want.IsZero(), tc.name)
		if ok {
			assert.Equal(t, next.until, tc.want, tc.name)
		}
	}
}

// TestAnswerWaitIsBounded checks that in a process which notices the ends of its waits in time, an answer is awaited for at most maxAnswerWait,
// and for no longer than HeartbeatTimeout after the last byte from the peer.
func TestAnswerWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := time.Unix(1000, 0)
		received := sent.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "before")) * time.Millisecond)
		wait, ok := newAnswerWait(sent), true
		for ok {
			end := wait.until
			now := end.Add(time.Duration(rapid.IntRange(0, int(standstill.Milliseconds())-1).Draw(t, "late")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrives") {
				received = sent.Add(time.Duration(rapid.Int64Range(0, int64(now.Sub(sent))).Draw(t, "at")))
			}
			wait, ok = wait.prolonged(now, received)
			assert.Assert(t, !wait.until.After(sent.Add(maxAnswerWait)))
			assert.Assert(t, !ok || !wait.until.After(received.Add(HeartbeatTimeout)))
		}
	})
}
