package toucanhead

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

const (
	// longBody is the length in bytes of a body that net/http does not read on to its end.
	longBody = 4 << 20
	// earlyAnswer is the body of the answers of these tests.
	earlyAnswer = "refused early"
)

// earlyServer is a server behind a gate that answers before it has read the body. closed receives a value each time the server is done with
// a connection.
type earlyServer struct {
	gate    *Gate
	address string
	closed  chan struct{}
	served  chan string
}

func startEarlyServer(t *testing.T, limits Limits, handler http.HandlerFunc) *earlyServer {
	t.Helper()
	s := &earlyServer{closed: make(chan struct{}, 100), served: make(chan string, 100)}
	limits.HeadBytes = func() int { return headLimit }
	s.gate = New(limits, func(Event) {})
	h := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.served <- r.URL.Path
			handler(w, r)
		}),
		ReadHeaderTimeout: waitLimit,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.closed <- struct{}{}
			}
		},
	}
	s.gate.Attach(h)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = ln.Addr().String()
	go func() { _ = h.Serve(s.gate.Listen(ln)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *earlyServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return c
}

func (s *earlyServer) awaitClosed(t *testing.T) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(waitLimit):
		t.Fatal("the server has not ended the connection")
	}
}

// refuseEarly answers without a look at the body, as net/http does it or with full duplex.
func refuseEarly(duplex bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if duplex {
			_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/1 has it.
		}
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, earlyAnswer) // The caller may have left.
	}
}

// refuseLate answers once the body has not come in time.
func refuseLate(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusRequestTimeout)
	_, _ = io.WriteString(w, earlyAnswer) // The caller may have left.
}

// TestEarlyAnswerReachesASlowCaller guards against a ready answer that is lost to a reset (LOST): the caller, or its process or link, stands
// still until the server is done with the connection, then sends the rest of its body, and reads the answer after that.
func TestEarlyAnswerReachesASlowCaller(t *testing.T) {
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", longBody)
	for _, tc := range []struct {
		name, head, end string
		handler         http.HandlerFunc
	}{
		{"sized", sized, "", refuseEarly(false)},
		{"sized, full duplex", sized, "", refuseEarly(true)},
		{"chunked", chunked, "\r\n0\r\n\r\n", refuseEarly(false)},
		{"chunked, full duplex", chunked, "\r\n0\r\n\r\n", refuseEarly(true)},
		{"connection to be closed", "Connection: close\r\n" + sized, "", refuseEarly(false)},
		{"connection to be closed, full duplex", "Connection: close\r\n" + sized, "", refuseEarly(true)},
		{"not in time", sized, "", refuseLate},
		{"not in time, chunked", chunked, "\r\n0\r\n\r\n", refuseLate},
		{"sent without 100", "Expect: 100-continue\r\n" + sized, "", refuseEarly(false)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startEarlyServer(t, Limits{MemoryBytes: 1 << 20}, tc.handler)
			c := s.dial(t)
			const sent = longBody / 2
			go func() {
				_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+tc.head)
			}()
			s.awaitClosed(t)
			for _, part := range []string{strings.Repeat("x", sent), strings.Repeat("x", longBody-sent), tc.end} {
				_, err := io.WriteString(c, part)
				assert.NilError(t, err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, string(body), earlyAnswer)
			_, err = c.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF) // And not a reset.
		})
	}
}

// TestCutAnswerIsNotLost guards against what was passed on of an answer and is lost to a reset, as the answer is cut while the caller still
// sends its body: the caller gets what was passed on, and sees that it is not whole.
func TestCutAnswerIsNotLost(t *testing.T) {
	s := startEarlyServer(t, Limits{MemoryBytes: 1 << 20}, func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex() // HTTP/1 has it.
		_, _ = io.WriteString(w, earlyAnswer)
		_ = control.Flush() // The caller may have left.
		panic(http.ErrAbortHandler)
	})
	c := s.dial(t)
	_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", longBody)
	assert.NilError(t, err)
	s.awaitClosed(t)
	_, err = io.WriteString(c, strings.Repeat("x", longBody/2))
	assert.NilError(t, err)
	_, err = io.WriteString(c, strings.Repeat("x", longBody/2))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	_ = resp.Body.Close() // It fails as the read has.
	assert.Equal(t, string(body), earlyAnswer)
}

// TestRestOfABodyIsNoRequest guards against a part of a body that is served as a request: the answer comes before the end of the body, whose
// rest looks like a request and arrives after that.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	const first, rest = "first part", "GET /rest HTTP/1.1\r\nHost: h\r\n\r\n"
	s := startEarlyServer(t, Limits{MemoryBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex() // HTTP/1 has it.
		_, _ = io.CopyN(io.Discard, r.Body, int64(len(first)))
		_ = control.SetReadDeadline(time.Now())
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, earlyAnswer) // The caller may have left.
	})
	c := s.dial(t)
	_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(first)+len(rest), first)
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(body), earlyAnswer)
	_, err = io.WriteString(c, rest)
	assert.NilError(t, err)
	_, err = r.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, <-s.served, "/x")
	assert.Equal(t, len(s.served), 0)
}

// TestBodyThatHasArrivedKeepsTheConnection checks that a short body that nobody read does not cost the connection.
func TestBodyThatHasArrivedKeepsTheConnection(t *testing.T) {
	s := startEarlyServer(t, Limits{MemoryBytes: 1 << 20}, refuseEarly(false))
	c := s.dial(t)
	r := bufio.NewReader(c)
	for range 3 {
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Assert(t, !resp.Close)
	}
}

// lingering returns the caller's end of a connection whose request, with a body of longBody bytes, has been answered.
func lingering(t *testing.T, g *Gate) net.Conn {
	t.Helper()
	caller, raw := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	c := newConn(raw, g)
	assert.Assert(t, g.add(c))
	go func() { _, _ = fmt.Fprintf(caller, "POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n", longBody) }()
	_, err := io.ReadFull(c, make([]byte, len(fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n", longBody))))
	assert.NilError(t, err)
	c.serve(longBody, false)
	c.finish()
	assert.NilError(t, c.Close())
	return caller
}

// TestRestOfABodyIsReadWithinBounds checks that callers that send nothing, a little now and then, or without end, hold a connection for a
// bounded time.
func TestRestOfABodyIsReadWithinBounds(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pause is the time between two writes of n bytes; zero for no write.
		pause time.Duration
		n     int
		// most is how long the connection stays open.
		most time.Duration
	}{
		{"nothing", 0, 0, lingerIdle},
		{"a byte now and then", lingerIdle - time.Millisecond, 1, lingerTime},
		{"without end", time.Millisecond, discardBytes, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				g := New(Limits{HeadBytes: func() int { return headLimit }, MemoryBytes: 1 << 20, BodyBytes: func() int64 { return longBody / 2 }}, func(Event) {})
				began := time.Now()
				caller := lingering(t, g)
				assert.Equal(t, g.countLingering(), 1)
				assert.Equal(t, g.Usage().Used, 0)
				var writer sync.WaitGroup
				writer.Go(func() {
					for err := error(nil); tc.n > 0 && err == nil; time.Sleep(tc.pause) {
						_, err = caller.Write(make([]byte, tc.n))
					}
				})
				_, err := caller.Read(make([]byte, 1))
				assert.Equal(t, err, io.EOF)
				assert.Assert(t, time.Since(began) <= tc.most, "%v", time.Since(began))
				writer.Wait()
				synctest.Wait()
				_, open := g.counts()
				assert.Equal(t, open, 0)
				assert.Equal(t, g.countLingering(), 0)
			})
		})
	}
}

// TestReadingOnMakesRoom checks that connections whose bodies are read after the answer make room for new ones, and are bounded themselves.
func TestReadingOnMakesRoom(t *testing.T) {
	const most = 4
	events := make(map[Reason]int)
	for _, limits := range []Limits{
		{MemoryBytes: most * connectionWeight},
		{MemoryBytes: 1 << 20, Connections: most + 1}, // A request in service needs one more.
	} {
		limits.HeadBytes = func() int { return headLimit }
		g := New(limits, func(e Event) { events[e.Reason]++ })
		var callers []net.Conn
		for range 2 * most {
			callers = append(callers, lingering(t, g))
		}
		assert.Equal(t, g.countLingering(), most)
		_, err := callers[0].Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
	}
	assert.Equal(t, events[ReasonLingering], 2*most, "%v", events)
	assert.Equal(t, events[ReasonIdle]+events[ReasonUnfinished]+events[ReasonConnections], 0)
}

// TestDrainEndsWithItsContext checks that a server that stops waits for callers that still send, but not beyond its time.
func TestDrainEndsWithItsContext(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const grace = lingerIdle / 2
		g := New(Limits{HeadBytes: func() int { return headLimit }, MemoryBytes: 1 << 20}, func(Event) {})
		sends, stands := lingering(t, g), lingering(t, g)
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		began := time.Now()
		drained := make(chan struct{})
		go func() {
			g.Drain(ctx)
			close(drained)
		}()
		_, err := sends.Write(make([]byte, longBody))
		assert.NilError(t, err)
		_, err = sends.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, time.Since(began), time.Duration(0))
		<-drained
		assert.Equal(t, time.Since(began), grace)
		_, err = stands.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		late := lingering(t, g)
		_, err = late.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, time.Since(began), grace)
	})
}

// TestLateEarlyAnswerOfADrainedGateCloses guards against a connection that is never closed: the answer came before the end of the body, but
// after the gate was drained, and the server ended what is sent before it closed the connection.
func TestLateEarlyAnswerOfADrainedGateCloses(t *testing.T) {
	answer := make(chan struct{})
	s := startEarlyServer(t, Limits{MemoryBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		<-answer
		refuseEarly(false)(w, r)
	})
	c := s.dial(t)
	_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", longBody)
	assert.NilError(t, err)
	<-s.served
	s.gate.Drain(t.Context())
	close(answer)
	s.awaitClosed(t)
	await(t, "the connection is closed", func() bool { return s.gate.openConnections() == 0 })
}
