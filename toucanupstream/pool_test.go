package toucanupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// peerServer answers each request on a connection with the next text of answers; closing marks the end of a connection.
type peerServer struct {
	net.Listener
	mu      sync.Mutex
	answers []string
	// connections counts those accepted; bodies holds the requests' bodies.
	connections int
	bodies      []string
}

// closing at the end of an answer closes the connection behind it.
const closing = "<close>"

func serve(t *testing.T, answers ...string) *peerServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &peerServer{Listener: l, answers: answers}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

func (s *peerServer) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		go s.talk(c)
	}
}

func (s *peerServer) talk(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := s.next()
		if !strings.HasPrefix(answer, "early ") {
			body, _ := io.ReadAll(req.Body) // A body that is cut short shows in the test.
			s.mu.Lock()
			s.bodies = append(s.bodies, string(body))
			s.mu.Unlock()
		}
		text, ends := strings.CutSuffix(strings.TrimPrefix(answer, "early "), closing)
		if _, err := io.WriteString(c, text); err != nil || ends {
			return
		}
	}
}

func (s *peerServer) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		return closing
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a
}

func (s *peerServer) counted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func message() Message {
	return Message{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Belongs: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

const whole = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

// ask sends one request and returns the body or the error.
func ask(t *testing.T, p *Pool, s *peerServer) (string, error) {
	t.Helper()
	x, err := p.Send(t.Context(), s.Addr().String(), 1, message())
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

// TestAnswers checks what becomes of answers of all kinds, and whether their connection is used again.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name        string
		answers     []string
		body        string
		err         error
		connections int
	}{
		{"kept", []string{whole, whole}, "ok", nil, 1},
		{"closed by its header", []string{strings.Replace(whole, "Id:", "Connection: close\r\nId:", 1), whole}, "ok", nil, 2},
		{"closed behind its answer", []string{whole + closing, whole}, "ok", nil, 2},
		{"another's answer first", []string{"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx" + whole, whole}, "ok", nil, 1},
		{"a second answer behind", []string{whole + whole, whole}, "ok", nil, 2},
		{"cut", []string{"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nok" + closing, whole}, "ok", io.ErrUnexpectedEOF, 2},
		{"cut chunks", []string{"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + closing, whole}, "ok", io.ErrUnexpectedEOF, 2},
		{"without a length", []string{"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok" + closing, whole}, "ok", nil, 2},
		{"garbage", []string{"so what\r\n\r\n", whole}, "", ErrLost, 2},
		{"nothing", []string{closing, whole}, "", ErrLost, 2},
		{"only another's", []string{"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n" + closing, whole}, "", ErrLost, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, tc.answers...)
			p := NewPool()
			body, err := ask(t, p, s)
			assert.Equal(t, body, tc.body)
			if tc.err != nil {
				assert.ErrorIs(t, err, tc.err)
			} else {
				assert.NilError(t, err)
			}
			// Whatever the peer sends behind its answer has time to arrive.
			if tc.connections == 2 && tc.err == nil {
				settle(p, s)
			}
			body, err = ask(t, p, s)
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			assert.Equal(t, s.counted(), tc.connections)
		})
	}
}

// settle waits until an idle connection that can't be used again shows it.
func settle(p *Pool, s *peerServer) {
	for range 1000 {
		p.mu.Lock()
		pr, ok := p.peers[s.Addr().String()]
		sound := ok && len(pr.idle) == 1 && pr.idle[0].quiet()
		p.mu.Unlock()
		if !sound {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestNotSent checks that a request that nobody can have seen is told from one that was lost.
func TestNotSent(t *testing.T) {
	s := serve(t)
	p := NewPool()
	address := s.Addr().String()
	assert.NilError(t, s.Close())
	_, err := p.Send(t.Context(), address, 1, message())
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Assert(t, !errors.Is(err, ErrLost))
}

// TestConnectionLimit checks that no more connections than allowed are opened.
func TestConnectionLimit(t *testing.T) {
	s := serve(t, whole, whole)
	p := NewPool()
	x, err := p.Send(t.Context(), s.Addr().String(), 1, message())
	assert.NilError(t, err)
	_, err = p.Send(t.Context(), s.Addr().String(), 1, message())
	assert.ErrorIs(t, err, ErrConnections)
	assert.ErrorIs(t, err, ErrNotSent)
	x.Close()
	_, err = ask(t, p, s)
	assert.NilError(t, err)
}

// TestCancelClosesTheConnection checks that an endpoint is told by its connection that the caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	s := serve(t, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nok")
	p := NewPool()
	ctx, cancel := context.WithCancel(t.Context())
	x, err := p.Send(ctx, s.Addr().String(), 1, message())
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(x.Body)
	assert.Assert(t, err != nil)
	x.Close()
	assert.Equal(t, len(p.peers), 0)
}

// TestEarlyAnswer checks that a connection whose endpoint answered before it had a long body is not used again, so that
// the rest of the body meets no other request.
func TestEarlyAnswer(t *testing.T) {
	s := serve(t, "early HTTP/1.1 413 Too Large\r\nId: mine\r\nContent-Length: 0\r\n\r\n", whole)
	p := NewPool()
	m := message()
	m.Rest = neverEnding{}
	x, err := p.Send(t.Context(), s.Addr().String(), 1, m)
	assert.NilError(t, err)
	assert.Equal(t, x.Status, http.StatusRequestEntityTooLarge)
	_, err = io.ReadAll(x.Body)
	assert.NilError(t, err)
	x.Close()
	body, err := ask(t, p, s)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, s.counted(), 2)
}

// neverEnding is a body that fills every buffer.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// TestBodies checks that bodies with and without a known length arrive as they are.
func TestBodies(t *testing.T) {
	long := strings.Repeat("0123456789", 2000)
	s := serve(t, whole, whole, whole)
	p := NewPool()
	for _, rest := range []io.Reader{nil, strings.NewReader("rest")} {
		m := message()
		m.Body, m.Rest = []byte(long), rest
		x, err := p.Send(t.Context(), s.Addr().String(), 1, m)
		assert.NilError(t, err)
		_, err = io.ReadAll(x.Body)
		assert.NilError(t, err)
		x.Close()
	}
	assert.DeepEqual(t, s.bodies, []string{long, long + "rest"})
}

// TestIdleTimeout checks that a connection is given up before the endpoint closes it by the timeout that it states.
func TestIdleTimeout(t *testing.T) {
	s := serve(t, strings.Replace(whole, "Id:", "Keep-Alive: timeout=1\r\nId:", 1))
	p := NewPool()
	_, err := ask(t, p, s)
	assert.NilError(t, err)
	assert.Equal(t, len(p.expired(time.Now().Add(idleMargin-time.Millisecond))), 0)
	assert.Equal(t, len(p.expired(time.Now().Add(time.Second))), 1)
}

// TestDroppedConnectionsMakeShy checks that connections are used again after shorter rests for a while when a peer was
// found to drop one that rested.
func TestDroppedConnectionsMakeShy(t *testing.T) {
	p := NewPool()
	assert.Equal(t, p.restBound(), longestIdle)
	p.dropped(2 * time.Second)
	assert.Equal(t, p.restBound(), time.Second)
	p.dropped(10 * time.Millisecond)
	assert.Equal(t, p.restBound(), shortestIdle)
	p.dropped(2 * time.Second)
	assert.Equal(t, p.restBound(), shortestIdle)
	p.shyUntil = time.Now().Add(-time.Second)
	assert.Equal(t, p.restBound(), longestIdle)
}
