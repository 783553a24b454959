// Package toucanfakemember stands in for the platform's list of instances: it lags, and it can be down.
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

// List is the stand-in. It is safe for concurrent use.
type List struct {
	mu sync.Mutex
	// changes are in the order in which they were made; each shows after the lag.
	changes []change
	lag     time.Duration
	down    bool
}

type change struct {
	at       time.Time
	instance toucanmember.Listed
	gone     bool
}

// New returns an empty list whose changes show after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// SetDown makes the list refuse every call, or answer again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Put adds or changes an instance.
func (l *List) Put(instance toucanmember.Listed) { l.add(change{instance: instance}) }

// Remove takes an instance off the list.
func (l *List) Remove(instance string) {
	l.add(change{instance: toucanmember.Listed{Instance: instance}, gone: true})
}

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now()
	l.changes = append(l.changes, c)
}

// visible returns what shows now, and how many changes that is.
func (l *List) visible() ([]toucanmember.Listed, int) {
	byName := make(map[string]toucanmember.Listed)
	shown := 0
	for _, c := range l.changes {
		if time.Since(c.at) < l.lag {
			break
		}
		shown++
		if c.gone {
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

// ServeHTTP serves the list with an entity tag.
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
