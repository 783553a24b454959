// Package toucanquarantine finds parts of prompts that end the engines which answer on them, and decides which requests
// must not be sent to an engine.
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

// Part identifies a part of a prompt that requests can have in common.
type Part uint64

// Run is a request that an engine had not answered far enough to be ruled out when the engine ended.
type Run struct {
	Workspace string
	// Parts are the parts that other requests can have too, in order.
	Parts []Part
}

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
	known := slices.ContainsFunc(c.Runs, func(k Run) bool {
		return k.Workspace == r.Workspace && slices.Equal(k.Parts, r.Parts)
	})
	if known || len(c.Runs) >= maxRuns {
		return c, false
	}
	c.Runs = append(slices.Clip(c.Runs), r)
	return c, true
}

// workspacesOf returns the workspaces of the runs with each part, without the parts that were answered after the crash.
func (c Crash) workspacesOf(soundAt map[partKey]time.Time) map[Part][]string {
	workspaces := make(map[Part][]string)
	for _, r := range c.Runs {
		for _, p := range r.Parts {
			if at, ok := soundAt[partKey{c.Service, p}]; ok && !at.Before(c.At) {
				continue
			}
			if !slices.Contains(workspaces[p], r.Workspace) {
				workspaces[p] = append(workspaces[p], r.Workspace)
			}
		}
	}
	return workspaces
}
