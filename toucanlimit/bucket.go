package toucanlimit

import (
	"math"
	"time"
)

// burstWindow determines the capacity of a bucket: the tokens that the limit allows in this time.
const burstWindow = 10 * time.Second

// bucket is a token bucket for one workspace on one entry. Its level becomes negative if requests use more tokens
// than estimated; later requests must then wait until it is positive again.
type bucket struct {
	// perMinute is the entry's current share of the limit; always positive.
	perMinute float64
	// tokens is at most the capacity. It can be negative.
	tokens     float64
	refilledAt time.Time
}

// isConfigured returns false until the first call of setRate. The workspace then has no token limit.
func (b *bucket) isConfigured() bool { return !b.refilledAt.IsZero() }

func (b *bucket) capacity() float64 { return b.perMinute * burstWindow.Minutes() }

// setRate sets the entry's share of the limit. A new bucket starts full.
func (b *bucket) setRate(now time.Time, perMinute float64) {
	if !b.isConfigured() {
		b.perMinute, b.refilledAt = perMinute, now
		b.tokens = b.capacity()
		return
	}
	b.refill(now)
	b.perMinute = perMinute
	b.tokens = min(b.tokens, b.capacity())
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity(), b.tokens+b.perMinute*elapsed.Minutes())
		b.refilledAt = now
	}
}

// take removes n tokens, at most the capacity, and returns how many it removed. If there are too few, it removes none
// and returns the time until there are enough.
func (b *bucket) take(now time.Time, n float64) (taken float64, wait time.Duration) {
	b.refill(now)
	n = min(n, b.capacity())
	if missing := n - b.tokens; missing > 0 {
		return 0, time.Duration(math.Ceil(missing / b.perMinute * float64(time.Minute)))
	}
	b.tokens -= n
	return n, 0
}

// settle removes n more tokens, or returns tokens to the bucket if n is negative.
func (b *bucket) settle(now time.Time, n float64) {
	b.refill(now)
	b.tokens = min(b.capacity(), b.tokens-n)
}

func (b *bucket) isFull(now time.Time) bool {
	b.refill(now)
	return b.tokens >= b.capacity()
}
