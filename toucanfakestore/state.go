// Package toucanfakestore implements a fake of the platform's key-value service for tests, in process and over HTTP,
// with fault injection.
package toucanfakestore

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanport/toucanstore"
)

type entry struct {
	body     []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// state holds the store's keys and leases. It is safe for concurrent use.
type state struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	nextID   uint64
	// deleted holds the revision at which each key was last deleted, so that watches detect deletions.
	deleted map[string]uint64
	// changed is closed and replaced at each write or expiry of a lease.
	changed chan struct{}
}

func newState() *state {
	return &state{
		entries: make(map[string]entry),
		leases:  make(map[string]*lease),
		deleted: make(map[string]uint64),
		changed: make(chan struct{}),
	}
}

func (s *state) get(key string) (toucanstore.Value, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return toucanstore.Value{Key: key, Body: e.body, Revision: e.revision}, s.revision, ok
}

// list returns the values under prefix sorted by key, the highest revision of a write or deletion under prefix, and
// a channel that is closed at the next write to any key.
func (s *state) list(prefix string) ([]toucanstore.Value, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values []toucanstore.Value
	var index uint64
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			values = append(values, toucanstore.Value{Key: key, Body: e.body, Revision: e.revision})
			index = max(index, e.revision)
		}
	}
	for key, revision := range s.deleted {
		if strings.HasPrefix(key, prefix) {
			index = max(index, revision)
		}
	}
	slices.SortFunc(values, func(a, b toucanstore.Value) int { return strings.Compare(a.Key, b.Key) })
	return values, index, s.changed
}

func (s *state) swap(key string, body []byte, expected uint64, leaseID string) (uint64, error) {
	if len(body) > toucanstore.MaxValueBytes {
		return 0, toucanstore.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e.revision != expected {
		return 0, toucanstore.ErrConflict
	}
	if leaseID != "" {
		if s.leases[leaseID] == nil || (e.lease != "" && e.lease != leaseID) {
			return 0, toucanstore.ErrConflict
		}
		e.lease = leaseID
	}
	s.revision++
	s.entries[key] = entry{body: slices.Clone(body), revision: s.revision, lease: e.lease}
	s.notify()
	return s.revision, nil
}

func (s *state) remove(key string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return nil
	}
	if e.revision != expected {
		return toucanstore.ErrConflict
	}
	s.drop(key)
	s.notify()
	return nil
}

func (s *state) drop(key string) {
	s.revision++
	s.deleted[key] = s.revision
	delete(s.entries, key)
}

func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) grantLease(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := fmt.Sprintf("00000000-0000-4000-8000-%012x", s.nextID)
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

func (s *state) renewLease(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		return toucanstore.ErrNotFound
	}
	l.timer.Reset(l.ttl)
	return nil
}

// endLease deletes a lease and the keys that it locks.
func (s *state) endLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.drop(key)
		}
	}
	s.notify()
}
