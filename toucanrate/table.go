package toucanrate

import (
	"sync"
	"time"
)

// Table holds the limits that endpoints have named. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// heard holds the last word of each endpoint to this entry, by its key.
	heard map[uint64]word
}

// word is what an endpoint last said about its limit.
type word struct {
	limited   bool
	perSecond float64
	// at is when the answer arrived; for the end of a limit, when its request was sent.
	at time.Time
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{heard: make(map[uint64]word)} }

// Observe records what an answer says that arrived now, to a request that was sent at sentAt, and reports whether the
// endpoint's limit changed. An answer without a limit ends one only if its request was sent after the limit had been named: it
// can have left the endpoint before.
func (t *Table) Observe(now, sentAt time.Time, endpoint uint64, n Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.heard[endpoint]
	switch {
	case n.Kind == NoticeNamed:
		t.heard[endpoint] = word{limited: true, perSecond: n.PerSecond, at: now}
		return !known.limited || known.perSecond != n.PerSecond
	case n.Kind == NoticeNone && known.limited && sentAt.After(known.at):
		t.heard[endpoint] = word{at: sentAt}
		return true
	}
	return false
}

// Limit returns the limit of an endpoint in requests a second, and false if it has none.
func (t *Table) Limit(endpoint uint64) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.heard[endpoint]
	return w.perSecond, w.limited
}
