package toucanlength

import "math"

const (
	// priorWeight is how many outputs the prior of a Hinted is worth.
	priorWeight = 6
	// priorSlope is how far a forecast follows the logarithm of its hint before anything was seen.
	priorSlope = 0.4
	// priorHintSigma and priorSigma are the standard deviations of the logarithms of hints and of lengths.
	priorHintSigma = 1.5
	priorSigma     = 1.0
	// forget is the weight of what was seen before, for each output.
	forget = 0.995
)

// Hinted forecasts the lengths of one class of outputs from the hints that callers give, which are right at the median but
// often far off. The logarithm of the length is taken to follow that of the hint linearly, with a normal error. It is not
// safe for concurrent use.
type Hinted struct {
	// n is the weight of the outputs seen, the prior's included; hint, length and so on are weighted sums.
	n, hint, length, hint2, length2, product float64
}

// NewHinted returns a Hinted that has seen nothing. median is the length that it takes for granted then, in tokens.
func NewHinted(median float64) *Hinted {
	m := math.Log(max(median, 1))
	return &Hinted{
		n:       priorWeight,
		hint:    priorWeight * m,
		length:  priorWeight * m,
		hint2:   priorWeight * (m*m + priorHintSigma*priorHintSigma),
		length2: priorWeight * (m*m + priorSigma*priorSigma),
		product: priorWeight * (m*m + priorSlope*priorHintSigma*priorHintSigma),
	}
}

// Observe takes in that an output with a hint came to its end after length tokens. A hint of zero means none.
func (e *Hinted) Observe(hint, length int) {
	y := math.Log(float64(max(length, 1)))
	x := e.hint / e.n
	if hint > 0 {
		x = math.Log(float64(hint))
	}
	e.n = forget*e.n + 1
	e.hint = forget*e.hint + x
	e.length = forget*e.length + y
	e.hint2 = forget*e.hint2 + x*x
	e.length2 = forget*e.length2 + y*y
	e.product = forget*e.product + x*y
}

// Forecast returns the expected length of an output that has made tokens already and may not pass limit; a limit of zero
// means none.
func (e *Hinted) Forecast(hint, made, limit int) int {
	mean, sigma := e.at(hint)
	expected := expectedAbove(mean, sigma, float64(made))
	forecast := max(int(math.Ceil(expected)), made+1)
	if limit > 0 {
		forecast = min(forecast, limit)
	}
	return forecast
}

// at returns the mean and the standard deviation of the logarithm of the length at a hint.
func (e *Hinted) at(hint int) (mean, sigma float64) {
	meanHint, meanLength := e.hint/e.n, e.length/e.n
	varHint := e.hint2/e.n - meanHint*meanHint
	varLength := e.length2/e.n - meanLength*meanLength
	if hint <= 0 || varHint <= 0 {
		return meanLength, math.Sqrt(max(varLength, 0))
	}
	slope := (e.product/e.n - meanHint*meanLength) / varHint
	mean = meanLength + slope*(math.Log(float64(hint))-meanHint)
	return mean, math.Sqrt(max(varLength-slope*slope*varHint, 0))
}

// outlived is the probability below which an output has outlived every expectation.
const outlived = 1e-6

// expectedAbove is the expected value of a log-normal variable that is known to be above floor.
func expectedAbove(mean, sigma, floor float64) float64 {
	if floor < 1 {
		return math.Exp(mean + sigma*sigma/2)
	}
	if sigma == 0 {
		return math.Max(math.Exp(mean), floor)
	}
	z := (math.Log(floor) - mean) / sigma
	survival := upperTail(z)
	if survival < outlived {
		return 1.25 * floor
	}
	return math.Exp(mean+sigma*sigma/2) * upperTail(z-sigma) / survival
}

// upperTail is the probability that a standard normal variable is above z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
