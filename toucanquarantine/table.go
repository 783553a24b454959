package toucanquarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the evidence that this entry and its peers have, and the verdicts that follow from it. It is safe for
// concurrent use.
type Table struct {
	// verdicts can be read without mu.
	verdicts atomic.Pointer[[]Verdict]
	// hasEvidence is true while there are crashes, so that requests without evidence cost nothing.
	hasEvidence atomic.Bool

	mu sync.Mutex
	// crashes are sorted by time.
	crashes []Crash
	// soundAt holds when a part was answered after a crash. It has an entry only for parts of crashes.
	soundAt map[partKey]time.Time
	// news is signalled when this entry has found new evidence, and changed is closed and replaced when verdicts change.
	news    chan struct{}
	changed chan struct{}
}

// New returns a table without evidence.
func New() *Table {
	t := &Table{soundAt: make(map[partKey]time.Time), news: make(chan struct{}, 1), changed: make(chan struct{})}
	t.verdicts.Store(&[]Verdict{})
	return t
}

// News returns a channel that delivers a value after this entry has found new evidence, which peers should get.
func (t *Table) News() <-chan struct{} { return t.news }

// Changed returns a channel that is closed when the verdicts change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Verdicts returns the quarantines that have not ended.
func (t *Table) Verdicts(now time.Time) []Verdict {
	return slices.DeleteFunc(slices.Clone(*t.verdicts.Load()), func(v Verdict) bool { return now.After(v.Until) })
}

// HasEvidence reports whether engines have ended under requests, so that a request can be quarantined.
func (t *Table) HasEvidence() bool { return t.hasEvidence.Load() }

// Quarantined reports whether a request must not be sent to an engine.
func (t *Table) Quarantined(now time.Time, service, workspace string, parts []Part) bool {
	for _, v := range *t.verdicts.Load() {
		if v.applies(now, service, workspace, parts) {
			return true
		}
	}
	return false
}

// RecordCrash records that an engine ended under a starting run of this entry.
func (t *Table) RecordCrash(now time.Time, endpoint uint64, service string, r Run) {
	if len(r.Parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mergeCrash(Crash{Endpoint: endpoint, Service: service, At: now, Runs: []Run{r}}) {
		t.signalNews()
		t.update(now)
	}
}

// RecordSound records that an engine answered a run with these parts. Only what rules out a crash is kept.
func (t *Table) RecordSound(now time.Time, service string, parts []Part) {
	if !t.hasEvidence.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, p := range parts {
		changed = t.mergeSound(Sound{Service: service, Part: p, At: now}) || changed
	}
	if changed {
		t.signalNews()
		t.update(now)
	}
}

// Apply adds the evidence of a peer.
func (t *Table) Apply(now time.Time, e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, c := range e.Crashes {
		changed = t.mergeCrash(c) || changed
	}
	for _, s := range e.Sounds {
		changed = t.mergeSound(s) || changed
	}
	if changed {
		t.update(now)
	}
}

// Evidence returns all evidence.
func (t *Table) Evidence() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Evidence{Crashes: slices.Clone(t.crashes)}
	for key, at := range t.soundAt {
		e.Sounds = append(e.Sounds, Sound{Service: key.service, Part: key.part, At: at})
	}
	return e
}

// mergeCrash adds a crash, or its runs to the known crash of that endpoint, and reports whether anything was new. The
// caller holds t.mu.
func (t *Table) mergeCrash(c Crash) bool {
	i := slices.IndexFunc(t.crashes, func(k Crash) bool { return k.Endpoint == c.Endpoint })
	if i < 0 {
		runs := c.Runs
		c.Runs = nil
		t.crashes = append(t.crashes, c)
		slices.SortFunc(t.crashes, func(x, y Crash) int { return x.At.Compare(y.At) })
		if len(t.crashes) > maxCrashes {
			t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
		}
		i = slices.IndexFunc(t.crashes, func(k Crash) bool { return k.Endpoint == c.Endpoint })
		c.Runs = runs
	}
	if i < 0 {
		return false
	}
	added := false
	for _, r := range c.Runs {
		next, ok := t.crashes[i].withRun(r)
		t.crashes[i] = next
		added = added || ok
	}
	return added
}

// mergeSound adds a proof and reports whether it rules out a crash that none before did. The caller holds t.mu.
func (t *Table) mergeSound(s Sound) bool {
	key := partKey{s.Service, s.Part}
	if !t.crashedBetween(key, t.soundAt[key], s.At) {
		return false
	}
	t.soundAt[key] = s.At
	return true
}

// crashedBetween reports whether an engine ended under a part after one time and no later than another.
func (t *Table) crashedBetween(key partKey, after, until time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(c Crash) bool {
		return c.At.After(after) && !c.At.After(until) && c.has(key)
	})
}

// has reports whether a run of the crash has a part.
func (c Crash) has(key partKey) bool {
	return c.Service == key.service && slices.ContainsFunc(c.Runs, func(r Run) bool { return slices.Contains(r.Parts, key.part) })
}

// signalNews wakes the goroutine that waits for News.
func (t *Table) signalNews() {
	select {
	case t.news <- struct{}{}:
	default:
	}
}

// update drops old evidence and computes the verdicts again. The caller holds t.mu.
func (t *Table) update(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceLife })
	for key := range t.soundAt {
		if !slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.has(key) }) {
			delete(t.soundAt, key)
		}
	}
	t.hasEvidence.Store(len(t.crashes) > 0)
	byService := make(map[string][]Crash)
	var services []string
	for _, c := range t.crashes {
		if byService[c.Service] == nil {
			services = append(services, c.Service)
		}
		byService[c.Service] = append(byService[c.Service], c)
	}
	slices.Sort(services)
	verdicts := []Verdict{}
	for _, s := range services {
		verdicts = append(verdicts, decide(byService[s], t.soundAt)...)
	}
	if slices.EqualFunc(verdicts, *t.verdicts.Load(), equalVerdicts) {
		return
	}
	t.verdicts.Store(&verdicts)
	close(t.changed)
	t.changed = make(chan struct{})
}

func equalVerdicts(x, y Verdict) bool {
	return x.Service == y.Service && slices.Equal(x.Parts, y.Parts) && x.OneWorkspace == y.OneWorkspace &&
		x.Workspace == y.Workspace && x.Crashes == y.Crashes && x.Until.Equal(y.Until)
}
