package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key            string
	Value          []byte
	Revision       uint64
	CreateRevision uint64
	Lease          uint64
}

// event is an item as it was written, or the removal of a key.
type event struct {
	Key            string `json:"Key"`
	Value          []byte `json:"Value,omitempty"`
	Revision       uint64 `json:"Revision"`
	CreateRevision uint64 `json:"CreateRevision,omitempty"`
	Lease          uint64 `json:"Lease,omitempty"`
	Removed        bool   `json:"Removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []event
	leases  map[uint64]lease
	next    uint64
	changed chan struct{}
	addr    string
}

func newStore(addr string) (*store, error) {
	s := &store{rev: 100, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.expire()
		}
	}()
	return s, nil
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) bump() {
	s.rev++
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	it := item{Key: key, Value: value, Revision: s.rev, CreateRevision: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.CreateRevision = old.CreateRevision
	}
	s.items[key] = it
	s.history = append(s.history, event{Key: key, Value: value, Revision: s.rev, CreateRevision: it.CreateRevision, Lease: leaseID})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.bump()
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.rev, Removed: true})
	s.wake()
}

// Set writes a value as the operator or an engine does.
func (s *store) Set(key string, v any) {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.write(key, encoded, 0)
	s.wake()
}

// Remove removes a key.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/kv-key":
		s.getKey(w, q.Get("Key"))
	case r.Method == http.MethodGet && path == "/kv-range":
		s.getRange(w, q.Get("Prefix"), q.Get("After"))
	case r.Method == http.MethodGet && path == "/kv-watch":
		s.watch(w, r)
	case r.Method == http.MethodPost && path == "/kv-txn":
		s.txn(w, body)
	case r.Method == http.MethodPost && path == "/kv-lease":
		s.grant(w, body)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/kv-lease-end/"):
		s.mu.Lock()
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		s.mu.Unlock()
		reply(w, 200, struct{}{})
	default:
		reply(w, 404, struct{}{})
	}
}

func (s *store) getKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"CurrentRev": rev})
		return
	}
	reply(w, 200, map[string]any{"Key": it.Key, "Value": it.Value, "Revision": it.Revision, "CreateRevision": it.CreateRevision, "Lease": it.Lease, "CurrentRev": rev})
}

func (s *store) getRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	items := []event{}
	for _, k := range keys {
		it := s.items[k]
		items = append(items, event{Key: it.Key, Value: it.Value, Revision: it.Revision, CreateRevision: it.CreateRevision, Lease: it.Lease})
	}
	reply(w, 200, map[string]any{"Items": items, "MorePages": more, "CurrentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("Prefix")
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[i:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "CurrentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	var t struct {
		ExpectedRevision []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if err := json.Unmarshal(body, &t); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	items := []event{}
	for _, e := range t.ExpectedRevision {
		it, has := s.items[e.Key]
		if it.Revision != e.Revision {
			ok = false
		}
		if has {
			items = append(items, event{Key: it.Key, Value: it.Value, Revision: it.Revision, CreateRevision: it.CreateRevision, Lease: it.Lease})
		}
	}
	if !ok {
		reply(w, 412, map[string]any{"Items": items})
		return
	}
	for _, x := range t.Writes {
		if _, has := s.leases[x.Lease]; x.Lease != 0 && !has {
			reply(w, 404, struct{}{})
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
	}
	if len(t.Writes) > 0 {
		s.bump()
		for _, x := range t.Writes {
			s.write(x.Key, x.Value, x.Lease)
		}
		s.wake()
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	reply(w, 200, map[string]any{"Revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, body []byte) {
	var t struct{ TtlMs int64 }
	_ = json.Unmarshal(body, &t)
	t.TtlMs = min(max(t.TtlMs, 1000), 600000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(t.TtlMs) * time.Millisecond
	s.leases[s.next] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"Lease": s.next, "TtlMs": t.TtlMs})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, 200, map[string]any{"Lease": id, "TtlMs": l.ttl.Milliseconds()})
}
