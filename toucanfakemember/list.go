// Package toucanfakemember implements a fake of the platform's list of instances for tests. The list shows changes
// after a lag and can be unavailable.
package toucanfakemember

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanport/toucanlisting"
	"toucanport/toucanmember"
)

// List is the fake list of instances. It implements http.Handler and is safe for concurrent use.
type List struct {
	mu sync.Mutex
	// changes is in the order in which the changes were made. Each becomes visible after the lag.
	changes []change
	lag     time.Duration
	down    bool
}

type change struct {
	at       time.Time
	instance toucanmember.Listed
	removed  bool
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// SetDown sets whether the list refuses every call with status 503.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Put adds an instance or replaces the one of the same name.
func (l *List) Put(instance toucanmember.Listed) { l.add(change{instance: instance}) }

// Remove removes an instance from the list.
func (l *List) Remove(instance string) {
	l.add(change{instance: toucanmember.Listed{Instance: instance}, removed: true})
}

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now()
	l.changes = append(l.changes, c)
}

// visible returns the instances after applying the changes that are at least lag old, sorted by name, and the number
// of these changes. The caller must hold mu.
func (l *List) visible() ([]toucanmember.Listed, int) {
	byName := make(map[string]toucanmember.Listed)
	shown := 0
	for _, c := range l.changes {
		if time.Since(c.at) < l.lag {
			break
		}
		shown++
		if c.removed {
			delete(byName, c.instance.Instance)
			continue
		}
		byName[c.instance.Instance] = c.instance
	}
	out := make([]toucanmember.Listed, 0, len(byName))
	for _, i := range byName {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b toucanmember.Listed) int { return strings.Compare(a.Instance, b.Instance) })
	return out, shown
}

// ServeHTTP serves the visible list as JSON with an entity tag, and status 304 if the caller has the same version.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	instances, shown := l.visible()
	down := l.down
	l.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	etag := fmt.Sprintf("%q", fmt.Sprint(shown))
	w.Header().Set("Etag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(toucanlisting.List{Instances: instances})
}
