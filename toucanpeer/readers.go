package toucanpeer

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"toucanport/toucanhistory"
	"toucanport/toucanlog"
	"toucanport/toucanmirror"
	"toucanport/toucanstore"
)

// readerTimeout is how long an entry counts as one that may read the store for others after its last report. Reports are at
// most ReportInterval apart.
const readerTimeout = 700 * time.Millisecond

const (
	// maxSharedBody is the size in bytes of the largest value that is sent in a datagram. Each entry reads larger ones itself.
	maxSharedBody = 8 << 10
	// maxSharedBytes limits the values in one datagram, in bytes, and maxSharedDatagrams the datagrams for one batch. Entries
	// that need the rest read it themselves.
	maxSharedBytes     = 32 << 10
	maxSharedDatagrams = 4
	// changeOverhead is the approximate size of an encoded change without its key and body, in bytes.
	changeOverhead = 24
)

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

// deliverChanges passes on changes that a peer has shared.
func (s *SharedState) deliverChanges(b toucanhistory.Batch) {
	s.mu.Lock()
	f := s.onChanges
	s.mu.Unlock()
	f(b)
}

// ShareChanges sends a batch to the entries of the cell, in several datagrams if it is long.
func (m *Mesh) ShareChanges(b toucanhistory.Batch) {
	peers := m.cellAddresses()
	if len(peers) == 0 {
		return
	}
	for _, part := range splitBatch(b) {
		r := &Report{Sender: m.name, Boot: m.boot, Changes: encodeBatch(part)}
		if size := proto.Size(r); size > maxDatagram {
			m.log.Error(toucanlog.MsgReportNotSent, toucanlog.Bytes, size, toucanlog.Cause, errReportTooLong.Error())
			return
		}
		m.sendReport(peers, r)
	}
}

// splitBatch divides a batch into parts that follow each other and fit into a datagram each. It leaves out the changes from
// the first one on whose value is too large. The parts are of whole revisions.
func splitBatch(b toucanhistory.Batch) []toucanhistory.Batch {
	var parts []toucanhistory.Batch
	part := toucanhistory.Batch{Era: b.Era, After: b.After, To: b.After, Repair: b.Repair}
	size, whole := 0, 0 // whole is the number of changes in part that are of whole revisions.
	for i, c := range b.Changes {
		if len(c.Body) > maxSharedBody {
			part.Changes = part.Changes[:whole]
			return appendPart(parts, part)
		}
		size += len(c.Key) + len(c.Body) + changeOverhead
		part.Changes = append(part.Changes, c)
		if i+1 < len(b.Changes) && b.Changes[i+1].Revision == c.Revision {
			continue
		}
		part.To = max(c.Revision, part.To)
		whole = len(part.Changes)
		if size < maxSharedBytes {
			continue
		}
		if parts = appendPart(parts, part); len(parts) == maxSharedDatagrams {
			return parts
		}
		part = toucanhistory.Batch{Era: b.Era, After: part.To, To: part.To, Repair: b.Repair}
		size, whole = 0, 0
	}
	part.To = b.To
	return appendPart(parts, part)
}

// appendPart appends a part that has changes.
func appendPart(parts []toucanhistory.Batch, part toucanhistory.Batch) []toucanhistory.Batch {
	if len(part.Changes) == 0 {
		return parts
	}
	return append(parts, part)
}

func encodeBatch(b toucanhistory.Batch) *StoreChanges {
	out := &StoreChanges{Era: b.Era, After: b.After, To: b.To, Repair: b.Repair}
	for _, c := range b.Changes {
		out.Changes = append(out.Changes, &StoreChange{Key: c.Key, Body: c.Body, Revision: c.Revision, Removed: c.Removed})
	}
	return out
}

func decodeBatch(c *StoreChanges) toucanhistory.Batch {
	b := toucanhistory.Batch{Era: c.GetEra(), After: c.GetAfter(), To: c.GetTo(), Repair: c.GetRepair()}
	for _, x := range c.GetChanges() {
		b.Changes = append(b.Changes, toucanhistory.Change{
			Value:   toucanstore.Value{Key: x.GetKey(), Body: x.GetBody(), Revision: x.GetRevision()},
			Removed: x.GetRemoved(),
		})
	}
	return b
}
