package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// modelStep is the time between two events of a stream, and modelCopy that of a copy of a run's memory.
	modelStep = 30 * time.Millisecond
	modelCopy = 40 * time.Millisecond
)

// run is a generation at a model engine. Its events are numbered from 1.
type run struct {
	made, total int
	stop        chan struct{}
	stopped     bool
	copying     bool
}

// model is a stand-in of a model engine whose streams have no length and end with their connection.
type model struct {
	*engine
	// loses decides whether the answer to a call that stops a run is lost, after the call was carried out; nil for never.
	loses func(id string, events int) bool
	// text is in each event.
	text string

	mu   sync.Mutex
	runs map[string]*run
	// copies holds the events that are in a copy which this engine has, by source address and handle.
	copies map[string]int
	// peers are the engines by address.
	peers map[string]*model
	// ran holds when requests began here, resumed ones too.
	ran []time.Time
}

func (r *rig) newModel(n int, peers map[string]*model) (*model, error) {
	e, err := r.newEngine(n, "redacteur", 24)
	if err != nil {
		return nil, err
	}
	m := &model{engine: e, runs: map[string]*run{}, copies: map[string]int{}, peers: peers}
	peers[e.addr] = m
	go func() { _ = http.Serve(e.listener, m) }()
	return m, nil
}

// ServeHTTP implements http.Handler.
func (m *model) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/report":
		_, _ = io.WriteString(w, `{"QueueDepth":0,"ActiveRequests":0,"KvCacheUsed":0,"KvCacheTotal":34319}`)
	case q.URL.Path == "/kv-move":
		m.move(w, q)
	case strings.HasPrefix(q.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	default:
		m.generate(w, q)
	}
}

// move copies the memory of a run to another engine.
func (m *model) move(w http.ResponseWriter, q *http.Request) {
	var call struct {
		ID     string `json:"Id"`
		Target string
		Last   bool
	}
	if err := json.NewDecoder(q.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	x, ok := m.runs[call.ID]
	switch {
	case !ok || x.stopped:
		m.mu.Unlock()
		m.rig.logf("%s: kv-move of %s: 404, no such run", m.id, call.ID)
		w.WriteHeader(http.StatusNotFound)
		return
	case x.copying:
		m.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	x.copying = true
	if call.Last {
		x.stopped = true
		close(x.stop)
	}
	made := x.made
	m.mu.Unlock()
	time.Sleep(modelCopy)
	handle := "h" + call.ID
	target := m.peers[call.Target]
	if target != nil {
		target.mu.Lock()
		target.copies[m.addr+"/"+handle] = made
		target.mu.Unlock()
	}
	m.mu.Lock()
	x.copying = false
	loses := call.Last && m.loses != nil && m.loses(call.ID, x.total)
	m.mu.Unlock()
	if call.Last {
		m.rig.logf("%s: kv-move of %s with Last: stopped after %d of %d events, copied", m.id, call.ID, made, x.total)
		if loses {
			m.rig.logf("%s: the answer to that call is lost: its connection is reset", m.id)
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Handle": handle, "CreateRevision": made})
}

// generate runs a request, or goes on with one from a copy.
func (m *model) generate(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.Header().Set("Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, out, _ := strings.Cut(q.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(out)
	x := &run{total: tokens / 4, stop: make(chan struct{})}
	m.mu.Lock()
	if from := q.Header.Get("Kv-From"); from != "" {
		made, ok := m.copies[from]
		delete(m.copies, from)
		if !ok {
			m.mu.Unlock()
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		x.made = made
		if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
			x.made = last
		}
	}
	m.runs[id] = x
	m.ran = append(m.ran, time.Now())
	m.mu.Unlock()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: 3e1b.07.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, m.id)
	m.pass(c, x)
}

// pass makes the events of a run until it ends or is stopped.
func (m *model) pass(c net.Conn, x *run) {
	for {
		select {
		case <-x.stop:
			return
		case <-time.After(modelStep):
		}
		m.mu.Lock()
		if x.stopped || x.made == x.total {
			x.stopped = true
			m.mu.Unlock()
			return
		}
		x.made++
		n := x.made
		_, err := fmt.Fprintf(c, "id: %d\ndata: event %d of %d%s\n\n", n, n, x.total, m.text)
		if err != nil {
			x.stopped = true
		}
		m.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// heard is what a client has of a stream.
type heard struct {
	id     string
	status int
	// asked is the number of events that the client asked for.
	asked  int
	events []int
	// complete is true if the answer ended as its framing says.
	complete bool
	err      error
}

// inOrder reports whether the events are 1 to their number.
func (h heard) inOrder() bool {
	for i, n := range h.events {
		if n != i+1 {
			return false
		}
	}
	return true
}

// stream sends a request of plan-draft with a number of events, and reads its answer.
func stream(c *caller, front string, events int) heard {
	h := heard{id: newID(), asked: events}
	r, err := http.NewRequest(http.MethodPost, "http://"+front+"/draft/2f", nil)
	if err != nil {
		h.err = err
		return h
	}
	r.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": h.id, "X-Api-Key": secret, "Deadline-Ms": "39000", "Model": "m", "Token-Count": fmt.Sprintf("1460,%d", 4*events),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:660", h.id[:8]),
	} {
		r.Header.Set(name, value)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		h.err = err
		return h
	}
	defer func() { _ = resp.Body.Close() }()
	h.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, _ := strconv.Atoi(text)
			h.events = append(h.events, n)
		}
	}
	h.err = lines.Err()
	h.complete = h.err == nil
	return h
}

// made returns how many events a run has made.
func (m *model) made(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.runs[id]; x != nil {
		return x.made
	}
	return 0
}

// ranSince returns how many requests have begun here since a time.
func (m *model) ranSince(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, t := range m.ran {
		if t.After(at) {
			n++
		}
	}
	return n
}
