package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// queued is how many requests wait at an engine beyond its slots.
const queued = 3

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	id     string
	engine string
	ran    bool
}

// plain is a stand-in of an engine of the orders and status application: it runs as many requests at once as it has slots, and queues
// three more.
type plain struct {
	*engine
	work time.Duration
	// turnAway decides before a request is queued whether it is turned away; nil for never.
	turnAway func(w http.ResponseWriter, now time.Time) bool

	running chan struct{}
	server  *http.Server

	mu       sync.Mutex
	waiting  int
	arrivals []arrival
}

func (r *rig) newPlain(n, slots int, work time.Duration) (*plain, error) {
	e, err := r.newEngine(n, "comptoir", slots)
	if err != nil {
		return nil, err
	}
	p := &plain{engine: e, work: work, running: make(chan struct{}, slots)}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(e.listener) }()
	e.beat()
	return p, nil
}

func (p *plain) note(id string, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, arrival{at: time.Now(), id: id, engine: p.id, ran: ran})
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", p.id)
		return
	}
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"QueueDepth":0}`)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.turnAway != nil && p.turnAway(w, time.Now()) {
		p.note(id, false)
		return
	}
	p.mu.Lock()
	full := p.waiting >= p.slots+queued
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		p.note(id, false)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	p.note(id, true)
	p.running <- struct{}{}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(p.work)
	<-p.running
	w.Header().Set("Server-Seal", "3e1b.07."+p.id)
	_, _ = w.Write(make([]byte, 800))
}

// taken returns the arrivals so far.
func (p *plain) taken() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}

// crash closes all connections and the listener, and ends the heartbeat. The platform removes the engine's entry after three heartbeats.
func (p *plain) crash() {
	close(p.stop)
	_ = p.server.Close()
	time.AfterFunc(3*heartbeat, func() { p.rig.store.Remove("servers/" + p.id) })
}
