package toucanlength

import "math"

const (
	// priorWeight is the weight of the prior, as a number of outputs.
	priorWeight = 6
	// priorSlope is the prior's regression slope of the logarithm of the length on that of the hint.
	priorSlope = 0.4
	// priorHintSigma and priorSigma are the prior's standard deviations of the logarithms of hints and lengths.
	priorHintSigma = 1.5
	priorSigma     = 1.0
	// decay is the factor by which each observation reduces the weight of all earlier ones.
	decay = 0.995
)

// HintedEstimator estimates the output lengths of one class from the hints of callers, which are right at the median
// but often far off. It fits a linear regression of the logarithm of the length on that of the hint, with a normal
// error. It is not safe for concurrent use.
type HintedEstimator struct {
	// weight is the total weight of the observations and the prior. The others are weighted sums of the logarithms of
	// hints and lengths, of their squares and of their products.
	weight, sumHint, sumLength, sumHint2, sumLength2, sumProduct float64
}

// NewHintedEstimator returns a HintedEstimator without observations. median is the prior's median length in tokens.
func NewHintedEstimator(median float64) *HintedEstimator {
	m := math.Log(max(median, 1))
	return &HintedEstimator{
		weight:     priorWeight,
		sumHint:    priorWeight * m,
		sumLength:  priorWeight * m,
		sumHint2:   priorWeight * (m*m + priorHintSigma*priorHintSigma),
		sumLength2: priorWeight * (m*m + priorSigma*priorSigma),
		sumProduct: priorWeight * (m*m + priorSlope*priorHintSigma*priorHintSigma),
	}
}

// Observe records an output that ended after length tokens. A hint of zero means none; the mean hint replaces it.
func (e *HintedEstimator) Observe(hint, length int) {
	y := math.Log(float64(max(length, 1)))
	x := e.sumHint / e.weight
	if hint > 0 {
		x = math.Log(float64(hint))
	}
	e.weight = decay*e.weight + 1
	e.sumHint = decay*e.sumHint + x
	e.sumLength = decay*e.sumLength + y
	e.sumHint2 = decay*e.sumHint2 + x*x
	e.sumLength2 = decay*e.sumLength2 + y*y
	e.sumProduct = decay*e.sumProduct + x*y
}

// Estimate returns the expected total length of an output that has made tokens so far, between made+1 and limit. A
// limit of zero means none, and so does a hint of zero.
func (e *HintedEstimator) Estimate(hint, made, limit int) int {
	mean, sigma := e.regress(hint)
	expected := expectedAbove(mean, sigma, float64(made))
	estimate := max(int(math.Ceil(expected)), made+1)
	if limit > 0 {
		estimate = min(estimate, limit)
	}
	return estimate
}

// regress returns the mean and the standard deviation of the logarithm of the length for a hint.
func (e *HintedEstimator) regress(hint int) (mean, sigma float64) {
	meanHint, meanLength := e.sumHint/e.weight, e.sumLength/e.weight
	varHint := e.sumHint2/e.weight - meanHint*meanHint
	varLength := e.sumLength2/e.weight - meanLength*meanLength
	if hint <= 0 || varHint <= 0 {
		return meanLength, math.Sqrt(max(varLength, 0))
	}
	slope := (e.sumProduct/e.weight - meanHint*meanLength) / varHint
	mean = meanLength + slope*(math.Log(float64(hint))-meanHint)
	return mean, math.Sqrt(max(varLength-slope*slope*varHint, 0))
}

// minTailProbability is the tail probability below which the conditional mean is replaced by a multiple of the floor.
const minTailProbability = 1e-6

// expectedAbove returns the expected value of a log-normal variable given that it is above floor. mean and sigma are
// those of its logarithm.
func expectedAbove(mean, sigma, floor float64) float64 {
	if floor < 1 {
		return math.Exp(mean + sigma*sigma/2)
	}
	if sigma == 0 {
		return math.Max(math.Exp(mean), floor)
	}
	z := (math.Log(floor) - mean) / sigma
	survival := upperTail(z)
	if survival < minTailProbability {
		return 1.25 * floor
	}
	return math.Exp(mean+sigma*sigma/2) * upperTail(z-sigma) / survival
}

// upperTail returns the probability that a standard normal variable is above z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
