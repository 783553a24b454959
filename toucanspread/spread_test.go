package toucanspread

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// expected is the expected cost of a request if it and the unseen ones choose by shares.
func expected(costs, shares []float64, unseen, added float64) float64 {
	sum := 0.0
	for i, p := range shares {
		sum += p*costs[i] + unseen*added*p*p
	}
	return sum
}

// TestSharesAreBest compares the shares with moving a part from any candidate to any other: none is cheaper.
func TestSharesAreBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Float64Range(0, 3), 1, 12).Draw(t, "costs")
		unseen := rapid.Float64Range(0, 4).Draw(t, "unseen")
		added := rapid.Float64Range(0, 1).Draw(t, "added")
		shares := Shares(costs, unseen, added)
		sum := 0.0
		for _, p := range shares {
			assert.Assert(t, p >= 0)
			sum += p
		}
		assert.Assert(t, math.Abs(sum-1) < 1e-9, "sum %v", sum)
		best := expected(costs, shares, unseen, added)
		for i := range shares {
			for k := range shares {
				moved := slices.Clone(shares)
				part := min(0.01, moved[i])
				moved[i] -= part
				moved[k] += part
				assert.Assert(t, expected(costs, moved, unseen, added) >= best-1e-5)
			}
		}
	})
}

// TestNothingUnseen checks that the cheapest candidate is chosen if no other entry chooses.
func TestNothingUnseen(t *testing.T) {
	assert.Equal(t, Pick([]float64{0.4, 0.1, 0.1, 0.9}, 0, 0.3), 1)
	assert.Equal(t, Pick([]float64{0.4, 0.1}, 5, 0), 1)
	assert.Equal(t, Pick(nil, 1, 1), 0)
}

// TestEntriesChooseAtOnce plays the load that the package answers: entries that choose an engine in the same moments, some
// ms before they learn of each other's choices, while engines that have just joined are empty. What is placed at one engine is done one
// after the other. With shares, it waits less than half as long for what others have placed.
func TestEntriesChooseAtOnce(t *testing.T) {
	const engines, rounds, added = 30, 4000, 0.3
	play := func(unseen float64) (waited float64) {
		r := rand.New(rand.NewPCG(1, 2))
		load := make([]float64, engines)
		for range rounds {
			seen := slices.Clone(load)
			arrivals := r.IntN(5)
			for range arrivals {
				i := Pick(seen, unseen, added)
				waited += load[i]
				load[i] += added
			}
			for i := range load {
				load[i] = max(load[i]-0.03, 0)
			}
			if r.IntN(20) == 0 {
				load[r.IntN(engines)] = 0
			}
		}
		return waited
	}
	blind, spread := play(0), play(1.5)
	t.Logf("waited %.0f without shares, %.0f with them", blind, spread)
	assert.Assert(t, spread < blind/2)
}
