package toucanmesh

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"toucanport/toucanmember"
	"toucanport/toucanpeer"
	"toucanport/toucanplace"
	"toucanport/toucanrate"
)

// memberTimeout is how long a peer counts as one that keeps limits with this entry after its last report.
const memberTimeout = time.Second

// RateLimits are limits of endpoints on requests a second that entries keep together.
type RateLimits interface {
	// Words returns what endpoints said to this entry.
	Words(now time.Time) []toucanrate.Word
	// Apply adds what endpoints said to a peer.
	Apply(now time.Time, words []toucanrate.Word)
	// Answer handles an ask of a peer. It returns false if there is no grant to send.
	Answer(now time.Time, a toucanrate.Ask) (toucanrate.Grant, bool)
	// Deliver handles a grant of a peer.
	Deliver(g toucanrate.Grant)
}

// WithLimits shares limits with the entries of the cell. Connect them with the mesh.
func WithLimits(l RateLimits) MeshOption { return func(m *Mesh) { m.limits = l } }

var (
	_ toucanrate.Peers    = (*Mesh)(nil)
	_ toucanplace.Entries = (*Mesh)(nil)
)

// Members implements toucanrate.Peers.
func (m *Mesh) Members(now time.Time) []string {
	members := m.state.ActiveWithin(now, memberTimeout)
	if len(members) == 0 || !m.state.IsStopping() {
		members = append(members, m.name)
	}
	slices.Sort(members)
	return members
}

// Registered implements toucanrate.Peers. It counts the entries of the cell.
func (m *Mesh) Registered() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	cells := toucanmember.NewCells(len(m.peers) + 1)
	n := 1
	for name := range m.peers {
		if _, unlisted := m.unlistedSince[name]; !unlisted && cells.Of(name) == cells.Of(m.name) {
			n++
		}
	}
	return n
}

// Known implements toucanplace.Entries. It returns the names of the entries of the cell in sorted order, with those that are no
// longer registered or heard and may still send requests.
func (m *Mesh) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	cells := toucanmember.NewCells(len(m.peers) + 1)
	names := []string{m.name}
	for name := range m.peers {
		if cells.Of(name) == cells.Of(m.name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ReportSoon implements toucanrate.Peers.
func (m *Mesh) ReportSoon() { m.state.RequestReport() }

// Ask implements toucanrate.Peers.
func (m *Mesh) Ask(peer string, a toucanrate.Ask) {
	m.sendSlotMessage(peer, &toucanpeer.Report{Ask: &toucanpeer.SlotAsk{
		Serial:         a.Serial,
		PatienceMicros: micros(a.Patience),
		Limit:          encodeWord(time.Now(), a.Word),
		Spent:          a.Spent,
	}})
}

// sendSlotMessage sends a report with an ask or a grant to a peer, if it is known.
func (m *Mesh) sendSlotMessage(peer string, r *toucanpeer.Report) {
	m.mu.Lock()
	address, ok := m.peers[peer]
	m.mu.Unlock()
	if !ok {
		return
	}
	r.Sender, r.Boot = m.name, m.boot
	m.sendReport([]netip.AddrPort{address}, r)
}

// applySlotMessage handles the ask or the grant in a report, and reports whether there was one.
func (m *Mesh) applySlotMessage(now time.Time, r *toucanpeer.Report) bool {
	if m.limits == nil || r.GetAsk() == nil && r.GetGrant() == nil {
		return false
	}
	if g := r.GetGrant(); g != nil {
		m.limits.Deliver(toucanrate.Grant{
			Serial: g.GetSerial(), Granted: g.GetGranted(), Wait: fromMicros(g.GetWaitMicros()), Next: fromMicros(g.GetNextMicros()),
		})
		return true
	}
	a := r.GetAsk()
	g, ok := m.limits.Answer(now, toucanrate.Ask{
		Serial: a.GetSerial(), Patience: fromMicros(a.GetPatienceMicros()), Word: decodeWord(now, a.GetLimit()), Spent: a.GetSpent(),
	})
	if ok {
		m.sendSlotMessage(r.GetSender(), &toucanpeer.Report{Grant: &toucanpeer.SlotGrant{
			Serial: g.Serial, Granted: g.Granted, WaitMicros: micros(g.Wait), NextMicros: micros(g.Next),
		}})
	}
	return true
}

func micros(d time.Duration) uint32 { return uint32(min(max(d.Microseconds(), 0), math.MaxUint32)) }

func fromMicros(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }

func encodeWords(now time.Time, words []toucanrate.Word) []*toucanpeer.EndpointLimit {
	list := make([]*toucanpeer.EndpointLimit, 0, len(words))
	for _, w := range words {
		list = append(list, encodeWord(now, w))
	}
	return list
}

func encodeWord(now time.Time, w toucanrate.Word) *toucanpeer.EndpointLimit {
	return &toucanpeer.EndpointLimit{Endpoint: w.Endpoint, Limited: w.Limited, PerSecond: w.PerSecond, AgeMillis: ageMillis(now, w.At)}
}

func decodeWords(now time.Time, list []*toucanpeer.EndpointLimit) []toucanrate.Word {
	words := make([]toucanrate.Word, 0, len(list))
	for _, l := range list {
		words = append(words, decodeWord(now, l))
	}
	return words
}

// decodeWord returns a word in a report that was received at now.
func decodeWord(now time.Time, l *toucanpeer.EndpointLimit) toucanrate.Word {
	at := now.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond)
	return toucanrate.Word{Endpoint: l.GetEndpoint(), Limited: l.GetLimited(), PerSecond: l.GetPerSecond(), At: at}
}
