package toucansidecar

import (
	"sync"
	"time"

	"toucanport/toucanwire"
)

const (
	// useLifetime is how long an entry's use report is forwarded.
	useLifetime = 2 * time.Second
	// maxRelayedEntries limits the entries whose reports are kept; maxRelayedUses limits the workspaces in each
	// report.
	maxRelayedEntries = 32
	maxRelayedUses    = 32
)

// useRelay forwards the use reports of entries, which list their use of workspace limits, to the other entries. It is
// safe for concurrent use.
type useRelay struct {
	mu sync.Mutex
	// reports holds at most maxRelayedEntries reports, by the entry's instance name.
	reports map[string]receivedUse
}

type receivedUse struct {
	use *toucanwire.EntryUse
	at  time.Time
}

// exchange stores the report of one entry and returns the current reports of the others.
func (r *useRelay) exchange(now time.Time, instance string, uses []*toucanwire.EntryUse) []*toucanwire.EntryUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reports == nil {
		r.reports = make(map[string]receivedUse)
	}
	for _, use := range uses {
		r.store(now, instance, use)
	}
	var others []*toucanwire.EntryUse
	for name, received := range r.reports {
		switch {
		case now.Sub(received.at) > useLifetime:
			delete(r.reports, name)
		case name != instance:
			others = append(others, received.use)
		}
	}
	return others
}

// store stores the report of an entry. It ignores a report that names another instance or exceeds the limits.
func (r *useRelay) store(now time.Time, instance string, use *toucanwire.EntryUse) {
	_, known := r.reports[instance]
	if use.Instance != instance || len(use.Uses) > maxRelayedUses || !known && len(r.reports) >= maxRelayedEntries {
		return
	}
	r.reports[instance] = receivedUse{use, now}
}
