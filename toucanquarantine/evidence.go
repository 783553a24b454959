// Package toucanquarantine finds parts of requests that end the engines which answer on them, and decides which requests
// must not be sent to an engine. A part is a part of a prompt that several requests share, or the whole of a request that is sent
// again.
//
// An engine can end for many reasons, and then all its runs end at once, so that one end proves nothing. The package
// compares the ends: a part is quarantined when engines ended several times under starting runs that had it in common,
// while no run with it was answered. Entries exchange the evidence and decide by it in the same way. The package performs
// no I/O.
package toucanquarantine

import (
	"slices"
	"time"
)

// Part identifies a part of a prompt, or a whole request, that requests can have in common.
type Part uint64

// Run is a request that an engine had not answered far enough to be ruled out when the engine ended.
type Run struct {
	Workspace string
	// Parts are the parts that other requests can have too, in order.
	Parts []Part
	// Lasted is how long the run had lasted when the engine ended, in whole milliseconds; zero if that is not known. Of several
	// runs with the same parts it is the shortest.
	Lasted time.Duration
}

// beganAfter reports whether r is known to have begun later than a run that ended at the same time.
func (r Run) beganAfter(k Run) bool { return r.Lasted > 0 && (k.Lasted == 0 || r.Lasted < k.Lasted) }

// Crash is the end of an engine without notice.
type Crash struct {
	// Endpoint is the key of the engine's incarnation, which ends once.
	Endpoint uint64
	Service  string
	At       time.Time
	// Runs are the starting runs of all entries, at most maxRuns.
	Runs []Run
}

// Sound is proof that an engine answered on a part and did not end.
type Sound struct {
	Service string
	Part    Part
	At      time.Time
}

// Evidence is what entries tell each other. It must not be modified.
type Evidence struct {
	Crashes []Crash
	Sounds  []Sound
}

const (
	// maxCrashes and maxRuns bound the memory for evidence; the oldest crashes are dropped first.
	maxCrashes = 64
	maxRuns    = 32
	// evidenceLife is how long a crash counts.
	evidenceLife = 24 * time.Hour
)

// partKey identifies a part within a service.
type partKey struct {
	service string
	part    Part
}

// withRun returns the crash with one more run, and false if it has the run already or is full.
func (c Crash) withRun(r Run) (Crash, bool) {
	i := slices.IndexFunc(c.Runs, func(k Run) bool {
		return k.Workspace == r.Workspace && slices.Equal(k.Parts, r.Parts)
	})
	if i >= 0 && r.beganAfter(c.Runs[i]) {
		c.Runs = slices.Clone(c.Runs)
		c.Runs[i] = r
		return c, true
	}
	if i >= 0 || len(c.Runs) >= maxRuns {
		return c, false
	}
	c.Runs = append(slices.Clip(c.Runs), r)
	return c, true
}

// involvement is how one part was involved in a crash.
type involvement struct {
	workspaces []string
	// began is when the last run with the part began; zero if that is not known.
	began time.Time
}

// involved returns the parts of the runs, without those that were answered after the crash.
func (c Crash) involved(soundAt map[partKey]time.Time) map[Part]involvement {
	parts := make(map[Part]involvement)
	for _, r := range c.Runs {
		var began time.Time
		if r.Lasted > 0 {
			began = c.At.Add(-r.Lasted)
		}
		for _, p := range r.Parts {
			if at, ok := soundAt[partKey{c.Service, p}]; ok && !at.Before(c.At) {
				continue
			}
			in := parts[p]
			if !slices.Contains(in.workspaces, r.Workspace) {
				in.workspaces = append(in.workspaces, r.Workspace)
			}
			if began.After(in.began) {
				in.began = began
			}
			parts[p] = in
		}
	}
	return parts
}
