package toucanplace

import (
	"slices"
	"time"

	"toucanport/toucancold"
)

const (
	// coldNotice is how long an endpoint can be cold before an entry learns it.
	coldNotice = 2500 * time.Millisecond
	// maxCold bounds the time for which an endpoint can say that it is cold.
	maxCold = 10 * time.Minute
	// entriesInterval is how long the list of entries is used before it is fetched again.
	entriesInterval = 100 * time.Millisecond
	// newcomerTime is how long an entry that has started sends nothing to endpoints that may be cold: its process may have
	// sent requests before it started again, and others may not know it yet.
	newcomerTime = time.Second
)

// Entries lists the entries that may send to the same endpoints.
type Entries interface {
	// Known returns the names of the entries of the cell, with this one and those that are no longer heard.
	Known() []string
}

// coldGuard is what a Placer needs to keep the limits of cold endpoints with the other entries.
type coldGuard struct {
	// name is this entry's name.
	name    string
	entries Entries
	// known are the entries as fetched at knownAt.
	known   []string
	knownAt time.Time
	// generation counts the changes of known.
	generation int
	// newcomerUntil is when this entry may send to endpoints that may be cold; zero before the first endpoints are listed.
	newcomerUntil time.Time
	// leftOut counts the choices for which an endpoint was left out.
	leftOut uint64
}

// coldState is the part of an endpointState that concerns its limit while it is cold.
type coldState struct {
	window toucancold.Window
	// until is when the endpoint is warm, as far as this entry can tell.
	until time.Time
	// share caches this entry's share of the limit for a generation of coldGuard and a limit.
	share, generation, limit int
}

// ConnectEntries sets the entries with which the limits of cold endpoints are kept, and this entry's name. Without it there are
// none.
func (p *Placer) ConnectEntries(name string, e Entries) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold.name, p.cold.entries = name, e
}

// ColdRefusals returns how many choices left out an endpoint because of its limit while it is cold.
func (p *Placer) ColdRefusals() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.leftOut
}

// MarkCold records that an endpoint said that it is cold for a time.
func (p *Placer) MarkCold(now time.Time, id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.endpoints[id]; ok {
		s.extendCold(now.Add(min(d, maxCold)))
	}
}

// extendCold sets the earliest time at which the endpoint counts as warm.
func (s *endpointState) extendCold(until time.Time) {
	if until.After(s.cold.until) {
		s.cold.until = until
	}
}

// suspectCold records that the endpoint can have become cold without notice.
func (s *endpointState) suspectCold(now time.Time) { s.extendCold(now.Add(s.ColdTime + coldNotice)) }

// mayBeCold reports whether the endpoint has a limit for cold endpoints that may hold now.
func (s *endpointState) mayBeCold(now time.Time) bool {
	return s.ColdLimit > 0 && (now.Before(s.Warm) || now.Before(s.cold.until))
}

// observeListed updates what is known of a listed endpoint's cold time. previous is what was listed before; it is zero for an
// endpoint that appears. Such an endpoint has started, unless it is in the first list, and those of an evacuated domain may have
// become cold meanwhile. The caller holds p.mu.
func (p *Placer) observeListed(now time.Time, s *endpointState, previous Endpoint) {
	appears := previous.ID == "" && !p.cold.newcomerUntil.IsZero()
	if appears || previous.Evacuated && !s.Evacuated {
		s.suspectCold(now)
	}
}

// observeList records when the first n endpoints are listed.
func (g *coldGuard) observeList(now time.Time, n int) {
	if g.newcomerUntil.IsZero() && n > 0 {
		g.newcomerUntil = now.Add(newcomerTime)
	}
}

// coldShare returns how many requests this entry may send to an endpoint that may be cold in any one second. The caller holds
// p.mu.
func (p *Placer) coldShare(now time.Time, s *endpointState) int {
	if s.OtherCell || now.Before(p.cold.newcomerUntil) {
		return 0
	}
	p.refreshEntries(now)
	if s.cold.generation != p.cold.generation || s.cold.limit != s.ColdLimit {
		s.cold.share = toucancold.Share(s.ColdLimit, p.cold.name, s.key, p.cold.known)
		s.cold.generation, s.cold.limit = p.cold.generation, s.ColdLimit
	}
	return s.cold.share
}

// refreshEntries fetches the list of entries if it is older than entriesInterval. The caller holds p.mu.
func (p *Placer) refreshEntries(now time.Time) {
	g := &p.cold
	if g.generation > 0 && now.Sub(g.knownAt) < entriesInterval {
		return
	}
	known := []string{g.name}
	if g.entries != nil {
		known = g.entries.Known()
	}
	g.knownAt = now
	if g.generation == 0 || !slices.Equal(known, g.known) {
		g.known = known
		g.generation++
	}
}

// coldAllows reports whether one more request may go to an endpoint, as far as it may be cold. The caller holds p.mu.
func (p *Placer) coldAllows(now time.Time, s *endpointState) bool {
	return !s.mayBeCold(now) || s.cold.window.Allows(now, p.coldShare(now, s))
}

// ColdWait returns how long the request has to wait until it is within this entry's share of the endpoint's limit while it is
// cold. Only those of ReserveForced have to.
func (r *Reservation) ColdWait(now time.Time) time.Duration {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if !r.toSend || !r.state.mayBeCold(now) {
		return 0
	}
	return r.state.cold.window.Wait(now, r.placer.coldShare(now, r.state))
}

// MarkSent records that the request is sent to the endpoint, also if it is sent once more.
func (r *Reservation) MarkSent(now time.Time) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	r.beginService(now)
	switch {
	case r.state.ColdLimit == 0:
	case r.toSend:
		r.toSend = false
		r.state.cold.window.Send(now)
	default:
		r.state.cold.window.Repeat(now)
	}
}

// releaseUnsent drops the request from the endpoint's window if it was not sent. The caller holds p.mu.
func (r *Reservation) releaseUnsent() {
	if r.toSend {
		r.toSend = false
		r.state.cold.window.Release()
	}
}
