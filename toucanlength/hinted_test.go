package toucanlength

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestHintedEstimateMatchesMeanLength compares estimates with the mean length of many random outputs with noisy hints,
// before the first token and after some tokens.
func TestHintedEstimateMatchesMeanLength(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func() (hint, length int) {
		l := 6 + 0.9*rnd.NormFloat64()
		return int(math.Ceil(math.Exp(l + 1.2*rnd.NormFloat64()))), int(math.Ceil(math.Exp(l)))
	}
	e := NewHintedEstimator(128)
	for range 3000 {
		e.Observe(draw())
	}
	type bucket struct{ low, high, made int }
	for _, b := range []bucket{{50, 100, 0}, {300, 500, 0}, {3000, 6000, 0}, {300, 500, 600}, {50, 100, 600}} {
		var sum, estimate, n float64
		for n < 3000 {
			hint, length := draw()
			if hint < b.low || hint > b.high || length <= b.made {
				continue
			}
			sum += float64(length)
			estimate += float64(e.Estimate(hint, b.made, 0))
			n++
		}
		ratio := estimate / sum
		assert.Assert(t, ratio > 0.75 && ratio < 1.33, "%+v: estimate %.0f, mean %.0f", b, estimate/n, sum/n)
	}
}

// TestHintedEstimateStaysWithinBounds checks that an estimate is above the tokens generated so far and within the
// limit, after arbitrary observations.
func TestHintedEstimateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewHintedEstimator(rapid.Float64Range(0, 1e5).Draw(t, "median"))
		for range rapid.IntRange(0, 50).Draw(t, "outputs") {
			e.Observe(rapid.IntRange(0, 1e6).Draw(t, "hint"), rapid.IntRange(0, 1e6).Draw(t, "length"))
		}
		limit := rapid.IntRange(1, 1e5).Draw(t, "limit")
		made := rapid.IntRange(0, limit-1).Draw(t, "made")
		f := e.Estimate(rapid.IntRange(0, 1e6).Draw(t, "asked"), made, limit)
		assert.Assert(t, f > made && f <= limit, "made %d, estimate %d, limit %d", made, f, limit)
	})
}
