package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// earlyEngines is the number of engines, of which one (0.25) answers early, at most one of earlyOf answers (0.02).
	earlyEngines, earlyOf = 4, 50
	// planMs is the time-out of the route of long streams, and planEvents and planPause their length and pace.
	planMs     = 39000
	planEvents = 80
	planPause  = 50 * time.Millisecond
	// longBody is the length of a long body, inside MaxBodyBytes, of which an engine that answers early has read readFirst bytes before.
	longBody, readFirst = 4000000, 64 << 10
	// longEvery is how many requests there are for each with a long body.
	longEvery = 25
	// hupPause is the time between two SIGHUPs, below ConfigurationApplyMs.
	hupPause = 1500 * time.Millisecond
	// earlyPlay is how long clients come.
	earlyPlay = 30 * time.Second
)

// planEngine is the stand-in for an engine of streams. It answers one request at a time on a connection, and can answer early: before it
// has read a long body, of which it reads on once its answer is sent.
type planEngine struct {
	rig      *rig
	id       string
	zone     string
	born     int64
	listener net.Listener
	early    bool

	mu sync.Mutex
	// answers is the number of answers, given those that were early, and sent how many events of each stream were sent.
	answers, given int
	sent           map[string]int
	// broke holds the requests whose connection the system ended, with its error.
	broke map[string]string
}

func (r *rig) addPlanEngine(id, zone string, early bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	e := &planEngine{rig: r, id: id, zone: zone, born: time.Now().UnixMilli(), listener: l, early: early, sent: make(map[string]int), broke: make(map[string]string)}
	r.must(r.store.Set("servers/"+id, e.entry(1)))
	r.plans = append(r.plans, e)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
}

// entry returns what the engine writes about itself in the store.
func (e *planEngine) entry(sequence int) map[string]any {
	return map[string]any{
		"Service": "plans", "Address": e.listener.Addr().String(), "Zone": e.zone, "Version": 1, "Slots": 48, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": sequence, "born": e.born,
	}
}

// serve answers the requests on a connection.
func (e *planEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil || !e.answer(conn, req) {
			return
		}
	}
}

// answer answers one request, and returns false if the connection has ended.
func (e *planEngine) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("Attempt-Id")
	if req.Header.Get("Expect-Instance") != e.id {
		_, _ = io.Copy(io.Discard, req.Body)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	e.mu.Lock()
	e.answers++
	early := e.early && e.rig.trouble && req.ContentLength >= longBody && e.answers >= earlyOf*(e.given+1)
	if early {
		e.given++
		e.rig.record("engine %s: answers %s before it has read its body of %d bytes, and reads on later; answers so far: %d, early: %d", e.id, id, req.ContentLength, e.answers, e.given)
	}
	e.mu.Unlock()
	first := req.Body
	if early {
		first = io.NopCloser(io.LimitReader(req.Body, readFirst))
	}
	if _, err := io.Copy(io.Discard, first); err != nil {
		return false
	}
	if err := e.stream(conn, id); err != nil {
		e.mu.Lock()
		e.broke[id] = reason(err)
		e.mu.Unlock()
		return false
	}
	_, err := io.Copy(io.Discard, req.Body)
	return err == nil
}

// stream sends a whole stream.
func (e *planEngine) stream(conn net.Conn, id string) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id)
	if err != nil {
		return err
	}
	w := httputil.NewChunkedWriter(conn)
	for n := range planEvents {
		time.Sleep(planPause)
		if _, err := io.WriteString(w, event(n+1)); err != nil {
			return err
		}
		e.mu.Lock()
		e.sent[id] = n + 1
		e.mu.Unlock()
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err = io.WriteString(conn, "\r\n")
	return err
}

// plan is a stream as its client got it.
type plan struct {
	id     string
	long   bool
	at     time.Time
	status int
	events int
	// end is empty for a whole answer.
	end string
	// over is when it ended.
	over time.Time
}

// askPlan makes one request for a long stream, with a long body or a short one, and reads it as it comes.
func (r *rig) askPlan(m *machine, long bool) (p plan) {
	p = plan{id: r.nextID('p'), long: long, at: time.Now()}
	defer func() { p.over = time.Now() }()
	body := "{}"
	if long {
		body = strings.Repeat("x", longBody)
	}
	conn, err := net.DialTimeout("tcp", m.callers, connectTime)
	if err != nil {
		p.end = "no connection: " + reason(err)
		return p
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(p.at.Add(planMs * time.Millisecond))
	_, err = fmt.Fprintf(conn, "POST /plan/7 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s", host, p.id, planMs, callerKey, len(body), body)
	if err != nil {
		p.end = "not sent: " + reason(err)
		return p
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.end = "no answer: " + reason(err)
		return p
	}
	p.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	p.events = strings.Count(string(text), "\n\n")
	if err != nil {
		p.end = "no whole answer: " + reason(err)
	}
	return p
}

// playEarly: an engine answers some requests before it has read their long bodies, and reads on later, while the machine gets SIGHUP now
// and then. It returns true if a stream that its engine makes soundly ends without a complete answer.
func playEarly(r *rig) bool {
	for i := range earlyEngines {
		r.addPlanEngine(fmt.Sprintf("i-c03d6a5%d", i), r.site.zones[i%len(r.site.zones)], i == 0)
	}
	r.deploy(1)
	m := r.machines[0]
	time.Sleep(4 * time.Second) // More than ContactMs.
	var clients sync.WaitGroup
	var mu sync.Mutex
	var all []plan
	lastHup := time.Time{}
	began := time.Now()
	for n := 0; time.Since(began) < earlyPlay; n++ {
		if time.Since(lastHup) >= hupPause {
			lastHup = time.Now()
			m.signal(syscall.SIGHUP)
		}
		clients.Go(func() {
			p := r.askPlan(m, n%longEvery == longEvery-1)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, p)
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	whole, cut := 0, 0
	for _, p := range all {
		if p.status == http.StatusOK && p.end == "" && p.events == planEvents {
			whole++
			continue
		}
		sent, broke := 0, ""
		for _, e := range r.plans {
			e.mu.Lock()
			sent, broke = max(sent, e.sent[p.id]), broke+e.broke[p.id]
			e.mu.Unlock()
		}
		r.record("stream %s (long body: %v): status %d, %d of %d events at the client, %s, after %.3f s; its engine had sent %d and saw: %s", p.id, p.long, p.status, p.events, planEvents,
			p.end, p.over.Sub(p.at).Seconds(), sent, broke)
		if sent > 0 {
			cut++
		}
	}
	given := 0
	for _, e := range r.plans {
		r.record("engine %s: %d answers, early: %d", e.id, e.answers, e.given)
		given += e.given
	}
	if r.trouble && given == 0 {
		panic("no answer was early")
	}
	r.record("streams: %d whole, %d cut by the machine", whole, cut)
	return cut > 0
}
