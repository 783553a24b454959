// Package toucanpeer holds what entries know of each other's state: the load that each has placed on endpoints, the endpoints that
// are draining, the generations being moved, and what each has of the store. It makes this entry's reports and applies those of its
// peers; toucanmesh sends them.
package toucanpeer

import (
	"sync"
	"time"

	"toucanport/toucanhistory"
	"toucanport/toucanmoveorder"
	"toucanport/toucanpace"
	"toucanport/toucanplace"
	"toucanport/toucanrank"
)

const (
	// ReportInterval is the time between two reports while nothing changes.
	ReportInterval = 250 * time.Millisecond
	// reportTimeout is how long a peer's last report stays valid.
	reportTimeout = 2 * time.Second
)

// SharedState holds this entry's state for its peers and the latest report of each peer. It is safe for concurrent use.
type SharedState struct {
	placer *toucanplace.Placer
	// ranks learns the requests of each rank at all entries; nil for none.
	ranks *toucanrank.Table

	mu sync.Mutex
	// peers holds the newest report of each peer, by the peer's name.
	peers map[string]peerReport
	// generations holds this entry's generations at draining endpoints, and copying the number of its memory copies in
	// progress, both by endpoint key.
	generations map[uint64][]toucanmoveorder.Generation
	copying     map[uint64]int
	// leaving holds the endpoints that this entry itself found to be draining or recently removed.
	leaving map[uint64]bool
	// probedLeaving holds the endpoints that were found to be draining by a probe, with the time at which that result
	// expires.
	probedLeaving map[uint64]time.Time
	// storeDown is true during a store outage, as seen by this entry.
	storeDown bool
	// storeUpSince is when the store became available to this entry.
	storeUpSince time.Time
	// lastStoreAnswer is when the store last answered this entry; zero if it never did.
	lastStoreAnswer time.Time
	// lastSnapshot is when this entry last read the whole store; zero if it never did.
	lastSnapshot time.Time
	// stopping is true once this entry has begun to shut down.
	stopping bool
	// settings is the version of this entry's settings, newestSettings the highest version that any peer reported.
	settings, newestSettings uint64
	// onNewerSettings is called when a peer reports newer settings than this entry has seen, with the peer's name and
	// the version.
	onNewerSettings func(peer string, version uint64)
	// copy is the position of this entry's copy of the store; zero if it has none.
	copy toucanhistory.Position
	// onChanges is called with the changes that a peer has read from the store.
	onChanges func(toucanhistory.Batch)
	// paces is what is learned of endpoints' paces, and pacesSentAt the time of the last report with it.
	paces       *toucanpace.Learner
	pacesSentAt time.Time
	// evacuations is the digest of this entry's evacuations, onDoubt is called if a peer has others at the same revision, and
	// lastDoubt is when it was called last.
	evacuations uint64
	onDoubt     func(peer string)
	lastDoubt   time.Time
	// changed is closed and replaced whenever a peer's report is applied.
	changed chan struct{}
	// sendNow is signalled when the next report must be sent without waiting for the interval.
	sendNow chan struct{}
}

// peerReport is the newest report of a peer. boot and serial order the reports of a peer, as in Report.
type peerReport struct {
	receivedAt time.Time
	boot       uint64
	serial     uint64
	report     *Report
	// differsSince is since when the peer's evacuations differ; zero if they don't.
	differsSince time.Time
}

// ReportAge returns the age of the oldest valid peer report, and the number of peers with a valid report.
func (s *SharedState) ReportAge(now time.Time) (oldest time.Duration, peers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if age := now.Sub(p.receivedAt); age <= reportTimeout {
			oldest = max(oldest, age)
			peers++
		}
	}
	return oldest, peers
}

// ActivePeers returns the names of the peers with a valid report that are not shutting down.
func (s *SharedState) ActivePeers(now time.Time) []string {
	return s.filterPeers(now, func(r *Report) bool { return !r.GetStopping() })
}

// ActiveWithin returns the names of the peers whose last report is no older than an age and that are not shutting down.
func (s *SharedState) ActiveWithin(now time.Time, age time.Duration) []string {
	return s.filterPeersWithin(now, age, func(r *Report) bool { return !r.GetStopping() })
}

// IsStopping reports whether this entry is shutting down.
func (s *SharedState) IsStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// filterPeers returns the names of the peers with a valid report that accept returns true for.
func (s *SharedState) filterPeers(now time.Time, accept func(*Report) bool) []string {
	return s.filterPeersWithin(now, reportTimeout, accept)
}

// filterPeersWithin is filterPeers for reports that are no older than an age.
func (s *SharedState) filterPeersWithin(now time.Time, age time.Duration, accept func(*Report) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) <= age && accept(p.report) {
			names = append(names, name)
		}
	}
	return names
}

// NewSharedState returns a SharedState without peer reports, which reports the load recorded in placer.
func NewSharedState(placer *toucanplace.Placer, opts ...StateOption) *SharedState {
	s := &SharedState{
		placer:          placer,
		peers:           make(map[string]peerReport),
		generations:     make(map[uint64][]toucanmoveorder.Generation),
		copying:         make(map[uint64]int),
		leaving:         make(map[uint64]bool),
		probedLeaving:   make(map[uint64]time.Time),
		onNewerSettings: func(string, uint64) {},
		onChanges:       func(toucanhistory.Batch) {},
		paces:           toucanpace.New(),
		onDoubt:         func(string) {},
		changed:         make(chan struct{}),
		sendNow:         make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Changed returns a channel that is closed when the next peer report is applied.
func (s *SharedState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyChange wakes the goroutines that wait on Changed. The caller must hold s.mu.
func (s *SharedState) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// RequestReport makes Urgent deliver, so that the next report is sent without delay.
func (s *SharedState) RequestReport() {
	select {
	case s.sendNow <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that delivers a value when the next report must be sent without waiting for the interval.
func (s *SharedState) Urgent() <-chan struct{} { return s.sendNow }

// LoadChanged returns a channel that is closed when the load that this entry has placed on endpoints changes.
func (s *SharedState) LoadChanged() <-chan struct{} { return s.placer.Changed() }

// SetLeaving replaces the set of endpoints that this entry itself found to be draining or recently removed. An added
// endpoint is reported at once.
func (s *SharedState) SetLeaving(keys []uint64) {
	s.mu.Lock()
	next := make(map[uint64]bool, len(keys))
	added := false
	for _, k := range keys {
		next[k] = true
		added = added || !s.leaving[k]
	}
	s.leaving = next
	s.mu.Unlock()
	if added {
		s.RequestReport()
	}
}

// SetStopping reports to the peers that this entry is shutting down.
func (s *SharedState) SetStopping() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.RequestReport()
}

// probeValidity is how long an endpoint counts as draining after a probe found it so.
const probeValidity = 6 * time.Second

// SetProbedLeaving records that a probe found an endpoint to be draining, and reports it to the peers.
func (s *SharedState) SetProbedLeaving(now time.Time, endpoint uint64) {
	s.mu.Lock()
	_, known := s.probedLeaving[endpoint]
	s.probedLeaving[endpoint] = now.Add(probeValidity)
	leaving := s.mergeLeaving(now)
	s.mu.Unlock()
	if known {
		return
	}
	s.placer.SetReportedLeaving(leaving)
	s.RequestReport()
}

// Apply replaces the sender's previous report with r. It returns false and ignores r if r is older than the previous
// report, or was sent by an earlier process of the same name.
func (s *SharedState) Apply(now time.Time, r *Report) bool {
	s.mu.Lock()
	previous, ok := s.peers[r.GetSender()]
	if ok && (r.GetBoot() < previous.boot || r.GetBoot() == previous.boot && r.GetSerial() <= previous.serial) {
		s.mu.Unlock()
		return false
	}
	differsSince := s.compareEvacuations(now, previous.differsSince, r)
	s.peers[r.GetSender()] = peerReport{receivedAt: now, boot: r.GetBoot(), serial: r.GetSerial(), report: r, differsSince: differsSince}
	doubts, onDoubt := s.mustDoubt(now, differsSince), s.onDoubt
	leaving := s.mergeLeaving(now)
	newer := r.GetSettingsVersion() > max(s.settings, s.newestSettings)
	s.newestSettings = max(s.newestSettings, r.GetSettingsVersion())
	notify := s.onNewerSettings
	s.notifyChange()
	s.mu.Unlock()
	if newer {
		notify(r.GetSender(), r.GetSettingsVersion())
	}
	if doubts {
		onDoubt(r.GetSender())
	}
	s.placer.Observe(now, r.GetSender(), usesByEndpoint(r))
	s.applyPaces(now, r)
	s.applyRanks(now, r)
	s.placer.MarkUnreachable(now, r.GetSender(), r.GetUnreachable())
	s.placer.SetReportedLeaving(leaving)
	return true
}

// mergeLeaving drops expired reports and probe results, and returns the endpoints that are draining according to the
// remaining ones. The caller must hold s.mu.
func (s *SharedState) mergeLeaving(now time.Time) map[uint64]bool {
	leaving := make(map[uint64]bool)
	for k, until := range s.probedLeaving {
		if now.After(until) {
			delete(s.probedLeaving, k)
			continue
		}
		leaving[k] = true
	}
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			delete(s.peers, name)
			continue
		}
		for _, k := range p.report.GetLeaving() {
			leaving[k] = true
		}
	}
	return leaving
}

// Expire drops the reports and probe results that are no longer valid at now.
func (s *SharedState) Expire(now time.Time) {
	s.mu.Lock()
	leaving := s.mergeLeaving(now)
	s.mu.Unlock()
	s.placer.SetReportedLeaving(leaving)
}

func usesByEndpoint(r *Report) map[uint64]toucanplace.Use {
	uses := make(map[uint64]toucanplace.Use, len(r.GetUses()))
	for _, u := range r.GetUses() {
		uses[u.GetEndpoint()] = toucanplace.Use{
			Requests: int(u.GetRequests()),
			Tokens:   int(u.GetTokens()),
			Unread:   int(u.GetUnread()),
			Held:     int(u.GetHeld()),
			Exposed:  int(u.GetExposed()),
		}
	}
	return uses
}

// Report returns a report of this entry's current state, without sender, boot and serial.
func (s *SharedState) Report() *Report {
	r := &Report{Unreachable: s.placer.Unreachable(time.Now()), Leaving: s.placer.SaidLeaving(), Ranks: s.rankRows(time.Now())}
	for key, u := range s.placer.OwnUse() {
		r.Uses = append(r.Uses, &EndpointUse{
			Endpoint: key,
			Requests: uint32(max(u.Requests, 0)),
			Tokens:   uint32(max(u.Tokens, 0)),
			Unread:   uint32(max(u.Unread, 0)),
			Held:     uint32(max(u.Held, 0)),
			Exposed:  uint32(max(u.Exposed, 0)),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.leaving {
		r.Leaving = append(r.Leaving, key)
	}
	for key := range s.probedLeaving {
		r.Leaving = append(r.Leaving, key)
	}
	r.Paces = s.reportedPaces(time.Now())
	r.StoreAway = s.storeDown
	r.Stopping = s.stopping
	r.StoreSilentMillis = reportedAge(s.lastStoreAnswer)
	r.SnapshotAgeMillis = reportedAge(s.lastSnapshot)
	r.Lends = s.canServeSnapshot(time.Now())
	r.SettingsVersion = s.settings
	r.CopyEra, r.CopyRevision = s.copy.Era, s.copy.Revision
	r.Evacuations = s.evacuations
	for endpoint, generations := range s.generations {
		for _, g := range generations {
			r.Runs = append(r.Runs, &Run{
				Id:         g.ID,
				Endpoint:   endpoint,
				Tokens:     uint32(g.Tokens),
				LeftMillis: uint32(max(g.Remaining.Milliseconds(), 0)),
			})
		}
	}
	for key := range s.copying {
		r.CopyingTo = append(r.CopyingTo, key)
	}
	return r
}
