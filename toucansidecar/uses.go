package toucansidecar

import (
	"sync"
	"time"

	"toucanport/toucanwire"
)

const (
	// useLifetime is how long what an entry told is passed on.
	useLifetime = 2 * time.Second
	// maxRelayedEntries and maxRelayedUses bound what is kept and passed on.
	maxRelayedEntries = 32
	maxRelayedUses    = 32
)

// useRelay passes what entries carry of workspaces on to the other entries.
type useRelay struct {
	mu sync.Mutex
	// heard holds at most maxRelayedEntries, by instance.
	heard map[string]heardUse
}

type heardUse struct {
	use *toucanwire.EntryUse
	at  time.Time
}

// take keeps what one entry told and returns what the others did.
func (r *useRelay) take(now time.Time, instance string, uses []*toucanwire.EntryUse) []*toucanwire.EntryUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = make(map[string]heardUse)
	}
	for _, use := range uses {
		r.keep(now, instance, use)
	}
	var others []*toucanwire.EntryUse
	for name, h := range r.heard {
		switch {
		case now.Sub(h.at) > useLifetime:
			delete(r.heard, name)
		case name != instance:
			others = append(others, h.use)
		}
	}
	return others
}

// keep ignores what an entry says of another one, and what is over the bounds.
func (r *useRelay) keep(now time.Time, instance string, use *toucanwire.EntryUse) {
	_, known := r.heard[instance]
	if use.Instance != instance || len(use.Uses) > maxRelayedUses || !known && len(r.heard) >= maxRelayedEntries {
		return
	}
	r.heard[instance] = heardUse{use, now}
}
