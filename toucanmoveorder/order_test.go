package toucanmoveorder

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOrderMovesAsManyAsAnyOrder compares the order with an exhaustive search: no other order moves more of the
// generations that won't end by themselves before the endpoint stops.
func TestOrderMovesAsManyAsAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var generations []Generation
		for i := range rapid.IntRange(1, 6).Draw(t, "runs") {
			generations = append(generations, Generation{ID: uint64(i), Tokens: rapid.IntRange(1, 50).Draw(t, "tokens"), Remaining: time.Hour})
		}
		notice := rapid.IntRange(1, 150).Draw(t, "notice")
		sort.Slice(generations, func(i, j int) bool { return Before(generations[i], generations[j]) })
		assert.Equal(t, countMoved(generations, notice), maxMoved(generations, nil, notice))
	})
}

// countMoved returns the number of generations that are moved within notice, where each token takes one unit of time.
func countMoved(generations []Generation, notice int) int {
	n := 0
	for _, r := range generations {
		if notice -= r.Tokens; notice < 0 {
			break
		}
		n++
	}
	return n
}

// maxMoved returns the highest countMoved of all orders that begin with order and end with a permutation of left.
func maxMoved(left, order []Generation, notice int) int {
	if len(left) == 0 {
		return countMoved(order, notice)
	}
	most := 0
	for i := range left {
		rest := append(append([]Generation(nil), left[:i]...), left[i+1:]...)
		most = max(most, maxMoved(rest, append(append([]Generation(nil), order...), left[i]), notice))
	}
	return most
}

// TestOrderIsTotal checks that of two generations exactly one precedes the other, and that generations about to end
// come last.
func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(id uint64) Generation {
			return Generation{
				ID:        id,
				Tokens:    rapid.IntRange(1, 3).Draw(t, "tokens"),
				Remaining: time.Duration(rapid.IntRange(0, 1500).Draw(t, "left")) * time.Millisecond,
			}
		}
		a, b := draw(1), draw(2)
		assert.Assert(t, Before(a, b) != Before(b, a))
		if a.Remaining < finishWindow && b.Remaining >= finishWindow {
			assert.Assert(t, Before(b, a))
		}
	})
}
