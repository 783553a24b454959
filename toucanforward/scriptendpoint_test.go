package toucanforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// endpoint is a fake endpoint that answers by a script with one step a line:
//
//	status N BODY    a complete answer; "leaving N BODY" says that the endpoint leaves
//	notRun           a refusal that reports that the request did not run
//	later SECONDS    a refusal that asks for no request for so long
//	limited N        a complete answer that names a limit of N requests a second
//	foreign BODY     an answer to another request, before that of the next line on the same connection
//	garbage          bytes that are not HTTP
//	cutBody          an answer that ends early
//	halfHead N       N percent of the head of an answer with an empty body; the connection is closed
//	longBody         an answer longer than maxBufferedAnswer that ends early
//	reset            no answer; the connection is closed
//	silent           nothing until released or stopped, then no answer
//	events A B hold  events A to B, then wait until released or stopped
//	events A B cut   events A to B, then the connection breaks
//	events A B end   events A to B, then the stream's end
//	events A B cutInside  the same, inside the event after B
//	events A B keep  the same as end, and the connection stays open for another request
//	rest B ...       the same as events A B, from the event after the one that the request names
//	early ...        the step that follows, before the body was read
//	drop             no answer on a connection that was kept; the connection is closed, and the request is not recorded
//	events A B encoded       the same as end, with a Content-Encoding
//	events A B unframed      events A to B without length or chunks, which end with the connection
//	events A B unframedHold  the same, and wait until released or stopped before the connection ends
//	events A B unframedReset the same as unframed, and the connection is reset
//	events A B unframedHalf  the same, with half an event at the end
//	events A B unframedDeath the same without it, and the endpoint ends too
//	events A B unframedDying the same, but its listener accepts one more connection before it ends
//	unframed BODY    an answer without length, which ends with its connection
//	unframed BODY death       the same, and the endpoint ends too; with long before death, longer than maxBufferedAnswer
//	unframed BODY reset       the same, and the connection is reset
//	unframed BODY dying       the same as death, but its listener accepts one more connection before it ends
type endpoint struct {
	t      *testing.T
	name   string
	server *httptest.Server
	// deployment knows the body that the endpoint is to get.
	deployment *deployment

	mu    sync.Mutex
	steps []string
	seen  []string
	began chan struct{}
	held  chan bool
	// keeps is true if the connection of the last step stays open.
	keeps bool
	// dying is true if the endpoint ends with the next connection that it accepts.
	dying atomic.Bool
	// resets is true once a step ends with a reset of its connection.
	resets atomic.Bool
}

func (e *endpoint) address() string {
	if e.server == nil {
		return ""
	}
	return e.server.Listener.Addr().String()
}

func (e *endpoint) script(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps = strings.Split(strings.TrimSpace(text), "\n")
}

func (e *endpoint) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = nil
}

func (e *endpoint) arrivals() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seen...)
}

func (e *endpoint) expectHold() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.began, e.held = make(chan struct{}), make(chan bool, 1)
	return e.began
}

// beginHold reports that the endpoint holds its answer back, and returns the channel that ends this.
func (e *endpoint) beginHold() <-chan bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.began)
	return e.held
}

func (e *endpoint) stop()    { e.endHeldStream(false) }
func (e *endpoint) release() { e.endHeldStream(true) }

// endHeldStream ends a held stream: with its proper end if whole is true, and by breaking the connection otherwise.
func (e *endpoint) endHeldStream(whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		return
	}
	select {
	case e.held <- whole:
	default:
	}
}

// kill closes the endpoint's listener and connections.
func (e *endpoint) kill() {
	_ = e.server.Listener.Close()
	e.stop()
	e.server.CloseClientConnections()
}

// endOnAccept ends a dying endpoint with its first connection, as an operating system does that closes a listener last.
func (e *endpoint) endOnAccept(c net.Conn, state http.ConnState) {
	if state != http.StateNew || !e.dying.Load() {
		return
	}
	_ = e.server.Listener.Close()
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// readBody reads the body of a request and reports whether it is the one that the caller sent. A step that begins with early answers
// before it has read the body.
func (e *endpoint) readBody(r *http.Request) bool {
	e.mu.Lock()
	early := len(e.steps) > 0 && strings.HasPrefix(e.steps[0], "early ")
	if early {
		e.steps[0] = strings.TrimPrefix(e.steps[0], "early ")
	}
	e.mu.Unlock()
	if early {
		return true
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && string(body) == e.deployment.sent
}

func (e *endpoint) record(r *http.Request, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	what := "run"
	if r.Header.Get(headerLast) != "" {
		what += " after " + r.Header.Get(headerLast)
	}
	if r.Header.Get(headerResume) != "" {
		what = fmt.Sprintf("resume %s after %s", r.Header.Get(headerResume), r.Header.Get(headerLast))
		if r.Header.Get(headerResume) == r.Header.Get(headerID) {
			what = "resume backup after " + r.Header.Get(headerLast)
		}
	}
	if r.Header.Get("X-Key") != "" || r.Header.Get(headerLeft) != "true" {
		what += " with wrong headers"
	}
	if !whole {
		what += " with a wrong body"
	}
	e.seen = append(e.seen, what)
}

func (e *endpoint) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.steps) == 0 {
		return "status 200 default"
	}
	step := e.steps[0]
	e.steps = e.steps[1:]
	return step
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	whole := e.readBody(r)
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for r != nil {
		e.record(r, whole)
		for e.answer(rw, r) {
		}
		_ = rw.Flush() // The connection may be gone.
		if e.resets.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		r = e.nextOnKept(rw)
	}
}

// nextOnKept returns the next request on a connection that the last step kept open; nil if it did not, or if the next step drops it.
func (e *endpoint) nextOnKept(rw *bufio.ReadWriter) *http.Request {
	e.mu.Lock()
	kept := e.keeps
	e.keeps = false
	e.mu.Unlock()
	if !kept {
		return nil
	}
	r, err := http.ReadRequest(rw.Reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body) // Only bodies on new connections are checked.
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.steps) > 0 && e.steps[0] == "drop" {
		e.steps = e.steps[1:]
		return nil
	}
	return r
}

// answer performs one step and reports whether another step follows for the same request.
func (e *endpoint) answer(rw *bufio.ReadWriter, r *http.Request) bool {
	step := strings.Fields(e.next())
	id := r.Header.Get(headerID)
	switch step[0] {
	case "leaving":
		body := strings.Join(step[2:], " ")
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 %s Any\r\nConnection: close\r\n%s: %s\r\n%s: yes\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", step[1], headerID, id, headerGenuine, headerLeaving, len(body), body)
	case "status":
		body := strings.Join(step[2:], " ")
		// The connection is closed after every answer; the header keeps the pool from reusing it.
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 %s Any\r\nConnection: close\r\n%s: %s\r\n%s: yes\r\nX-Private: hush\r\nContent-Length: %d\r\n\r\n%s", step[1], headerID, id, headerGenuine, len(body), body)
	case "limited":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 Any\r\nConnection: close\r\n%s: %s\r\n%s: yes\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id, headerGenuine, headerLimit, step[1])
	case "foreign":
		body := strings.Join(step[1:], " ")
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: yes\r\nX-Private: hush\r\nContent-Length: %d\r\n\r\n%s", headerID, headerGenuine, len(body), body)
		return true
	case "notRun":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 503 Busy\r\nConnection: close\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
	case "later":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 503 Busy\r\nConnection: close\r\nRetry-After: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", step[1], headerNotRun)
	case "garbage":
		_, _ = rw.WriteString("no " + secretMark + " answer\r\n\r\n")
	case "cutBody":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nX-Private: hush\r\nContent-Length: 100\r\n\r\nhalf", headerID, id, headerGenuine)
	case "longBody":
		body := strings.Repeat("x", 2*maxBufferedAnswer)
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerGenuine, len(body)+1, body)
	case "unframed":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nX-Private: hush\r\nConnection: close\r\n\r\n%s", headerID, id, headerGenuine, step[1])
		if slices.Contains(step, "long") {
			_, _ = rw.WriteString(strings.Repeat("x", 2*maxBufferedAnswer))
		}
		switch step[len(step)-1] {
		case "death":
			_ = e.server.Listener.Close()
		case "dying":
			e.dying.Store(true)
		case "reset":
			e.resets.Store(true)
		}
	case "halfHead":
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", headerID, id, headerGenuine)
		share, _ := strconv.Atoi(step[1])
		_, _ = rw.WriteString(head[:(len(head)-1)*share/100])
	case "silent":
		<-e.beginHold()
	case "events":
		e.stream(rw, id, step)
	case "rest":
		last, _ := strconv.Atoi(r.Header.Get(headerLast))
		e.stream(rw, id, []string{"events", strconv.Itoa(last + 1), step[1], step[2]})
	}
	return false
}

func (e *endpoint) stream(rw *bufio.ReadWriter, id string, step []string) {
	from, _ := strconv.Atoi(step[1])
	to, _ := strconv.Atoi(step[2])
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nX-Private: hush\r\nContent-Type: text/event-stream\r\n", headerID, id, headerGenuine, e.name)
	if step[3] == "unnamed" {
		head = strings.Replace(head, headerID+": "+id+"\r\n", "", 1)
	}
	if step[3] == "keep" {
		e.mu.Lock()
		e.keeps = true
		e.mu.Unlock()
	} else {
		head += "Connection: close\r\n"
	}
	if step[3] == "encoded" {
		head += "Content-Encoding: deflate\r\n"
	}
	if strings.HasPrefix(step[3], "unframed") {
		_, _ = rw.WriteString(head + "\r\n")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: t%d\n\n", i, i)
		}
		switch step[3] {
		case "unframedHold":
			_ = rw.Flush()
			<-e.beginHold()
		case "unframedHalf":
			_, _ = fmt.Fprintf(rw, "id: %d\nda", to+1)
		case "unframedReset":
			e.resets.Store(true)
		case "unframedDeath":
			_ = e.server.Listener.Close()
		case "unframedDying":
			e.dying.Store(true)
		}
		return
	}
	_, _ = rw.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for i := from; i <= to; i++ {
		event := fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
		_, _ = fmt.Fprintf(rw, "%x\r\n%s\r\n", len(event), event)
	}
	_ = rw.Flush()
	switch step[3] {
	case "end", "keep", "encoded", "unnamed":
		_, _ = rw.WriteString("0\r\n\r\n")
	case "cutInside":
		event := fmt.Sprintf("id: %d\nda", to+1)
		_, _ = fmt.Fprintf(rw, "%x\r\n%s\r\n", len(event), event)
	case "hold":
		if <-e.beginHold() {
			_, _ = rw.WriteString("0\r\n\r\n")
		}
	}
}
