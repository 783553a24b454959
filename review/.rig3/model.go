package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// event returns an event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 370)) }

const (
	// promptRate is how many tokens of a prompt an engine reads in a millisecond beside running streams: a step of 7 ms with a chunk of 112
	// tokens at 14 a millisecond.
	promptRate = 7.5
	// modelEventPause is the time of one event: four tokens, a step of 7 ms and more each.
	modelEventPause = 32 * time.Millisecond
	// stopTime is how long a copy of a run's memory takes.
	stopTime = 20 * time.Millisecond
)

// work is the time in which an engine works on a request.
type work struct {
	engine     string
	began, end time.Time
	// told is when the engine was told to stop the run; zero for never.
	told time.Time
}

// modelEngine is the stand-in for a model engine, as the pages tell it. It answers streams, stops a run by POST /kv-move with Last, and can
// lose the answer of a request that it runs: it resets the connection and runs on.
type modelEngine struct {
	rig    *rig
	id     string
	zone   string
	born   int64
	server *httptest.Server

	mu sync.Mutex
	// runs holds the present runs by id, with the channel that ends each.
	runs map[string]chan struct{}
	// works holds all work, by id; ran counts the requests that the engine has run since losing began.
	works map[string][]*work
	ran   int
	// toLose is how many answers the engine is still to lose, and lost those that it has lost.
	toLose int
	lost   []string
}

func (r *rig) addModelEngine(id, zone string) {
	e := &modelEngine{rig: r, id: id, zone: zone, born: time.Now().UnixMilli(), runs: make(map[string]chan struct{}), works: make(map[string][]*work)}
	e.server = httptest.NewServer(e)
	r.must(r.store.Set("servers/"+id, e.entry(1)))
	r.models = append(r.models, e)
}

// entry returns what the engine writes about itself in the store.
func (e *modelEngine) entry(sequence int) map[string]any {
	return map[string]any{
		"Service": "engines", "Address": e.server.Listener.Addr().String(), "Zone": e.zone, "Version": 1, "Slots": 24, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": sequence, "born": e.born,
	}
}

// ServeHTTP implements http.Handler.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-move" {
		e.move(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		http.NotFound(w, r) // The case needs no other calls.
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != e.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.run(w, r, id)
}

// run works on a request.
func (e *modelEngine) run(w http.ResponseWriter, r *http.Request, id string) {
	promptText, outputText, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	prompt, _ := strconv.Atoi(promptText)
	output, _ := strconv.Atoi(outputText)
	events := (output + 3) / 4
	stop := make(chan struct{})
	did := &work{engine: e.id, began: time.Now()}
	e.mu.Lock()
	e.runs[id] = stop
	e.works[id] = append(e.works[id], did)
	e.ran++
	lose := e.toLose > 0 && prompt == largePrompt
	if lose {
		e.toLose--
		e.lost = append(e.lost, id)
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		did.end = time.Now()
		if e.runs[id] == stop {
			delete(e.runs, id)
		}
	}()
	left := r.Context().Done()
	if lose {
		e.rig.record("engine %s: the answer of %s is lost, its connection is reset; the engine runs it on", e.id, id)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // The close then resets the connection.
			}
			_ = conn.Close() // The answer is lost in any case.
		}
		left = nil
	}
	read := time.Duration(float64(prompt) / promptRate * float64(time.Millisecond))
	for n := range events + 1 {
		pause := modelEventPause
		if n == 0 {
			pause = read
		}
		select {
		case <-time.After(pause):
		case <-stop:
			return
		case <-left:
			return
		}
		if lose || n == 0 {
			continue
		}
		if n == 1 {
			w.Header().Set("Server-Seal", "seal."+e.id)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if _, err := io.WriteString(w, event(n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // The caller may have left.
	}
}

// move stops a run, if the call says so.
func (e *modelEngine) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"Id"`
		Last bool   `json:"Last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stop, runs := e.runs[order.ID]
	if runs && order.Last {
		delete(e.runs, order.ID)
		close(stop)
		works := e.works[order.ID]
		works[len(works)-1].told = time.Now()
	}
	e.mu.Unlock()
	e.rig.record("engine %s: asked to move %s, last %v, runs %v", e.id, order.ID, order.Last, runs)
	if !runs {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(stopTime)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"Handle":"h%s","CreateRevision":0}`, order.ID) // The caller may have left.
}
