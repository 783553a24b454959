package toucanlength

import "math/bits"

// Lengths below exactLengths have a bucket each; above, each doubling is divided into subBuckets equal buckets.
const (
	exactLengths  = 8
	subBucketBits = 2
	subBuckets    = 1 << subBucketBits
	exactBits     = 3
	maxLengthBits = 17
	bucketCount   = exactLengths + subBuckets*(maxLengthBits-exactBits)
)

// MaxLength is the longest output that an estimate distinguishes, in tokens; longer ones count as this long.
const MaxLength = 1<<maxLengthBits - 1

// bucketOf returns the bucket of n, which must be within 0 and MaxLength.
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

// histogram counts lengths and forgets old ones: whenever the total reaches limit, every count is halved.
type histogram struct {
	counts [bucketCount]float32
	total  float32
	limit  float32
}

func (h *histogram) add(bucket int, weight float32) {
	h.counts[bucket] += weight
	h.total += weight
}

func (h *histogram) forget() {
	if h.total < h.limit {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// mix returns the histogram's distribution with parent's as a prior worth strength observations.
func (h *histogram) mix(parent *[bucketCount]float64, strength float64) [bucketCount]float64 {
	var p [bucketCount]float64
	scale := 1 / (float64(h.total) + strength)
	for i := range p {
		p[i] = (float64(h.counts[i]) + strength*parent[i]) * scale
	}
	return p
}
