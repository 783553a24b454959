package toucanpeer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanport/toucanhistory"
	"toucanport/toucanmirror"
)

// readerTimeout is how long an entry counts as one that may read the store for others after its last report. Reports are at
// most ReportInterval apart.
const readerTimeout = 700 * time.Millisecond

// Readers divides the reading of the store among the entries that hear each other. Entries are ranked by a hash of their
// names. It implements toucanmirror.Readers.
type Readers struct {
	name  string
	state *SharedState
	send  func(toucanhistory.Batch)
}

var _ toucanmirror.Readers = (*Readers)(nil)

// NewReaders returns the Readers of the entry name. send sends a batch to the entry's peers.
func NewReaders(name string, state *SharedState, send func(toucanhistory.Batch)) *Readers {
	return &Readers{name: name, state: state, send: send}
}

// Rank implements toucanmirror.Readers. Entries that are shutting down or that the store turns away don't count.
func (r *Readers) Rank(now time.Time) int {
	if r.state.StoreSilent(now) {
		return 0
	}
	own := xxhash.Sum64String(r.name)
	rank := 0
	for _, name := range r.state.readerPeers(now) {
		if h := xxhash.Sum64String(name); h < own || h == own && name < r.name {
			rank++
		}
	}
	return rank
}

// Newest implements toucanmirror.Readers.
func (r *Readers) Newest(now time.Time) toucanhistory.Position { return r.state.newestCopy(now) }

// StoreAge implements toucanmirror.Readers.
func (r *Readers) StoreAge(now time.Time) time.Duration { return r.state.storeAge(now) }

// SetPosition implements toucanmirror.Readers.
func (r *Readers) SetPosition(p toucanhistory.Position) { r.state.setCopy(p) }

// Share implements toucanmirror.Readers.
func (r *Readers) Share(b toucanhistory.Batch) { r.send(b) }

// readerPeers returns the names of the peers that can read the store for others.
func (s *SharedState) readerPeers(now time.Time) []string {
	return s.filterPeersWithin(now, readerTimeout, func(r *Report) bool {
		return !r.GetStopping() && !r.GetStoreAway() && r.GetCopyRevision() > 0
	})
}

// newestCopy returns the newest position among the copies of the peers that can read the store for others.
func (s *SharedState) newestCopy(now time.Time) toucanhistory.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest toucanhistory.Position
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) > readerTimeout || p.report.GetStoreAway() {
			continue
		}
		at := toucanhistory.Position{Era: p.report.GetCopyEra(), Revision: p.report.GetCopyRevision()}
		if at.IsAfter(newest) {
			newest = at
		}
	}
	return newest
}

// setCopy records the position of this entry's copy of the store for the reports.
func (s *SharedState) setCopy(p toucanhistory.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = p
}

// OnChanges sets the function to call when a peer shares changes that it has read from the store.
func (s *SharedState) OnChanges(f func(toucanhistory.Batch)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChanges = f
}

// DeliverChanges passes on changes that a peer has shared.
func (s *SharedState) DeliverChanges(b toucanhistory.Batch) {
	s.mu.Lock()
	f := s.onChanges
	s.mu.Unlock()
	f(b)
}
