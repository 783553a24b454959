package toucanlength

import "math/bits"

// Each length below exactLengths has its own bucket. Above, each power of two is divided into subBuckets equal buckets.
const (
	exactLengths  = 8
	subBucketBits = 2
	subBuckets    = 1 << subBucketBits
	exactBits     = 3
	maxLengthBits = 17
	bucketCount   = exactLengths + subBuckets*(maxLengthBits-exactBits)
)

// MaxLength is the maximum length of an output in tokens; longer outputs are counted with this length.
const MaxLength = 1<<maxLengthBits - 1

// bucketOf returns the bucket of n, which must be between 0 and MaxLength.
func bucketOf(n int) int {
	if n < exactLengths {
		return n
	}
	octave := bits.Len(uint(n)) - 1
	sub := n >> (octave - subBucketBits) & (subBuckets - 1)
	return exactLengths + (octave-exactBits)*subBuckets + sub
}

// bucketStart returns the shortest length in bucket b; for bucketCount it returns MaxLength+1.
func bucketStart(b int) int {
	if b < exactLengths {
		return b
	}
	octave := (b-exactLengths)/subBuckets + exactBits
	sub := (b - exactLengths) % subBuckets
	return (subBuckets + sub) << (octave - subBucketBits)
}

func clampLength(n int) int { return min(max(n, 0), MaxLength) }

// history counts, for each bucket, the outputs that ended in it and the tokens that were at risk of being the last one.
// When the count of ended outputs reaches limit, all counts are halved, so that older outputs lose weight.
type history struct {
	ends [bucketCount]float32
	// tokens is the sum, over all outputs, of the tokens at risk within the bucket: its full width for an output that
	// ended in it or grew beyond it, and the tokens generated so far for an output that is still within it.
	tokens  [bucketCount]float32
	total   float32
	limit   float32
	changes int
}

// addTokens adds the tokens that an output generated while it grew from one length to another.
func (h *history) addTokens(from, to int) {
	for b := bucketOf(from); from < to; b++ {
		upTo := min(to, bucketStart(b+1))
		h.tokens[b] += float32(upTo - from)
		from = upTo
	}
	h.changes++
}

// addEnd adds an output that ended with length n. Its tokens up to n must have been added with addTokens.
func (h *history) addEnd(n int) {
	b := bucketOf(n)
	h.tokens[b] += float32(bucketStart(b+1) - n)
	h.ends[b]++
	h.total++
	if h.total < h.limit {
		return
	}
	for b := range h.ends {
		h.ends[b] /= 2
		h.tokens[b] /= 2
	}
	h.total /= 2
}

// curve returns the survival curve of the outputs, with parent as a prior that weighs as much as strength outputs. It
// is a Kaplan-Meier estimate over the buckets.
func (h *history) curve(parent *Curve, strength float64) *Curve {
	c := &Curve{}
	c.survival[0] = 1
	for b := range h.ends {
		width := float64(bucketStart(b+1) - bucketStart(b))
		ends := float64(h.ends[b]) + strength*(parent.survival[b]-parent.survival[b+1])
		atRisk := float64(h.tokens[b])/width + strength*parent.survival[b]
		c.survival[b+1] = max(c.survival[b]*max(1-ends/atRisk, 0), minSurvival)
	}
	c.integrate()
	return c
}
