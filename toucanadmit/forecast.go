package toucanadmit

import (
	"math"

	"toucanport/toucanlength"
)

// horizonCount is how many future moments a forecast looks at, counted in tokens generated from now on.
const horizonCount = 24

// horizons grow by half a doubling each, from 0 over 16 to about 32,000 tokens.
var horizons = makeHorizons()

func makeHorizons() [horizonCount]int {
	const first = 16
	var h [horizonCount]int
	for i := 1; i < horizonCount; i++ {
		h[i] = int(first * math.Pow(math.Sqrt2, float64(i-1)))
	}
	return h
}

// demand is what one running request is expected to hold of the engine's memory.
type demand struct {
	// mean and variance are of the tokens held at each horizon; a request that has ended holds none.
	mean     [horizonCount]float64
	variance [horizonCount]float64
	// longest is the most that the request can hold, in tokens rounded up to whole blocks.
	longest float64
}

// holding describes a request to the forecast.
type holding struct {
	promptTokens int
	generated    int
	// maxTokens bounds the output; above zero.
	maxTokens int
	curve     *toucanlength.Curve
}

func (h holding) demand(blockTokens int) demand {
	var d demand
	alive := h.curve.Survival(h.generated)
	for i, ahead := range horizons {
		n := h.generated + ahead
		if n > h.maxTokens {
			break
		}
		// Half a block stands for the part of the last block that is still empty.
		tokens := float64(h.promptTokens+n) + float64(blockTokens)/2
		p := h.curve.Survival(n) / alive
		d.mean[i] = p * tokens
		d.variance[i] = p * (1 - p) * tokens * tokens
	}
	d.longest = float64(roundUp(h.promptTokens+h.maxTokens, blockTokens))
	return d
}

func roundUp(tokens, blockTokens int) int {
	return (tokens + blockTokens - 1) / blockTokens * blockTokens
}

// forecast is the sum of the demands of independent requests.
type forecast struct {
	sum demand
	n   int
}

func (f *forecast) add(d *demand) {
	f.n++
	f.apply(d, 1)
}

func (f *forecast) remove(d *demand) {
	f.n--
	if f.n == 0 {
		// Starting anew keeps rounding errors from adding up.
		f.sum = demand{}
		return
	}
	f.apply(d, -1)
}

func (f *forecast) apply(d *demand, sign float64) {
	for i := range d.mean {
		f.sum.mean[i] += sign * d.mean[i]
		f.sum.variance[i] += sign * d.variance[i]
	}
	f.sum.longest += sign * d.longest
}

// negligibleShare is the part of a request's first demand below which it no longer counts.
const negligibleShare = 0.05

// peak returns the highest use over time, in tokens, that is not exceeded at any one horizon with the probability that
// z standard deviations stand for. extra, which may be nil, is a request to add; then only the time matters over which
// it is likely to run, so that a brief one is not held up by what others will use when it has long ended. unaccounted
// is use that the engine reported beyond the requests' own; a negative one is memory that requests share, and goes as
// they end.
func (f *forecast) peak(z float64, extra *demand, unaccounted float64) float64 {
	if extra == nil {
		extra = &demand{}
	}
	highest := 0.0
	now := f.sum.mean[0] + extra.mean[0]
	for i := range f.sum.mean {
		if extra.mean[i] < negligibleShare*extra.mean[0] {
			break
		}
		mean := f.sum.mean[i] + extra.mean[i]
		variance := max(0, f.sum.variance[i]+extra.variance[i])
		other := unaccounted
		if other < 0 && now > 0 {
			other *= min(1, mean/now)
		}
		highest = max(highest, mean+z*math.Sqrt(variance)+other)
	}
	return highest
}

// at returns the mean and the standard deviation of the use after some tokens from now.
func (f *forecast) at(ahead int) (mean, deviation float64) {
	i := 1
	for i < horizonCount-1 && horizons[i] < ahead {
		i++
	}
	from, to := horizons[i-1], horizons[i]
	share := min(1, float64(ahead-from)/float64(to-from))
	mean = f.sum.mean[i-1] + share*(f.sum.mean[i]-f.sum.mean[i-1])
	variance := f.sum.variance[i-1] + share*(f.sum.variance[i]-f.sum.variance[i-1])
	return mean, math.Sqrt(max(0, variance))
}
