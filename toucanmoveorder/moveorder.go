// Package toucanmoveorder defines the order in which generations are moved off a draining endpoint. All copies share
// the endpoint's network link, so they are made one at a time to keep the pause of each generation short. Every entry
// must compute the same order. The package performs no I/O.
package toucanmoveorder

import "time"

// Generation describes a generation at a draining endpoint.
type Generation struct {
	// ID identifies the generation; all entries use the same ID for it.
	ID uint64
	// Tokens is the memory that the generation uses, in tokens.
	Tokens int
	// Remaining is the estimated time until the generation ends.
	Remaining time.Duration
}

// finishWindow is the estimated remaining time below which a generation is expected to end before its endpoint stops.
const finishWindow = 700 * time.Millisecond

// Before reports whether a is moved before b. Generations that are expected to end within finishWindow come last.
// Otherwise the one with less memory comes first, because its copy uses the link for a shorter time; ties are broken by
// ID.
func Before(a, b Generation) bool {
	if aEnds, bEnds := a.Remaining < finishWindow, b.Remaining < finishWindow; aEnds != bEnds {
		return bEnds
	}
	if a.Tokens != b.Tokens {
		return a.Tokens < b.Tokens
	}
	return a.ID < b.ID
}
