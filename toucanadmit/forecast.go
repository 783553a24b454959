package toucanadmit

import (
	"math"

	"toucanport/toucanlength"
)

// horizonCount is the number of future points that a forecast covers.
const horizonCount = 24

// horizons are the points of a forecast, counted in tokens generated from now on: 0, then 16, and from there on each
// larger by a factor of the square root of 2, up to about 32,000.
var horizons = makeHorizons()

func makeHorizons() [horizonCount]int {
	const first = 16
	var h [horizonCount]int
	for i := 1; i < horizonCount; i++ {
		h[i] = int(first * math.Pow(math.Sqrt2, float64(i-1)))
	}
	return h
}

// demand is the engine memory that one running request is expected to hold.
type demand struct {
	// mean and variance describe the tokens held at each horizon. A request that has ended holds none.
	mean     [horizonCount]float64
	variance [horizonCount]float64
	// longest is the largest number of tokens that the request can hold, rounded up to whole blocks.
	longest float64
}

// demandInput holds the properties of a request that its demand is computed from.
type demandInput struct {
	promptTokens int
	generated    int
	// maxTokens limits the output; always positive.
	maxTokens int
	curve     *toucanlength.Curve
}

func (h demandInput) demand(blockTokens int) demand {
	var d demand
	alive := h.curve.Survival(h.generated)
	for i, ahead := range horizons {
		n := h.generated + ahead
		if n > h.maxTokens {
			break
		}
		// On average, half of the last block is still empty.
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

// forecast is the sum of the demands of requests whose lengths are independent.
type forecast struct {
	total demand
	n     int
}

func (f *forecast) add(d *demand) {
	f.n++
	f.apply(d, 1)
}

func (f *forecast) remove(d *demand) {
	f.n--
	if f.n == 0 {
		// Resetting to zero prevents rounding errors from accumulating.
		f.total = demand{}
		return
	}
	f.apply(d, -1)
}

func (f *forecast) apply(d *demand, sign float64) {
	for i := range d.mean {
		f.total.mean[i] += sign * d.mean[i]
		f.total.variance[i] += sign * d.variance[i]
	}
	f.total.longest += sign * d.longest
}

// minDemandShare is the share of its current demand below which a request's later demand is ignored.
const minDemandShare = 0.05

// peak returns the highest memory use over all horizons, in tokens. At each horizon, the use stays below z standard
// deviations above its mean. extra is an additional request; it can be nil. With extra, only horizons at which it
// probably still runs count, so that a brief request need not wait because of what others will use after it has
// ended. unaccounted is use that the engine reported beyond the requests' own. A negative value is memory that
// requests share; it shrinks as they end.
func (f *forecast) peak(z float64, extra *demand, unaccounted float64) float64 {
	if extra == nil {
		extra = &demand{}
	}
	highest := 0.0
	now := f.total.mean[0] + extra.mean[0]
	for i := range f.total.mean {
		if extra.mean[i] < minDemandShare*extra.mean[0] {
			break
		}
		mean := f.total.mean[i] + extra.mean[i]
		variance := max(0, f.total.variance[i]+extra.variance[i])
		other := unaccounted
		if other < 0 && now > 0 {
			other *= min(1, mean/now)
		}
		highest = max(highest, mean+z*math.Sqrt(variance)+other)
	}
	return highest
}

// at returns the mean and the standard deviation of the use after each request has generated the given number of
// further tokens.
func (f *forecast) at(ahead int) (mean, deviation float64) {
	i := 1
	for i < horizonCount-1 && horizons[i] < ahead {
		i++
	}
	from, to := horizons[i-1], horizons[i]
	share := min(1, float64(ahead-from)/float64(to-from))
	mean = f.total.mean[i-1] + share*(f.total.mean[i]-f.total.mean[i-1])
	variance := f.total.variance[i-1] + share*(f.total.variance[i]-f.total.variance[i-1])
	return mean, math.Sqrt(max(0, variance))
}
