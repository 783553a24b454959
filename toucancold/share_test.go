package toucancold

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSumOfSharesStaysWithinLimit checks that the shares of all entries add up to the limit at most, whether or not each knows
// of an entry that has just joined, and that they use the limit but for the parts of two entries.
func TestSumOfSharesStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 400).Draw(t, "limit")
		endpoint := rapid.Uint64().Draw(t, "endpoint")
		old := names(rapid.IntRange(1, 40).Draw(t, "entries"))
		all := append(slices.Clone(old), "joiner")
		sum := Share(limit, "joiner", endpoint, all)
		for _, name := range old {
			known := old
			if rapid.Bool().Draw(t, "knows the joiner") {
				known = all
			}
			sum += Share(limit, name, endpoint, known)
		}
		assert.Assert(t, sum <= limit, "sum %d of limit %d", sum, limit)
		calm := 0
		for _, name := range all {
			calm += Share(limit, name, endpoint, all)
		}
		assert.Assert(t, calm >= limit-limit/(len(all)+1)-1, "sum %d of limit %d", calm, limit)
	})
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("entry", i)
	}
	return list
}

// TestAnySecondStaysWithinLimit sends requests at random moments through entries, one of which joins in the middle and is known
// to the others only later, and checks each second.
func TestAnySecondStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 60).Draw(t, "limit")
		old := names(rapid.IntRange(1, 30).Draw(t, "entries"))
		all := append(slices.Clone(old), "joiner")
		windows := make([]Window, len(all))
		now := time.Unix(1000, 0)
		joined := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "joined")) * time.Millisecond)
		lag := time.Duration(rapid.IntRange(0, 1000).Draw(t, "lag")) * time.Millisecond
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(all)-1).Draw(t, "entry")
			known := all
			if i < len(old) && now.Before(joined.Add(lag)) {
				known = old
			}
			if i == len(old) && now.Before(joined) || !windows[i].Allows(now, Share(limit, all[i], 7, known)) {
				continue
			}
			windows[i].Reserve()
			if rapid.IntRange(0, 9).Draw(t, "given up") == 0 {
				windows[i].Release()
				continue
			}
			windows[i].Send(now)
			sent = append(sent, now)
		}
		for i := range sent {
			n := len(slices.DeleteFunc(slices.Clone(sent[i:]), func(at time.Time) bool { return at.Sub(sent[i]) > time.Second }))
			assert.Assert(t, n <= limit, "%d requests in one second, limit %d", n, limit)
		}
	})
}

// TestWindow checks when a request that was reserved beyond its share may be sent.
func TestWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	var w Window
	for range 2 {
		w.Reserve()
		w.Send(now)
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, !w.Allows(now, 2))
	w.Reserve()
	assert.Equal(t, w.Wait(now, 3), time.Duration(0))
	assert.Equal(t, w.Wait(now, 2), span-200*time.Millisecond)
	assert.Equal(t, w.Wait(now, 1), span-100*time.Millisecond)
	assert.Equal(t, w.Wait(now.Add(span), 1), time.Duration(0))
}

// TestOddFiguresGiveNoLimit checks which figures give a limit.
func TestOddFiguresGiveNoLimit(t *testing.T) {
	for _, c := range []struct {
		perSecond, overage, slack float64
		want                      int
		err                       error
	}{
		{29, 1.5, 5, 48, nil},
		{0, 1.5, 5, 0, nil},
		{29, 0, 0, 0, nil},
		{0.1, 1, 0, 1, nil},
		{-1, 1.5, 5, 0, ErrOdd},
		{math.NaN(), 1.5, 5, 0, ErrOdd},
		{29, math.Inf(1), 5, 0, ErrOdd},
		{1e300, 1.5, 5, 0, ErrOdd},
	} {
		got, err := Limit(c.perSecond, c.overage, c.slack)
		assert.Check(t, got == c.want && errors.Is(err, c.err), "%v: %d, %v", c, got, err)
	}
}

// BenchmarkShare shows what a share costs among the entries of a cell. Placers compute one again only when the entries change.
func BenchmarkShare(b *testing.B) {
	entries := names(31)
	for b.Loop() {
		Share(48, "entry3", 1234567, entries)
	}
}
