// Package toucanpeer exchanges state between entries: the load that each has placed on endpoints, the endpoints that
// are leaving and the generations being moved. Reports are UDP datagrams and each replaces the previous one, so a lost
// report is repaired by the next. A TCP stream would delay new reports behind the retransmission of stale ones.
package toucanpeer

import (
	"slices"
	"sync"
	"time"

	"toucanport/toucanmoveorder"
	"toucanport/toucanplace"
)

// reportTimeout is how long a peer's last report stays valid.
const reportTimeout = 2 * time.Second

// SharedState holds this entry's state for its peers and the latest report of each peer. It is safe for concurrent use.
type SharedState struct {
	book *toucanplace.Placer

	mu sync.Mutex
	// peers holds the newest report of each peer, by the peer's name.
	peers map[string]peerReport
	// runs holds this entry's generations at leaving endpoints, and copying the number of its memory copies in
	// progress, both by endpoint key.
	runs    map[uint64][]toucanmoveorder.Generation
	copying map[uint64]int
	// leaving holds the endpoints that this entry itself found to be leaving.
	leaving map[uint64]bool
	// probedLeaving holds the endpoints that were found to be leaving by a probe, with the time at which that result
	// expires.
	probedLeaving map[uint64]time.Time
	// storeDown is true during a store outage, as seen by this entry.
	storeDown bool
	// storeUpSince is when the store became available to this entry.
	storeUpSince time.Time
	// lastStoreAnswer is when the store last answered this entry; zero if it never did.
	lastStoreAnswer time.Time
	// stopping is true once this entry has begun to shut down.
	stopping bool
	// settings is the version of this entry's settings, newestSettings the highest version that any peer reported.
	settings, newestSettings uint64
	// onBehind is called when a peer reports newer settings than this entry has seen.
	onBehind func()
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
}

// OnNewerSettings sets the function to call when a peer reports settings newer than this entry's and than those of earlier
// reports.
func (b *SharedState) OnNewerSettings(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onBehind = f
}

// SetSettings records the version of the settings in force and reports it to the peers.
func (b *SharedState) SetSettings(version uint64) {
	b.mu.Lock()
	b.settings = version
	b.mu.Unlock()
	b.requestReport()
}

// PeersWithStore returns the number of peers with a valid report that can reach the store.
func (b *SharedState) PeersWithStore() int {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= reportTimeout && !p.report.GetStoreAway() {
			n++
		}
	}
	return n
}

// ReportAge returns the age of the oldest valid peer report, and the number of peers with a valid report.
func (b *SharedState) ReportAge(now time.Time) (oldest time.Duration, peers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if age := now.Sub(p.receivedAt); age <= reportTimeout {
			oldest = max(oldest, age)
			peers++
		}
	}
	return oldest, peers
}

// SnapshotPeers returns the names of the peers with a valid report that have a complete copy of the store.
func (b *SharedState) SnapshotPeers(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, p := range b.peers {
		if now.Sub(p.receivedAt) <= reportTimeout && p.report.GetLends() {
			names = append(names, name)
		}
	}
	return names
}

// NewSharedState returns a board without peers that reports the load recorded in book.
func NewSharedState(book *toucanplace.Placer) *SharedState {
	return &SharedState{
		book:          book,
		peers:         make(map[string]peerReport),
		runs:          make(map[uint64][]toucanmoveorder.Generation),
		copying:       make(map[uint64]int),
		leaving:       make(map[uint64]bool),
		probedLeaving: make(map[uint64]time.Time),
		onBehind:      func() {},
		changed:       make(chan struct{}),
		sendNow:       make(chan struct{}, 1),
	}
}

// Changed returns a channel that is closed when the next peer report is applied.
func (b *SharedState) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// notifyChange wakes the goroutines that wait on Changed. The caller must hold b.mu.
func (b *SharedState) notifyChange() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// requestReport makes the mesh send the next report without delay.
func (b *SharedState) requestReport() {
	select {
	case b.sendNow <- struct{}{}:
	default:
	}
}

// SetLeaving replaces the set of endpoints that this entry itself found to be leaving. An added endpoint is reported at
// once.
func (b *SharedState) SetLeaving(keys []uint64) {
	b.mu.Lock()
	next := make(map[uint64]bool, len(keys))
	added := false
	for _, k := range keys {
		next[k] = true
		added = added || !b.leaving[k]
	}
	b.leaving = next
	b.mu.Unlock()
	if added {
		b.requestReport()
	}
}

// SetStoreDown records whether this entry sees a store outage.
func (b *SharedState) SetStoreDown(away bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeDown = away
	if !away {
		b.storeUpSince = time.Now()
	}
}

// snapshotDelay is how long the store must have been available to an entry before the entry serves snapshots to peers.
// Endpoints whose leases expired during an outage are registered again within two seconds of its end.
const snapshotDelay = 2500 * time.Millisecond

// canServeSnapshot reports whether this entry's copy of the store is complete. The caller must hold b.mu.
func (b *SharedState) canServeSnapshot(now time.Time) bool {
	return !b.storeDown && b.settings > 0 && now.Sub(b.storeUpSince) > snapshotDelay
}

// StoreUnreachable reports whether neither this entry nor any peer with a valid report can reach the store. No entry then learns
// from the store which endpoints are leaving.
func (b *SharedState) StoreUnreachable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= reportTimeout && !p.report.GetStoreAway() {
			return false
		}
	}
	return b.storeDown
}

// RecordStoreAnswer records that the store answered this entry now.
func (b *SharedState) RecordStoreAnswer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastStoreAnswer = time.Now()
}

// SetStopping reports to the peers that this entry is shutting down.
func (b *SharedState) SetStopping() {
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	b.requestReport()
}

// storeSilentAfter exceeds the longest time between two answers of the store to one entry. All entries can call the
// store at the same moment, so their calls do not shorten this time.
const storeSilentAfter = 850 * time.Millisecond

// StoreSilent reports whether the store has answered neither this entry nor any peer with a valid report within
// storeSilentAfter. It detects an outage sooner than SetStoreAway and StoreUnreachable do, but with more false positives.
func (b *SharedState) StoreSilent(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now.Sub(b.lastStoreAnswer)
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			continue
		}
		if ms := p.report.GetStoreSilentMillis(); ms > 0 {
			age = min(age, now.Sub(p.receivedAt)+time.Duration(ms)*time.Millisecond)
		}
	}
	return age > storeSilentAfter
}

// ActivePeers returns the names of the peers with a valid report that are not shutting down.
func (b *SharedState) ActivePeers(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, p := range b.peers {
		if now.Sub(p.receivedAt) <= reportTimeout && !p.report.GetStopping() {
			names = append(names, name)
		}
	}
	return names
}

// probeValidity is how long an endpoint counts as leaving after a probe found it so.
const probeValidity = 6 * time.Second

// SetProbedLeaving records that a probe found an endpoint to be leaving, and reports it to the peers.
func (b *SharedState) SetProbedLeaving(now time.Time, endpoint uint64) {
	b.mu.Lock()
	_, known := b.probedLeaving[endpoint]
	b.probedLeaving[endpoint] = now.Add(probeValidity)
	leaving := b.mergeLeaving(now)
	b.mu.Unlock()
	if known {
		return
	}
	b.book.SetReportedLeaving(leaving)
	b.requestReport()
}

// Announce replaces this entry's generations at a leaving endpoint. With no runs, the endpoint is removed from the
// reports.
func (b *SharedState) Announce(endpoint uint64, runs []toucanmoveorder.Generation) {
	b.mu.Lock()
	same := sameRuns(b.runs[endpoint], runs)
	if len(runs) == 0 {
		delete(b.runs, endpoint)
	} else {
		b.runs[endpoint] = runs
	}
	b.mu.Unlock()
	if !same {
		b.requestReport()
	}
}

// sameRuns reports whether two lists hold the same runs in the same order. It ignores their progress, which needs no
// immediate report.
func sameRuns(a, b []toucanmoveorder.Generation) bool {
	return slices.EqualFunc(a, b, func(x, y toucanmoveorder.Generation) bool { return x.ID == y.ID })
}

// Ahead reports whether a peer has a generation at the endpoint that must be moved before r.
func (b *SharedState) Ahead(now time.Time, endpoint uint64, r toucanmoveorder.Generation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			continue
		}
		for _, other := range p.report.GetRuns() {
			if other.GetEndpoint() == endpoint && toucanmoveorder.Before(other.run(), r) {
				return true
			}
		}
	}
	return false
}

func (r *Run) run() toucanmoveorder.Generation {
	return toucanmoveorder.Generation{ID: r.GetId(), Tokens: int(r.GetTokens()), Remaining: time.Duration(r.GetLeftMillis()) * time.Millisecond}
}

// BeginCopy records that memory is being copied to an endpoint, until the caller calls the returned function.
func (b *SharedState) BeginCopy(endpoint uint64) (end func()) {
	b.mu.Lock()
	b.copying[endpoint]++
	b.mu.Unlock()
	b.requestReport()
	return func() {
		b.mu.Lock()
		if b.copying[endpoint]--; b.copying[endpoint] == 0 {
			delete(b.copying, endpoint)
		}
		b.mu.Unlock()
		b.requestReport()
	}
}

// Copying reports whether this entry or a peer is copying memory to an endpoint.
func (b *SharedState) Copying(now time.Time, endpoint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.copying[endpoint] > 0 {
		return true
	}
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			continue
		}
		for _, k := range p.report.GetCopyingTo() {
			if k == endpoint {
				return true
			}
		}
	}
	return false
}

// Apply replaces the sender's previous report with r. It returns false and ignores r if r is older than the previous
// report, or was sent by an earlier process of the same name.
func (b *SharedState) Apply(now time.Time, r *Report) bool {
	b.mu.Lock()
	previous, ok := b.peers[r.GetSender()]
	if ok && (r.GetBoot() < previous.boot || r.GetBoot() == previous.boot && r.GetSerial() <= previous.serial) {
		b.mu.Unlock()
		return false
	}
	b.peers[r.GetSender()] = peerReport{receivedAt: now, boot: r.GetBoot(), serial: r.GetSerial(), report: r}
	leaving := b.mergeLeaving(now)
	newer := r.GetSettingsVersion() > max(b.settings, b.newestSettings)
	b.newestSettings = max(b.newestSettings, r.GetSettingsVersion())
	notify := b.onBehind
	b.notifyChange()
	b.mu.Unlock()
	if newer {
		notify()
	}
	b.book.Observe(now, r.GetSender(), usesByEndpoint(r))
	b.book.MarkUnreachable(now, r.GetUnreachable())
	b.book.SetReportedLeaving(leaving)
	return true
}

// mergeLeaving drops expired reports and probe results, and returns the endpoints that are leaving according to the
// remaining ones. The caller must hold b.mu.
func (b *SharedState) mergeLeaving(now time.Time) map[uint64]bool {
	leaving := make(map[uint64]bool)
	for k, until := range b.probedLeaving {
		if now.After(until) {
			delete(b.probedLeaving, k)
			continue
		}
		leaving[k] = true
	}
	for name, p := range b.peers {
		if now.Sub(p.receivedAt) > reportTimeout {
			delete(b.peers, name)
			continue
		}
		for _, k := range p.report.GetLeaving() {
			leaving[k] = true
		}
	}
	return leaving
}

// Expire drops the reports and probe results that are no longer valid at now.
func (b *SharedState) Expire(now time.Time) {
	b.mu.Lock()
	leaving := b.mergeLeaving(now)
	b.mu.Unlock()
	b.book.SetReportedLeaving(leaving)
}

func usesByEndpoint(r *Report) map[uint64]toucanplace.Use {
	uses := make(map[uint64]toucanplace.Use, len(r.GetUses()))
	for _, u := range r.GetUses() {
		uses[u.GetEndpoint()] = toucanplace.Use{
			Requests: int(u.GetRequests()),
			Tokens:   int(u.GetTokens()),
			Unread:   int(u.GetUnread()),
		}
	}
	return uses
}

// buildReport returns a report of this entry's current state, without sender, boot and serial.
func (b *SharedState) buildReport() *Report {
	r := &Report{Unreachable: b.book.Unreachable(time.Now())}
	for key, u := range b.book.Uses() {
		r.Uses = append(r.Uses, &EndpointUse{
			Endpoint: key,
			Requests: uint32(max(u.Requests, 0)),
			Tokens:   uint32(max(u.Tokens, 0)),
			Unread:   uint32(max(u.Unread, 0)),
		})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.leaving {
		r.Leaving = append(r.Leaving, key)
	}
	for key := range b.probedLeaving {
		r.Leaving = append(r.Leaving, key)
	}
	r.StoreAway = b.storeDown
	r.Stopping = b.stopping
	if !b.lastStoreAnswer.IsZero() {
		r.StoreSilentMillis = uint32(max(time.Since(b.lastStoreAnswer).Milliseconds(), 1))
	}
	r.Lends = b.canServeSnapshot(time.Now())
	r.SettingsVersion = b.settings
	for endpoint, runs := range b.runs {
		for _, run := range runs {
			r.Runs = append(r.Runs, &Run{
				Id:         run.ID,
				Endpoint:   endpoint,
				Tokens:     uint32(run.Tokens),
				LeftMillis: uint32(max(run.Remaining.Milliseconds(), 0)),
			})
		}
	}
	for key := range b.copying {
		r.CopyingTo = append(r.CopyingTo, key)
	}
	return r
}
