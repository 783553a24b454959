package toucanlimit

import (
	"math"
	"time"
)

// burstWindow is the time whose tokens a bucket holds when it is full.
const burstWindow = 10 * time.Second

// bucket meters the tokens of one workspace on one entry. Requests that turn out larger than expected leave it
// in debt, which later ones wait out.
type bucket struct {
	// perMinute is the entry's present part of the limit; above zero.
	perMinute float64
	// tokens is at most burst.
	tokens float64
	filled time.Time
}

// metered is false before the first rate is set, while the workspace has no limit of tokens.
func (b *bucket) metered() bool { return !b.filled.IsZero() }

func (b *bucket) burst() float64 { return b.perMinute * burstWindow.Minutes() }

// setRate changes the entry's part. A new bucket is full.
func (b *bucket) setRate(now time.Time, perMinute float64) {
	if !b.metered() {
		b.perMinute, b.filled = perMinute, now
		b.tokens = b.burst()
		return
	}
	b.fill(now)
	b.perMinute = perMinute
	b.tokens = min(b.tokens, b.burst())
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.burst(), b.tokens+b.perMinute*elapsed.Minutes())
		b.filled = now
	}
}

// take removes n tokens, at most a full bucket, and returns how many; or the time until it can.
func (b *bucket) take(now time.Time, n float64) (taken float64, wait time.Duration) {
	b.fill(now)
	n = min(n, b.burst())
	if missing := n - b.tokens; missing > 0 {
		return 0, time.Duration(math.Ceil(missing / b.perMinute * float64(time.Minute)))
	}
	b.tokens -= n
	return n, 0
}

// settle takes n more tokens, or gives them back when n is negative.
func (b *bucket) settle(now time.Time, n float64) {
	b.fill(now)
	b.tokens = min(b.burst(), b.tokens-n)
}

func (b *bucket) full(now time.Time) bool {
	b.fill(now)
	return b.tokens >= b.burst()
}
