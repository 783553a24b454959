package toucanadmit

import "time"

// ReplaceablePolicy is a Policy whose implementation can be replaced at run time. Each request stays with the policy
// that it was offered to. A replaced policy is kept until its last request has ended.
type ReplaceablePolicy struct {
	current Policy
	// replaced holds the earlier policies that still have requests.
	replaced []Policy
	// owners maps the ID of each request to its policy.
	owners map[string]Policy
}

// NewReplaceablePolicy returns a ReplaceablePolicy that uses p.
func NewReplaceablePolicy(p Policy) *ReplaceablePolicy {
	return &ReplaceablePolicy{current: p, owners: make(map[string]Policy)}
}

// Replace makes p the policy of all requests offered from now on.
func (s *ReplaceablePolicy) Replace(p Policy) {
	s.replaced = append(s.replaced, s.current)
	s.current = p
	s.removeIdlePolicies()
}

func (s *ReplaceablePolicy) removeIdlePolicies() {
	holding := make(map[Policy]bool, len(s.replaced))
	for _, p := range s.owners {
		holding[p] = true
	}
	kept := s.replaced[:0]
	for _, p := range s.replaced {
		if holding[p] {
			kept = append(kept, p)
		}
	}
	s.replaced = kept
}

// forEach calls f for every policy. Replaced policies come first because their requests arrived first.
func (s *ReplaceablePolicy) forEach(f func(Policy)) {
	for _, p := range s.replaced {
		f(p)
	}
	f(s.current)
}

// Offer implements Policy.
func (s *ReplaceablePolicy) Offer(now time.Time, r Request) error {
	if err := s.current.Offer(now, r); err != nil {
		return err
	}
	s.owners[r.ID] = s.current
	return nil
}

// Next implements Policy.
func (s *ReplaceablePolicy) Next(now time.Time) []Start {
	var starts []Start
	s.forEach(func(p Policy) { starts = append(starts, p.Next(now)...) })
	return starts
}

// Expired implements Policy.
func (s *ReplaceablePolicy) Expired(now time.Time) []string {
	var ids []string
	s.forEach(func(p Policy) { ids = append(ids, p.Expired(now)...) })
	for _, id := range ids {
		s.removeRequest(id)
	}
	return ids
}

// Progress implements Policy.
func (s *ReplaceablePolicy) Progress(now time.Time, id string, generated int) {
	if p, ok := s.owners[id]; ok {
		p.Progress(now, id, generated)
	}
}

// Done implements Policy.
func (s *ReplaceablePolicy) Done(now time.Time, id string, generated int, complete bool) {
	p, ok := s.owners[id]
	if !ok {
		return
	}
	p.Done(now, id, generated, complete)
	s.removeRequest(id)
}

func (s *ReplaceablePolicy) removeRequest(id string) {
	delete(s.owners, id)
	if len(s.replaced) > 0 {
		s.removeIdlePolicies()
	}
}

// Report implements Policy.
func (s *ReplaceablePolicy) Report(now time.Time, e EngineReport) {
	s.forEach(func(p Policy) { p.Report(now, e) })
}

// Load implements Policy. Memory, step time and wait come from the current policy, since its engine reports cover the
// whole engine.
func (s *ReplaceablePolicy) Load(now time.Time) Load {
	l := s.current.Load(now)
	for _, p := range s.replaced {
		old := p.Load(now)
		l.Running += old.Running
		l.Queued += old.Queued
		l.QueuedTokens += old.QueuedTokens
	}
	return l
}

// Wake implements Policy.
func (s *ReplaceablePolicy) Wake(now time.Time) time.Time {
	var first time.Time
	s.forEach(func(p Policy) {
		if w := p.Wake(now); !w.IsZero() && (first.IsZero() || w.Before(first)) {
			first = w
		}
	})
	return first
}
