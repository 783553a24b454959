package toucanmesh

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"toucanport/toucanpeer"
	"toucanport/toucanquarantine"
)

const (
	// evidenceInterval is the time after which one random peer gets all evidence, which repairs lost datagrams.
	evidenceInterval = 2 * time.Second
	// evidenceRepeat is the time between repeats of new evidence to all peers, and evidenceRepeats their number.
	evidenceRepeat  = 150 * time.Millisecond
	evidenceRepeats = 2
	// recentEvidence is how long evidence is new.
	recentEvidence = 5 * time.Second
	// crashesPerReport and soundsPerReport bound the evidence in one datagram.
	crashesPerReport = 1
	soundsPerReport  = 256
)

// EvidenceTable is the evidence about parts of prompts that end engines.
type EvidenceTable interface {
	// News returns a channel that delivers a value after this entry has found new evidence.
	News() <-chan struct{}
	Evidence() toucanquarantine.Evidence
	// Apply adds the evidence of a peer.
	Apply(now time.Time, e toucanquarantine.Evidence)
}

// MeshOption configures a Mesh.
type MeshOption func(*Mesh)

// WithEvidence shares the evidence of a table with the entries of all cells.
func WithEvidence(t EvidenceTable) MeshOption { return func(m *Mesh) { m.evidence = t } }

// shareEvidence sends evidence until ctx is done: what is new to all peers, and everything to peers that have started
// and now and then to a random one.
func (m *Mesh) shareEvidence(ctx context.Context) {
	all := time.NewTicker(evidenceInterval)
	defer all.Stop()
	repeat := time.NewTicker(evidenceRepeat)
	defer repeat.Stop()
	repeats := 0
	for {
		select {
		case <-m.evidence.News():
			repeats = evidenceRepeats
			m.sendEvidence(m.allAddresses(), recentEvidence)
		case <-repeat.C:
			if repeats > 0 {
				repeats--
				m.sendEvidence(m.allAddresses(), recentEvidence)
			}
		case address := <-m.startedPeers:
			m.sendEvidence([]netip.AddrPort{address}, 0)
		case <-all.C:
			if peers := m.allAddresses(); len(peers) > 0 {
				m.sendEvidence([]netip.AddrPort{peers[rand.IntN(len(peers))]}, 0)
			}
		case <-ctx.Done():
			return
		}
	}
}

// allAddresses returns the addresses of the peers in all cells.
func (m *Mesh) allAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(m.peers))
	for _, address := range m.peers {
		list = append(list, address)
	}
	return list
}

// sendEvidence sends the evidence that is no older than newest to peers; all if newest is zero.
func (m *Mesh) sendEvidence(peers []netip.AddrPort, newest time.Duration) {
	now := time.Now()
	for _, r := range evidenceReports(now, m.evidence.Evidence(), newest) {
		r.Sender, r.Boot = m.name, m.boot
		m.sendReport(peers, r)
	}
}

// evidenceReports returns evidence as reports that fit into datagrams.
func evidenceReports(now time.Time, e toucanquarantine.Evidence, newest time.Duration) []*toucanpeer.Report {
	isOld := func(at time.Time) bool { return newest > 0 && now.Sub(at) > newest }
	var reports []*toucanpeer.Report
	r := &toucanpeer.Report{}
	flush := func() {
		if len(r.GetCrashes())+len(r.GetSounds()) > 0 {
			reports = append(reports, r)
			r = &toucanpeer.Report{}
		}
	}
	for _, c := range e.Crashes {
		if isOld(c.At) {
			continue
		}
		r.Crashes = append(r.Crashes, encodeCrash(now, c))
		if len(r.GetCrashes()) == crashesPerReport {
			flush()
		}
	}
	for _, s := range e.Sounds {
		if isOld(s.At) {
			continue
		}
		r.Sounds = append(r.Sounds, &toucanpeer.Sound{Service: s.Service, Part: uint64(s.Part), AgeMillis: ageMillis(now, s.At)})
		if len(r.GetSounds()) == soundsPerReport {
			flush()
		}
	}
	flush()
	return reports
}

func ageMillis(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

func encodeCrash(now time.Time, c toucanquarantine.Crash) *toucanpeer.Crash {
	out := &toucanpeer.Crash{Endpoint: c.Endpoint, Service: c.Service, AgeMillis: ageMillis(now, c.At)}
	for _, run := range c.Runs {
		encoded := &toucanpeer.CrashRun{Workspace: run.Workspace, LastedMillis: uint32(min(run.Lasted.Milliseconds(), math.MaxUint32))}
		for _, p := range run.Parts {
			encoded.Parts = append(encoded.Parts, uint64(p))
		}
		out.Runs = append(out.Runs, encoded)
	}
	return out
}

// decodeEvidence returns the evidence in a report that was received at now.
func decodeEvidence(now time.Time, r *toucanpeer.Report) toucanquarantine.Evidence {
	at := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var e toucanquarantine.Evidence
	for _, c := range r.GetCrashes() {
		crash := toucanquarantine.Crash{Endpoint: c.GetEndpoint(), Service: c.GetService(), At: at(c.GetAgeMillis())}
		for _, run := range c.GetRuns() {
			decoded := toucanquarantine.Run{
				Workspace: run.GetWorkspace(), Lasted: time.Duration(run.GetLastedMillis()) * time.Millisecond,
			}
			for _, p := range run.GetParts() {
				decoded.Parts = append(decoded.Parts, toucanquarantine.Part(p))
			}
			crash.Runs = append(crash.Runs, decoded)
		}
		e.Crashes = append(e.Crashes, crash)
	}
	for _, s := range r.GetSounds() {
		e.Sounds = append(e.Sounds, toucanquarantine.Sound{Service: s.GetService(), Part: toucanquarantine.Part(s.GetPart()), At: at(s.GetAgeMillis())})
	}
	return e
}
