package toucanpace

import "time"

// boundLife is the time for which a bound on pauses is kept at least after the last stream with it. It is kept for twice that time at
// most.
const boundLife = 30 * time.Second

// Bound is the shortest bound on pauses among the streams of lately. The zero value knows of no stream. It is not safe for concurrent
// use.
type Bound struct {
	// span is the number of the current span of boundLife.
	span int64
	// current and previous are the shortest bounds of this span and of the one before; zero for none.
	current, previous time.Duration
}

// Observe records a stream whose pauses are bounded. A bound of zero is none.
func (b *Bound) Observe(now time.Time, bound time.Duration) {
	if bound <= 0 {
		return
	}
	b.advance(now)
	b.current = shorter(b.current, bound)
}

// Shortest returns the shortest bound, and zero if there is none.
func (b *Bound) Shortest(now time.Time) time.Duration {
	b.advance(now)
	return shorter(b.current, b.previous)
}

// advance moves on to the span of now.
func (b *Bound) advance(now time.Time) {
	span := now.UnixNano() / int64(boundLife)
	switch {
	case span < b.span-1:
		// The clock was set back.
	case span <= b.span:
		return
	case span == b.span+1:
		b.previous, b.current = b.current, 0
	default:
		b.previous, b.current = 0, 0
	}
	b.span = span
}

// shorter returns the shorter one of two bounds, of which zero is none.
func shorter(x, y time.Duration) time.Duration {
	if x == 0 || y == 0 {
		return max(x, y)
	}
	return min(x, y)
}
