package toucanrate

import "time"

const (
	// wordLife is how long a limit counts that its endpoint has not repeated.
	wordLife = 10 * time.Minute
	// endLife is how long entries tell each other that a limit has ended.
	endLife = 5 * time.Second
	// sameWordSlack is how much later a word with the same content must be to replace one. A word that entries pass on seems
	// later at each of them.
	sameWordSlack = 50 * time.Millisecond
)

// Word is what an endpoint last said about its limit.
type Word struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint uint64
	// Limited is true if the endpoint takes at most PerSecond requests a second, and false if its limit has ended.
	Limited   bool
	PerSecond float64
	// At is when the answer with the limit arrived; for the end of a limit, when the request was sent that was answered without
	// one.
	At time.Time
}

// replaces reports whether w is newer than a known word.
func (w Word) replaces(known Word) bool {
	if w.Limited == known.Limited && w.PerSecond == known.PerSecond {
		return w.At.Sub(known.At) > sameWordSlack
	}
	return w.At.After(known.At)
}

// isOld reports whether a word no longer counts.
func (w Word) isOld(now time.Time) bool {
	if w.Limited {
		return now.Sub(w.At) > wordLife
	}
	return now.Sub(w.At) > endLife
}
