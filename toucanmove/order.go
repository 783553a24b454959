// Package toucanmove decides in which order generations are moved off an endpoint that leaves. The copies share the
// endpoint's link, so that one at a time keeps the pause of each short, and every entry must come to the same order.
// It does no input or output.
package toucanmove

import "time"

// Run is one generation at an endpoint that leaves.
type Run struct {
	// ID is the same for all entries that speak of the run.
	ID uint64
	// Tokens is the memory that the run takes.
	Tokens int
	// Left is the forecast time until its end.
	Left time.Duration
}

// finishing is the time within which a run is taken to end before its endpoint does.
const finishing = 700 * time.Millisecond

// Before reports whether a is moved before b: runs that may end by themselves come last, and of the others the one that
// takes the link for the shortest time comes first.
func Before(a, b Run) bool {
	if aEnds, bEnds := a.Left < finishing, b.Left < finishing; aEnds != bEnds {
		return bEnds
	}
	if a.Tokens != b.Tokens {
		return a.Tokens < b.Tokens
	}
	return a.ID < b.ID
}
