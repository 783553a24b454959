package toucanhead

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

const (
	headLimit = 8 << 10
	waitLimit = 20 * time.Second
)

// server is a server behind a gate.
type server struct {
	gate    *Gate
	address string
	// release lets the requests to /held end.
	release chan struct{}

	mu     sync.Mutex
	events map[Reason]int
}

// startServer starts a server whose answers name the request's path and the length of its body, with a gate unless limits is nil.
func startServer(t *testing.T, limits *Limits) *server {
	t.Helper()
	s := &server{release: make(chan struct{}), events: make(map[Reason]int)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = ln.Addr().String()
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: waitLimit}
	if limits != nil {
		limits.HeadBytes = func() int { return headLimit }
		s.gate = New(*limits, s.observe)
		s.gate.Attach(h)
		ln = s.gate.Listen(ln)
	}
	go func() { _ = h.Serve(ln) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/held" {
		<-s.release
	}
	n, err := io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/unread" {
		n, err = 0, nil
	}
	_, _ = fmt.Fprintf(w, "%s %s %d %v", r.Method, r.URL.Path, n, err != nil) // The caller may have left.
}

func (s *server) observe(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[e.Reason]++
}

func (s *server) count(why Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[why]
}

func (s *server) dial(t testing.TB) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return c
}

// await waits until a condition holds.
func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitLimit))
}

// counts returns the number of connections without a whole request, and all of them.
func (g *Gate) counts() (unfinished, open int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unfinished.n, g.open
}

// exchange sends text in parts and returns all answers up to the end of the connection.
func (s *server) exchange(t *rapid.T, text string, sizes []int) []string {
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	go func() {
		rest := text
		for _, size := range sizes {
			part := rest[:min(size, len(rest))]
			_, _ = io.WriteString(c, part) // The answers show what arrived.
			rest = rest[len(part):]
		}
		_, _ = io.WriteString(c, rest)
	}()
	var list []string
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return list
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // It was read to its end.
		list = append(list, fmt.Sprint(resp.StatusCode, string(body), err, resp.Close))
		if resp.Close {
			return list
		}
	}
}

// TestGateChangesNoRequest checks that sound requests on one connection, whatever their bodies are and however they are split and pipelined, get the
// same answers with a gate as without.
func TestGateChangesNoRequest(t *testing.T) {
	plain, gated := startServer(t, nil), startServer(t, &Limits{MemoryBytes: 1 << 20})
	requests := []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /b HTTP/1.1\nHost: h\n\n",
		"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\r\n\r\nx",
		"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n",
		"POST /f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n3;e\r\nabc\r\n0\r\n\r\n",
		"POST /g HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: 1\r\n\r\n",
		"POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("z", 6000),
		"GET /k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 7000) + "\r\n\r\n",
		"POST /l HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
	}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Builder{}
		drawn := rapid.SliceOfN(rapid.IntRange(0, len(requests)-1), 1, 6).Draw(t, "requests")
		for _, i := range drawn {
			text.WriteString(requests[i])
		}
		text.WriteString("GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 100), 0, 20).Draw(t, "sizes")
		want := plain.exchange(t, text.String(), sizes)
		assert.DeepEqual(t, gated.exchange(t, text.String(), sizes), want)
	})
}

// readStatus returns the status of the next answer, or 0 for none.
func readStatus(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
	_ = resp.Body.Close()
	return resp.StatusCode
}

// lines returns a head of short lines for a path, of about size bytes, that has not ended.
func lines(path string, size int) string {
	text := strings.Builder{}
	text.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n")
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%d:\n", i)
	}
	return text.String()
}

func TestHeadOverItsLimitIsRefused(t *testing.T) {
	s := startServer(t, &Limits{MemoryBytes: 8 << 20})
	c := s.dial(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", headLimit+extraBytes))
	assert.NilError(t, err)
	assert.Equal(t, readStatus(c), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, s.count(ReasonTooLarge), 1)
	assert.Equal(t, s.gate.Usage().Used, 0)
}

// TestHeaviestHeadIsServedInCalm checks that the memory always has room for one head of legal size.
func TestHeaviestHeadIsServedInCalm(t *testing.T) {
	s := startServer(t, &Limits{MemoryBytes: 1})
	for range 3 {
		c := s.dial(t)
		_, err := io.WriteString(c, lines("/x", headLimit)+"\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readStatus(c), http.StatusOK)
		await(t, "the memory is free", func() bool { return s.gate.Usage().Used == 0 })
	}
}

// TestHeadsShareTheMemory checks that heads of requests in service hold memory, that a heavy head without any is refused, and that ordinary
// heads need none.
func TestHeadsShareTheMemory(t *testing.T) {
	s := startServer(t, &Limits{MemoryBytes: 1 << 20})
	for i := 0; s.count(ReasonNoMemory) == 0; i++ {
		assert.Assert(t, i < 100, "no head was refused")
		c := s.dial(t)
		_, err := io.WriteString(c, lines("/held", headLimit)+"\r\n")
		assert.NilError(t, err)
		await(t, "the head is read", func() bool {
			unfinished, open := s.gate.counts()
			return open == i+1 && unfinished == 0 || s.count(ReasonNoMemory) > 0
		})
		if s.count(ReasonNoMemory) > 0 {
			assert.Equal(t, readStatus(c), http.StatusServiceUnavailable)
		}
	}
	ordinary := s.dial(t)
	_, err := io.WriteString(ordinary, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(ordinary), http.StatusOK)
	close(s.release)
	await(t, "the memory is free", func() bool { return s.gate.Usage().Used == 0 })
}

// TestUnfinishedConnectionsMakeRoom checks that the oldest connection without a whole request is closed for a new one, and that
// whole requests are served beside any number of them.
func TestUnfinishedConnectionsMakeRoom(t *testing.T) {
	const most = 4
	s := startServer(t, &Limits{MemoryBytes: most * connectionWeight})
	var conns []net.Conn
	for i := range 3 * most {
		conns = append(conns, s.dial(t))
		_, err := io.WriteString(conns[i], "GET /x HTTP/1.1\r\n")
		assert.NilError(t, err)
		await(t, "the connection is accepted", func() bool {
			unfinished, _ := s.gate.counts()
			return unfinished == min(i+1, most) && s.count(ReasonUnfinished) == max(i+1-most, 0)
		})
	}
	_, err := conns[0].Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	whole := s.dial(t)
	_, err = io.WriteString(whole, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(whole), http.StatusOK)
	last := conns[len(conns)-1]
	_, err = io.WriteString(last, "Host: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(last), http.StatusOK)
}

// TestIdleConnectionsMakeRoom checks that a connection between two requests is closed for a new one once there are too many, and that
// connections with a request in service are not.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, &Limits{MemoryBytes: 1 << 20, Connections: 5})
	held := s.dial(t)
	_, err := io.WriteString(held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	await(t, "the request is in service", func() bool { unfinished, open := s.gate.counts(); return open == 1 && unfinished == 0 })
	for range 8 {
		c := s.dial(t)
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readStatus(c), http.StatusOK)
		await(t, "one request is in service", func() bool {
			s.gate.mu.Lock()
			defer s.gate.mu.Unlock()
			return s.gate.open-s.gate.idle.n == 1
		})
	}
	assert.Assert(t, s.count(ReasonIdle) > 0)
	_, open := s.gate.counts()
	assert.Assert(t, open <= 4)
	close(s.release)
	assert.Equal(t, readStatus(held), http.StatusOK)
}

// TestRequestsInServiceAreBounded checks that what would need one more connection than there are is refused truthfully.
func TestRequestsInServiceAreBounded(t *testing.T) {
	s := startServer(t, &Limits{MemoryBytes: 1 << 20, Connections: 4})
	var held []net.Conn
	for range 2 {
		c := s.dial(t)
		_, err := io.WriteString(c, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		held = append(held, c)
		await(t, "the request is in service", func() bool { unfinished, open := s.gate.counts(); return open == len(held) && unfinished == 0 })
	}
	c := s.dial(t)
	_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n") // The connection may be closed already.
	status := readStatus(c)
	assert.Assert(t, status == 0 || status == http.StatusServiceUnavailable, "status %d", status)
	await(t, "the refusal is reported", func() bool { return s.count(ReasonConnections) > 0 })
	close(s.release)
	for _, c := range held {
		assert.Equal(t, readStatus(c), http.StatusOK)
	}
}
