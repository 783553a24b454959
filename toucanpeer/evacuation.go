package toucanpeer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// doubtTime is how long a peer's evacuations differ from this entry's at the same revision of the store before one of the
	// copies is taken to lack a change.
	doubtTime = 300 * time.Millisecond
	// doubtInterval is the least time between two calls of the function of OnDoubt.
	doubtInterval = time.Second
)

// SetEvacuations sets the failure domains that are evacuated by this entry's copy of the store, and reports them to the peers.
func (s *SharedState) SetEvacuations(domains []string) {
	digest := uint64(0)
	for _, d := range domains {
		digest ^= xxhash.Sum64String(d)
	}
	s.mu.Lock()
	changed := s.evacuations != digest
	s.evacuations = digest
	s.mu.Unlock()
	if changed {
		s.RequestReport()
	}
}

// OnDoubt sets the function to call when this entry's copy of the store or a peer's lacks a change: both have the same revision and
// other evacuations.
func (s *SharedState) OnDoubt(f func(peer string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDoubt = f
}

// compareEvacuations returns since when a peer's evacuations differ from this entry's at the same revision; zero if they don't. since is
// what it returned for the report before. Reports at other revisions say nothing. The caller must hold s.mu.
func (s *SharedState) compareEvacuations(now, since time.Time, r *Report) time.Time {
	switch {
	case r.GetCopyEra() != s.copy.Era || r.GetCopyRevision() != s.copy.Revision:
		return time.Time{}
	case r.GetEvacuations() == s.evacuations:
		return time.Time{}
	case since.IsZero():
		return now
	}
	return since
}

// mustDoubt reports whether a difference since a time is to be told, at most once per doubtInterval. The caller must hold s.mu.
func (s *SharedState) mustDoubt(now, since time.Time) bool {
	if since.IsZero() || now.Sub(since) < doubtTime || now.Sub(s.lastDoubt) < doubtInterval {
		return false
	}
	s.lastDoubt = now
	return true
}
