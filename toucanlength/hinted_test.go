package toucanlength

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestHintedLearns compares forecasts with the mean lengths of many outputs drawn with noisy hints, both from the start
// and after some tokens.
func TestHintedLearns(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func() (hint, length int) {
		l := 6 + 0.9*rnd.NormFloat64()
		return int(math.Ceil(math.Exp(l + 1.2*rnd.NormFloat64()))), int(math.Ceil(math.Exp(l)))
	}
	e := NewHinted(128)
	for range 3000 {
		e.Observe(draw())
	}
	type bucket struct{ low, high, made int }
	for _, b := range []bucket{{50, 100, 0}, {300, 500, 0}, {3000, 6000, 0}, {300, 500, 600}, {50, 100, 600}} {
		var sum, forecast, n float64
		for n < 3000 {
			hint, length := draw()
			if hint < b.low || hint > b.high || length <= b.made {
				continue
			}
			sum += float64(length)
			forecast += float64(e.Forecast(hint, b.made, 0))
			n++
		}
		ratio := forecast / sum
		assert.Assert(t, ratio > 0.75 && ratio < 1.33, "%+v: forecast %.0f, mean %.0f", b, forecast/n, sum/n)
	}
}

// TestHintedBounds checks that a forecast is above what was made and within the limit, whatever was seen.
func TestHintedBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewHinted(rapid.Float64Range(0, 1e5).Draw(t, "median"))
		for range rapid.IntRange(0, 50).Draw(t, "outputs") {
			e.Observe(rapid.IntRange(0, 1e6).Draw(t, "hint"), rapid.IntRange(0, 1e6).Draw(t, "length"))
		}
		limit := rapid.IntRange(1, 1e5).Draw(t, "limit")
		made := rapid.IntRange(0, limit-1).Draw(t, "made")
		f := e.Forecast(rapid.IntRange(0, 1e6).Draw(t, "asked"), made, limit)
		assert.Assert(t, f > made && f <= limit, "made %d, forecast %d, limit %d", made, f, limit)
	})
}
