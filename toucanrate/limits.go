package toucanrate

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"toucanport/toucanmember"
)

// Peers is this entry's connection to the other entries that use the same endpoints.
type Peers interface {
	// Members returns the names of the entries whose reports arrive here and that don't stop, with this one unless it stops
	// itself. They are sorted, and there is at least one.
	Members(now time.Time) []string
	// Registered returns the number of registered entries, whether or not they are heard.
	Registered() int
	// Ask sends an ask to a peer.
	Ask(peer string, a Ask)
	// ReportSoon makes the next report to the peers go out without delay.
	ReportSoon()
}

// Limits holds the limits that endpoints have named and keeps them together with the other entries. For each limited
// endpoint, one of the entries that hear each other gives out the slots in which requests may be sent; the others ask it for each
// request. It is safe for concurrent use.
type Limits struct {
	// name is this entry's name.
	name string
	// hasLimits is true while an endpoint has a limit, so that requests cost nothing otherwise.
	hasLimits atomic.Bool

	mu    sync.Mutex
	peers Peers
	// heard holds the words that endpoints said to this entry, and known the newest ones that any entry heard, by endpoint.
	heard, known map[uint64]Word
	// schedules holds the schedules of the endpoints whose slots this entry has given out.
	schedules map[uint64]*schedule
	// members are the entries that heard each other when the schedules were last used.
	members []string
	// nextSlot holds when the next slot of an endpoint can begin, as far as this entry was told.
	nextSlot map[uint64]time.Time
	// asking counts the asks in progress by endpoint, and pending holds where their grants go, by the asks' serial.
	asking  map[uint64]int
	pending map[uint64]chan Grant
	// serial is that of the last ask.
	serial uint64
}

// New returns limits for the entry name, which has no peers until Connect.
func New(name string) *Limits {
	return &Limits{
		name:      name,
		peers:     alone(name),
		heard:     make(map[uint64]Word),
		known:     make(map[uint64]Word),
		schedules: make(map[uint64]*schedule),
		nextSlot:  make(map[uint64]time.Time),
		asking:    make(map[uint64]int),
		pending:   make(map[uint64]chan Grant),
	}
}

// Connect sets the peers with which limits are kept.
func (l *Limits) Connect(p Peers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = p
}

// alone is the Peers of an entry, given by its name, that has none.
type alone string

func (a alone) Members(time.Time) []string { return []string{string(a)} }
func (alone) Registered() int              { return 1 }
func (alone) Ask(string, Ask)              {}
func (alone) ReportSoon()                  {}

// Observe records what an answer says that arrived now, to a request that was sent at sentAt, and reports whether the
// endpoint's limit changed. An answer without a limit ends one only if its request was sent after the limit had been named: it
// can have left the endpoint before.
func (l *Limits) Observe(now, sentAt time.Time, endpoint uint64, n Notice) bool {
	if n.Kind == NoticeUnreadable || n.Kind == NoticeNone && !l.hasLimits.Load() {
		return false
	}
	l.mu.Lock()
	known := l.known[endpoint]
	w := Word{Endpoint: endpoint, Limited: n.Kind == NoticeNamed, PerSecond: n.PerSecond, At: now}
	if !w.Limited {
		if !known.Limited || !sentAt.After(known.At) {
			l.mu.Unlock()
			return false
		}
		w.At = sentAt
	}
	l.heard[endpoint] = w
	l.accept(w)
	peers := l.peers
	l.mu.Unlock()
	changed := w.Limited != known.Limited || w.PerSecond != known.PerSecond
	if changed {
		peers.ReportSoon()
	}
	return changed
}

// learn records a word of a peer if it is newer than the known one. The caller holds l.mu.
func (l *Limits) learn(w Word) {
	if known, ok := l.known[w.Endpoint]; ok && !w.replaces(known) {
		return
	}
	if !w.Limited {
		// What the endpoint said to this entry before is over, and is not told any more.
		delete(l.heard, w.Endpoint)
	}
	l.accept(w)
}

// accept makes a word the known one of its endpoint. The caller holds l.mu.
func (l *Limits) accept(w Word) {
	l.known[w.Endpoint] = w
	if !w.Limited {
		delete(l.schedules, w.Endpoint)
		delete(l.nextSlot, w.Endpoint)
	}
	l.hasLimits.Store(l.hasLimits.Load() || w.Limited)
}

// Apply adds words that a peer heard.
func (l *Limits) Apply(now time.Time, words []Word) {
	if len(words) == 0 && !l.hasLimits.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range words {
		l.learn(w)
	}
	l.updateMembers(now)
}

// Words returns what endpoints said to this entry, and drops what no longer counts.
func (l *Limits) Words(now time.Time) []Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	return slices.Collect(maps.Values(l.heard))
}

// forget drops words that no longer count. The caller holds l.mu.
func (l *Limits) forget(now time.Time) {
	old := func(_ uint64, w Word) bool { return w.isOld(now) }
	maps.DeleteFunc(l.heard, old)
	maps.DeleteFunc(l.known, old)
	unknown := func(endpoint uint64) bool { return !l.known[endpoint].Limited }
	maps.DeleteFunc(l.schedules, func(endpoint uint64, _ *schedule) bool { return unknown(endpoint) })
	maps.DeleteFunc(l.nextSlot, func(endpoint uint64, _ time.Time) bool { return unknown(endpoint) })
	hasLimits := false
	for _, w := range l.known {
		hasLimits = hasLimits || w.Limited
	}
	l.hasLimits.Store(hasLimits)
}

// Limit returns the limit of an endpoint in requests a second, and false if it has none.
func (l *Limits) Limit(endpoint uint64) (perSecond float64, limited bool) {
	if !l.hasLimits.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.known[endpoint]
	return w.PerSecond, w.Limited
}

// Wait returns how long a request to a limited endpoint has to wait at least, as far as this entry was told, and false if the
// endpoint has no limit.
func (l *Limits) Wait(now time.Time, endpoint uint64) (time.Duration, bool) {
	if !l.hasLimits.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[endpoint].Limited {
		return 0, false
	}
	wait := max(l.nextSlot[endpoint].Sub(now), 0)
	if l.asking[endpoint] > 0 {
		wait = max(wait, askTimeout)
	}
	return wait, true
}

// Share returns this entry's equal part of a rate.
func (l *Limits) Share(now time.Time, perSecond float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return perSecond / float64(len(l.peers.Members(now)))
}

// updateMembers pauses all schedules if the entries that hear each other have changed: another entry may have given out
// slots. The caller holds l.mu.
func (l *Limits) updateMembers(now time.Time) {
	members := l.peers.Members(now)
	if slices.Equal(members, l.members) {
		return
	}
	l.members = members
	for _, s := range l.schedules {
		s.pause(now)
	}
}

// granter returns the entry that gives out an endpoint's slots. The caller holds l.mu.
func (l *Limits) granter(now time.Time, endpoint uint64) string {
	l.updateMembers(now)
	return toucanmember.Responsible(strconv.FormatUint(endpoint, 16), l.members)
}

// scheduleOf returns the schedule of a limited endpoint. Entries that are cut off from each other each use only the part of the
// limit that belongs to the entries that they hear. The caller holds l.mu.
func (l *Limits) scheduleOf(now time.Time, endpoint uint64) *schedule {
	heard := len(l.members)
	part := float64(heard) / float64(max(heard, l.peers.Registered()))
	perSecond := part * l.known[endpoint].PerSecond
	s, ok := l.schedules[endpoint]
	if !ok {
		s = newSchedule(now, perSecond)
		l.schedules[endpoint] = s
	}
	s.setRate(now, perSecond)
	return s
}
