package toucanmove

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOrderSavesMost compares the order with an exhaustive search: of runs that do not end by themselves, as many are
// moved before the endpoint is gone as any order can move.
func TestOrderSavesMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runs []Run
		for i := range rapid.IntRange(1, 6).Draw(t, "runs") {
			runs = append(runs, Run{ID: uint64(i), Tokens: rapid.IntRange(1, 50).Draw(t, "tokens"), Left: time.Hour})
		}
		notice := rapid.IntRange(1, 150).Draw(t, "notice")
		sort.Slice(runs, func(i, j int) bool { return Before(runs[i], runs[j]) })
		assert.Equal(t, moved(runs, notice), best(runs, nil, notice))
	})
}

// moved counts the runs that are moved in order, when a token takes one unit of time.
func moved(runs []Run, notice int) int {
	n := 0
	for _, r := range runs {
		if notice -= r.Tokens; notice < 0 {
			break
		}
		n++
	}
	return n
}

func best(left, order []Run, notice int) int {
	if len(left) == 0 {
		return moved(order, notice)
	}
	most := 0
	for i := range left {
		rest := append(append([]Run(nil), left[:i]...), left[i+1:]...)
		most = max(most, best(rest, append(append([]Run(nil), order...), left[i]), notice))
	}
	return most
}

// TestOrderIsTotal checks that all entries come to the same order, and that runs about to end come last.
func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(id uint64) Run {
			return Run{
				ID:     id,
				Tokens: rapid.IntRange(1, 3).Draw(t, "tokens"),
				Left:   time.Duration(rapid.IntRange(0, 1500).Draw(t, "left")) * time.Millisecond,
			}
		}
		a, b := draw(1), draw(2)
		assert.Assert(t, Before(a, b) != Before(b, a))
		if a.Left < finishing && b.Left >= finishing {
			assert.Assert(t, Before(b, a))
		}
	})
}
