package toucanpace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBoundAges compares the bound with the list of all streams: one of the last boundLife counts, one before twice that time does
// not, and one between may.
func TestBoundAges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type stream struct {
			at    time.Time
			bound time.Duration
		}
		var b Bound
		var streams []stream
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "streams") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			bound := time.Duration(rapid.IntRange(0, 300).Draw(t, "bound")) * time.Millisecond
			b.Observe(now, bound)
			streams = append(streams, stream{now, bound})
			later := now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Second)
			var least, allowed time.Duration
			for _, s := range streams {
				age := later.Sub(s.at)
				if age < boundLife {
					least = shorter(least, s.bound)
				}
				if age < 2*boundLife {
					allowed = shorter(allowed, s.bound)
				}
			}
			got := b.Shortest(later)
			if least > 0 {
				assert.Assert(t, got > 0 && got <= least, "%s, least %s", got, least)
			}
			assert.Assert(t, got == 0 || got >= allowed, "%s, allowed %s", got, allowed)
			now = later
		}
	})
}

// TestBoundAgesAfterTheClockWasSetBack guards against a bound that is kept for as long as the clock was ahead.
func TestBoundAgesAfterTheClockWasSetBack(t *testing.T) {
	var b Bound
	now := time.Unix(1000, 0)
	b.Observe(now.Add(time.Hour), time.Millisecond)
	assert.Equal(t, b.Shortest(now), time.Millisecond)
	assert.Equal(t, b.Shortest(now.Add(2*boundLife)), time.Duration(0))
}
