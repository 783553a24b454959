package toucanlength

// Curve is an immutable survival function of output lengths.
type Curve struct {
	// survival[b] is the probability that an output is at least bucketStart(b) tokens long. It is positive and does not
	// increase with b.
	survival [bucketCount + 1]float64
	// area[b] is the integral of the survival function from bucketStart(b) to MaxLength+1, in tokens.
	area [bucketCount + 1]float64
}

// minSurvival keeps conditional probabilities defined for lengths beyond the longest observed output.
const minSurvival = 1e-9

// newCurve returns the curve for the probabilities p of the buckets.
func newCurve(p *[bucketCount]float64) *Curve {
	c := &Curve{}
	c.survival[bucketCount] = minSurvival
	for b := bucketCount - 1; b >= 0; b-- {
		c.survival[b] = c.survival[b+1] + p[b]
	}
	c.integrate()
	return c
}

// integrate computes area from survival by the trapezoidal rule.
func (c *Curve) integrate() {
	for b := bucketCount - 1; b >= 0; b-- {
		width := float64(bucketStart(b+1) - bucketStart(b))
		c.area[b] = c.area[b+1] + width*(c.survival[b]+c.survival[b+1])/2
	}
}

// Survival returns the probability that an output is at least n tokens long. It interpolates linearly within a bucket.
func (c *Curve) Survival(n int) float64 {
	n = clampLength(n)
	b := bucketOf(n)
	start := bucketStart(b)
	width := bucketStart(b+1) - start
	if width == 1 {
		return c.survival[b]
	}
	fraction := float64(n-start) / float64(width)
	return c.survival[b] + fraction*(c.survival[b+1]-c.survival[b])
}

// Remaining returns the expected number of further tokens of an output that has generated tokens so far. maxTokens
// bounds the output; zero means no bound.
func (c *Curve) Remaining(generated, maxTokens int) float64 {
	if maxTokens <= 0 {
		maxTokens = MaxLength
	}
	if generated >= maxTokens {
		return 0
	}
	return (c.areaFrom(generated) - c.areaFrom(maxTokens)) / c.Survival(generated)
}

// Quantile returns the q-quantile of the length, in tokens, of outputs that have at least generated tokens, rounded up
// to the start of a bucket.
func (c *Curve) Quantile(generated int, q float64) int {
	bound := c.Survival(generated) * (1 - q)
	for b := bucketOf(clampLength(generated)); b < bucketCount; b++ {
		if c.survival[b+1] <= bound {
			return bucketStart(b + 1)
		}
	}
	return MaxLength
}

// areaFrom returns the integral of the survival function from n on.
func (c *Curve) areaFrom(n int) float64 {
	n = clampLength(n)
	b := bucketOf(n)
	rest := float64(bucketStart(b+1) - n)
	return c.area[b+1] + rest*(c.Survival(n)+c.survival[b+1])/2
}
