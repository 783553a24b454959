package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// engine is the stand-in for an engine, as the pages tell it: it answers 421 to a request for another engine, 503 with Not-Run if its
// slots and its queue are full, runs a request once it has read it whole, and seals its answer.
type engine struct {
	rig           *rig
	id            string
	service, zone string
	born          int64
	server        *httptest.Server
	slots, queue  chan struct{}

	mu   sync.Mutex
	runs map[string]int
	// streams holds how many events of each stream were made.
	streams map[string]int
}

const (
	// plainWork is how long a plain request takes, and answerBytes the length of its answer.
	plainWork   = 30 * time.Millisecond
	answerBytes = 800
	// streamEvents, eventBytes and eventPause are the length and the pace of a stream.
	streamEvents = 100
	eventBytes   = 370
	eventPause   = 50 * time.Millisecond
)

// streamBytes is the length of a whole stream.
var streamBytes = func() int {
	n := 0
	for i := range streamEvents {
		n += len(event(i + 1))
	}
	return n
}()

func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", eventBytes))
}

func (r *rig) addEngine(id, service, zone string, slots, queue int) {
	e := &engine{
		rig: r, id: id, service: service, zone: zone, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue), runs: make(map[string]int), streams: make(map[string]int),
	}
	e.server = httptest.NewServer(e)
	r.must(r.store.Set("servers/"+id, e.entry(1)))
	r.engines = append(r.engines, e)
}

// entry returns what the engine writes about itself in the store.
func (e *engine) entry(sequence int) map[string]any {
	return map[string]any{
		"Service": e.service, "Address": e.server.Listener.Addr().String(), "Zone": e.zone, "Version": 1, "Slots": cap(e.slots), "State": "ready",
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
	if e.service == "engines" {
		e.stream(w, r, id)
		return
	}
	time.Sleep(plainWork)
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	_, _ = w.Write(make([]byte, answerBytes)) // The caller may have left.
}

// stream answers with a whole event stream, unless the caller closes the connection.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range streamEvents {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			e.rig.record("engine %s: the connection of %s was closed after %d of %d events", e.id, id, n, streamEvents)
			return
		}
		if _, err := io.WriteString(w, event(n+1)); err != nil {
			return
		}
		_ = control.Flush() // The caller may have left.
		e.mu.Lock()
		e.streams[id] = n + 1
		e.mu.Unlock()
	}
	e.rig.record("engine %s: all %d events of %s are sent", e.id, streamEvents, id)
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
