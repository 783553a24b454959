package toucanlength

// Curve is an immutable survival curve of output lengths.
type Curve struct {
	// survival[b] is the probability that an output is at least bucketStart(b) tokens long; it never rises with b
	// and stays above zero.
	survival [bucketCount + 1]float64
	// area[b] is the sum of the survival from bucketStart(b) on, in tokens.
	area [bucketCount + 1]float64
}

// minSurvival keeps conditional probabilities defined beyond every length seen.
const minSurvival = 1e-9

// newCurve returns the curve of a distribution over the buckets.
func newCurve(p *[bucketCount]float64) *Curve {
	c := &Curve{}
	c.survival[bucketCount] = minSurvival
	for b := bucketCount - 1; b >= 0; b-- {
		c.survival[b] = c.survival[b+1] + p[b]
	}
	c.integrate()
	return c
}

func (c *Curve) integrate() {
	for b := bucketCount - 1; b >= 0; b-- {
		width := float64(bucketStart(b+1) - bucketStart(b))
		c.area[b] = c.area[b+1] + width*(c.survival[b]+c.survival[b+1])/2
	}
}

// Survival returns the probability that an output is at least n tokens long.
func (c *Curve) Survival(n int) float64 {
	n = clampLength(n)
	b := bucketOf(n)
	start := bucketStart(b)
	width := bucketStart(b+1) - start
	if width == 1 {
		return c.survival[b]
	}
	at := float64(n-start) / float64(width)
	return c.survival[b] + at*(c.survival[b+1]-c.survival[b])
}

// Remaining returns the expected number of tokens still to come after generated ones. maxTokens bounds the output;
// zero means unbounded.
func (c *Curve) Remaining(generated, maxTokens int) float64 {
	if maxTokens <= 0 {
		maxTokens = MaxLength
	}
	if generated >= maxTokens {
		return 0
	}
	return (c.areaFrom(generated) - c.areaFrom(maxTokens)) / c.Survival(generated)
}

// Quantile returns the shortest length, in tokens, that an output of at least generated tokens stays within with
// probability q.
func (c *Curve) Quantile(generated int, q float64) int {
	goal := c.Survival(generated) * (1 - q)
	for b := bucketOf(clampLength(generated)); b < bucketCount; b++ {
		if c.survival[b+1] <= goal {
			return bucketStart(b + 1)
		}
	}
	return MaxLength
}

func (c *Curve) areaFrom(n int) float64 {
	n = clampLength(n)
	b := bucketOf(n)
	rest := float64(bucketStart(b+1) - n)
	return c.area[b+1] + rest*(c.Survival(n)+c.survival[b+1])/2
}
