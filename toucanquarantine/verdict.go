package toucanquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is how many engines must have ended under a part before it is quarantined.
	minCrashes = 3
	// minSeparation is the least time between two ends that count separately whenever their runs began. Ends with a common cause,
	// such as a power failure, come together. An end under a run that began after the one before has no cause in common with it.
	minSeparation = 500 * time.Millisecond
	// firstQuarantine is how long a part is quarantined after the last end. Each end after that doubles it, up to
	// maxDoublings times, so that a part that became sound is used again and one that did not costs few engines.
	firstQuarantine = 5 * time.Minute
	maxDoublings    = 6
)

// Verdict is a quarantine.
type Verdict struct {
	Service string
	// Parts are the parts that are quarantined. If there are several, the evidence does not tell which of them ends
	// engines, and only requests with all of them are affected.
	Parts []Part
	// Workspace is the only workspace whose requests are affected if OneWorkspace is true. Evidence from one workspace
	// affects no other.
	Workspace    string
	OneWorkspace bool
	// Crashes is the number of ends that count, and Until the end of the quarantine.
	Crashes int
	Until   time.Time
}

// applies reports whether a request is affected.
func (v Verdict) applies(now time.Time, service, workspace string, parts []Part) bool {
	if service != v.Service || v.OneWorkspace && workspace != v.Workspace || now.After(v.Until) {
		return false
	}
	for _, p := range v.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// suspect collects the ends under a part.
type suspect struct {
	// crashes are the indexes of the ends, in order of time, and times those that count.
	crashes    []int
	times      []time.Time
	workspaces []string
}

func (s *suspect) add(index int, at time.Time, in involvement) {
	s.crashes = append(s.crashes, index)
	if s.countsSeparately(at, in.began) {
		s.times = append(s.times, at)
	}
	for _, w := range in.workspaces {
		if !slices.Contains(s.workspaces, w) {
			s.workspaces = append(s.workspaces, w)
		}
	}
}

// countsSeparately reports whether an end under a run that began at a time counts beside the last one that did.
func (s *suspect) countsSeparately(at, began time.Time) bool {
	if len(s.times) == 0 {
		return true
	}
	last := s.times[len(s.times)-1]
	return at.Sub(last) >= minSeparation || began.After(last)
}

// until returns the end of the quarantine. Each end of an engine after a quarantine has ended doubles the next one.
func (s *suspect) until() time.Time {
	var until time.Time
	doublings := 0
	for _, at := range s.times[minCrashes-1:] {
		if !until.IsZero() && at.After(until) {
			doublings = min(doublings+1, maxDoublings)
		}
		until = at.Add(firstQuarantine << doublings)
	}
	return until
}

// decide returns the verdicts on the crashes of one service, which are sorted by time. The part with the most ends
// explains them; other parts are judged by the ends that are left.
func decide(crashes []Crash, soundAt map[partKey]time.Time) []Verdict {
	explained := make([]bool, len(crashes))
	var verdicts []Verdict
	for {
		suspects := collectSuspects(crashes, explained, soundAt)
		worst, ok := findWorst(suspects)
		if !ok {
			return verdicts
		}
		s := suspects[worst]
		v := Verdict{
			Service:      crashes[0].Service,
			Parts:        sameCrashes(suspects, s),
			OneWorkspace: len(s.workspaces) == 1,
			Crashes:      len(s.times),
			Until:        s.until(),
		}
		if v.OneWorkspace {
			v.Workspace = s.workspaces[0]
		}
		verdicts = append(verdicts, v)
		for _, i := range s.crashes {
			explained[i] = true
		}
	}
}

func collectSuspects(crashes []Crash, explained []bool, soundAt map[partKey]time.Time) map[Part]*suspect {
	suspects := make(map[Part]*suspect)
	for i, c := range crashes {
		if explained[i] {
			continue
		}
		for p, in := range c.involved(soundAt) {
			if suspects[p] == nil {
				suspects[p] = &suspect{}
			}
			suspects[p].add(i, c.At, in)
		}
	}
	return suspects
}

// findWorst returns the part with the most ends that count, the lowest of them if several have as many. It returns false
// if none has minCrashes.
func findWorst(suspects map[Part]*suspect) (Part, bool) {
	var worst Part
	most := 0
	for _, p := range slices.Sorted(maps.Keys(suspects)) {
		if n := len(suspects[p].times); n > most {
			worst, most = p, n
		}
	}
	return worst, most >= minCrashes
}

// sameCrashes returns the parts with the same ends as s, in order.
func sameCrashes(suspects map[Part]*suspect, s *suspect) []Part {
	var parts []Part
	for _, p := range slices.Sorted(maps.Keys(suspects)) {
		if slices.Equal(suspects[p].crashes, s.crashes) {
			parts = append(parts, p)
		}
	}
	return parts
}
