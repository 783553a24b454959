package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is how long the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// storePageItems is the largest number of items in one page.
	storePageItems = 500
)

// item is a key with its value, or the removal of a key.
type item struct {
	Key            string
	Value          []byte `json:",omitempty"`
	Revision       uint64
	CreateRevision uint64 `json:",omitempty"`
	Lease          uint64
	Removed        bool `json:",omitempty"`
}

// store is a stand-in of the platform's store. It is safe for concurrent use.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// leases holds the end of each lease, ttl its time to live.
	leases    map[uint64]time.Time
	ttl       map[uint64]time.Duration
	lastLease uint64
	changed   chan struct{}
}

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 1, items: make(map[string]item), leases: make(map[uint64]time.Time),
		ttl: make(map[uint64]time.Duration), changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, s) }()
	go s.expire()
	return s, nil
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, until := range s.leases {
			if time.Now().After(until) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
}

// put writes a value as the operator or an engine does. It returns when the store has accepted it.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(item{Key: key, Value: encoded})
}

// remove removes a key as an engine that has left does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
}

func (s *store) putLocked(it item) {
	it.Revision, it.CreateRevision = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.CreateRevision = old.CreateRevision
	}
	s.items[it.Key] = it
	s.recordLocked(it)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.recordLocked(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) recordLocked(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// keys returns the number of keys under a prefix.
func (s *store) keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	w.Header().Set("Store-Era", "1")
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch r.Method + " " + call {
	case "GET kv-key":
		s.serveKey(w, r)
	case "GET kv-range":
		s.serveRange(w, r)
	case "GET kv-watch":
		s.serveWatch(w, r)
	case "POST kv-txn":
		s.serveTxn(w, r)
	case "POST kv-lease":
		s.serveLease(w, r)
	case "POST kv-keep":
		s.serveKeep(w, id)
	case "DELETE kv-lease-end":
		s.serveLeaseEnd(w, id)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		answerJSON(w, http.StatusNotFound, struct{ CurrentRev uint64 }{s.revision})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		item
		CurrentRev uint64
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items      []item
		MorePages  bool
		CurrentRev uint64
	}{Items: []item{}, MorePages: len(keys) > storePageItems, CurrentRev: s.revision}
	for _, key := range keys[:min(len(keys), storePageItems)] {
		out.Items = append(out.Items, s.items[key])
	}
	answerJSON(w, http.StatusOK, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		out := struct {
			Events     []item `json:"events"`
			CurrentRev uint64
		}{Events: []item{}, CurrentRev: s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.URL.Query().Get("Prefix")) {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 || ended {
			answerJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answerJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, struct{ Items []item }{Items: []item{}}
	for _, e := range t.ExpectedRevision {
		it, ok := s.items[e.Key]
		if ok {
			current.Items = append(current.Items, it)
		}
		met = met && it.Revision == e.Revision
	}
	if !met {
		answerJSON(w, http.StatusPreconditionFailed, current)
		return
	}
	for _, wr := range t.Writes {
		if _, ok := s.leases[wr.Lease]; wr.Lease != 0 && !ok {
			answerJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	if len(t.Writes)+len(t.Deletes) > 0 {
		s.revision++
	}
	for _, wr := range t.Writes {
		s.putLocked(item{Key: wr.Key, Value: wr.Value, Lease: wr.Lease})
	}
	for _, key := range t.Deletes {
		s.removeLocked(key)
	}
	answerJSON(w, http.StatusOK, struct{ Revision uint64 }{s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answerJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TtlMs) * time.Millisecond
	s.leases[s.lastLease], s.ttl[s.lastLease] = time.Now().Add(ttl), ttl
	answerJSON(w, http.StatusOK, struct {
		Lease uint64
		TtlMs int64
	}{s.lastLease, in.TtlMs})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	answerJSON(w, http.StatusOK, struct{ TtlMs int64 }{s.ttl[id].Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLeaseLocked(id)
	answerJSON(w, http.StatusOK, struct{}{})
}
