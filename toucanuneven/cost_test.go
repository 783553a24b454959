package toucanuneven

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanpace"
)

const testGap = 180 * time.Millisecond

var (
	fast = NewEndpoint(1, toucanpace.Forecast{Pause: testGap / 2, ReadTime: testGap / 2}, true, testGap)
	slow = NewEndpoint(1<<62, toucanpace.Forecast{Pause: testGap, ReadTime: testGap}, true, testGap)
)

// TestStreamsThatEndSoonAreNotMoved checks the bounds of what is exposed and what is moved.
func TestStreamsThatEndSoonAreNotMoved(t *testing.T) {
	s := Stream{Prompt: 3000, Left: minMovedOutput, MaxGap: testGap}
	assert.Assert(t, s.MayMove())
	s.Left = minMovedOutput - 1
	assert.Assert(t, !s.MayMove() && s.IsExposed())
	s.Left = minExposedOutput - 1
	assert.Assert(t, !s.IsExposed())
	s.Left, s.MaxGap = minMovedOutput, 0
	assert.Assert(t, !s.MayMove() && !s.IsExposed())
}

// TestSingleSlowEndpointsDontCount checks how many endpoints must break the bound.
func TestSingleSlowEndpointsDontCount(t *testing.T) {
	count := func(breaking, sound int) bool {
		var tally Tally
		for range breaking {
			tally.Add(slow)
		}
		for range sound {
			tally.Add(fast)
		}
		tally.Add(Endpoint{})
		return tally.IsUneven()
	}
	assert.Assert(t, count(1, minBreakingPart-1))
	assert.Assert(t, !count(1, minBreakingPart))
	assert.Assert(t, !count(3, 0) && !count(0, 3))
}

// TestCostsGrowWithLoad checks that no part of a load makes an endpoint cheaper for a prompt.
func TestCostsGrowWithLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := rapid.SampledFrom([]Endpoint{fast, slow}).Draw(t, "endpoint")
		s := Stream{
			Prompt: rapid.IntRange(1, 6000).Draw(t, "prompt"), Left: rapid.IntRange(0, 800).Draw(t, "left"), MaxGap: testGap,
			Movable: rapid.Bool().Draw(t, "movable"), Goal: time.Duration(rapid.IntRange(0, 1800).Draw(t, "goal")) * time.Millisecond,
		}
		l := Load{Unread: rapid.IntRange(0, 9000).Draw(t, "unread"), Exposed: rapid.IntRange(0, 9).Draw(t, "exposed")}
		more := Load{Unread: l.Unread + rapid.IntRange(0, 9000).Draw(t, "moreUnread"), Exposed: l.Exposed + rapid.IntRange(0, 9).Draw(t, "moreExposed")}
		assert.Assert(t, e.PlaceCost(l, s) <= e.PlaceCost(more, s))
		assert.Assert(t, e.FirstEvent(l, s) <= e.FirstEvent(more, s))
	})
}
