package toucanpace

import "time"

// boundLife is the time for which a bound on pauses is kept at least after the last stream with it. It is kept for twice that time at
// most.
const boundLife = 30 * time.Second

// Bound is the shortest bound on pauses among the streams of lately. The zero value knows of no stream. It is not safe for concurrent
// use.
type Bound struct {
	// began is the start of the current span of boundLife.
	began time.Time
	// current and previous are the shortest bounds of the two spans; zero for none.
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

// advance begins a new span when the current one is over.
func (b *Bound) advance(now time.Time) {
	age := now.Sub(b.began)
	if age < boundLife {
		return
	}
	b.previous, b.current = b.current, 0
	if age >= 2*boundLife {
		b.previous = 0
	}
	b.began = now
}

// shorter returns the shorter one of two bounds, of which zero is none.
func shorter(x, y time.Duration) time.Duration {
	if x == 0 || y == 0 {
		return max(x, y)
	}
	return min(x, y)
}
