package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// engine is the stand-in for an engine of the plain service, as the pages tell it: it answers 421 to a request for another engine, 503 with Not-Run if its
// slots and its queue are full, runs a request once it has read it whole, and seals its answer.
type engine struct {
	rig          *rig
	id           string
	zone         string
	born         int64
	server       *httptest.Server
	slots, queue chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

const (
	// plainWork is how long a plain request takes, and answerBytes the length of its answer.
	plainWork   = 30 * time.Millisecond
	answerBytes = 800
)

func (r *rig) addEngine(id, zone string, slots, queue int) {
	e := &engine{
		rig: r, id: id, zone: zone, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue), runs: make(map[string]int),
	}
	e.server = httptest.NewServer(e)
	r.must(r.store.Set("servers/"+id, e.entry(1)))
	r.engines = append(r.engines, e)
}

// entry returns what the engine writes about itself in the store.
func (e *engine) entry(sequence int) map[string]any {
	return map[string]any{
		"Service": "orders", "Address": e.server.Listener.Addr().String(), "Zone": e.zone, "Version": 1, "Slots": cap(e.slots), "State": "ready",
		"ColdRemainingMs": 0, "Sequence": sequence, "born": e.born,
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		http.NotFound(w, r) // The cases need no calls of engines.
		return
	}
	w.Header().Set("Attempt-Id", id)
	refuse := func(status int) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.queue <- struct{}{}:
		defer func() { <-e.queue }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	w.Header().Set("Server-Seal", "seal."+e.id)
	time.Sleep(plainWork)
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	_, _ = w.Write(make([]byte, answerBytes)) // The caller may have left.
}

// runsOf returns how often a request has run on all engines.
func (r *rig) runsOf(id string) int {
	n := 0
	for _, e := range r.engines {
		e.mu.Lock()
		n += e.runs[id]
		e.mu.Unlock()
	}
	return n
}
