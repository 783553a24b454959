package toucanupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// peerServer is a server that answers each request on any connection with the next element of answers. The
// prefix "early " makes it answer before it reads the body; the suffix closeMark makes it close the connection
// afterwards.
type peerServer struct {
	net.Listener
	mu      sync.Mutex
	answers []string
	// connections is the number of accepted connections; bodies holds the bodies of all requests but early ones.
	connections int
	bodies      []string
}

// closeMark at the end of an answer makes the server close the connection after it.
const closeMark = "<close>"

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
		go s.serveConn(c)
	}
}

func (s *peerServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := s.next()
		if !strings.HasPrefix(answer, "early ") {
			body, _ := io.ReadAll(req.Body) // A truncated body fails the comparison in the test.
			s.mu.Lock()
			s.bodies = append(s.bodies, string(body))
			s.mu.Unlock()
		}
		text, ends := strings.CutSuffix(strings.TrimPrefix(answer, "early "), closeMark)
		if _, err := io.WriteString(c, text); err != nil || ends {
			return
		}
	}
}

func (s *peerServer) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		return closeMark
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a
}

func (s *peerServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func message() Message {
	return Message{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: Bytes("body"),
		Belongs: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

// sendAndRead sends a request and returns the body of its answer, or the error.
func sendAndRead(t *testing.T, p *Pool, s *peerServer) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), s.Addr().String(), 1, message())
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestReuseAfterAnswer checks for each kind of valid and broken answer that the caller gets the right body or error,
// and that the connection is reused only after an answer that leaves it clean.
func TestReuseAfterAnswer(t *testing.T) {
	for _, tc := range []struct {
		name        string
		answers     []string
		body        string
		err         error
		connections int
	}{
		{"reusable", []string{wholeAnswer, wholeAnswer}, "ok", nil, 1},
		{"Connection: close", []string{strings.Replace(wholeAnswer, "Id:", "Connection: close\r\nId:", 1), wholeAnswer}, "ok", nil, 2},
		{"closed after its answer", []string{wholeAnswer + closeMark, wholeAnswer}, "ok", nil, 2},
		{"preceded by another request's answer", []string{"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx" + wholeAnswer, wholeAnswer}, "ok", nil, 1},
		{"followed by a second answer", []string{wholeAnswer + wholeAnswer, wholeAnswer}, "ok", nil, 2},
		{"cut body", []string{"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nok" + closeMark, wholeAnswer}, "ok", io.ErrUnexpectedEOF, 2},
		{"cut chunks", []string{"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + closeMark, wholeAnswer}, "ok", io.ErrUnexpectedEOF, 2},
		{"without length", []string{"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok" + closeMark, wholeAnswer}, "ok", nil, 2},
		{"garbage", []string{"so what\r\n\r\n", wholeAnswer}, "", ErrLost, 2},
		{"connection closed", []string{closeMark, wholeAnswer}, "", ErrLost, 2},
		{"only another request's answer", []string{"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n" + closeMark, wholeAnswer}, "", ErrLost, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, tc.answers...)
			p := NewPool()
			body, err := sendAndRead(t, p, s)
			assert.Equal(t, body, tc.body)
			if tc.err != nil {
				assert.ErrorIs(t, err, tc.err)
			} else {
				assert.NilError(t, err)
			}
			// What the peer sends after its answer may arrive late.
			if tc.connections == 2 && tc.err == nil {
				awaitUnusable(p, s)
			}
			body, err = sendAndRead(t, p, s)
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			assert.Equal(t, s.connectionCount(), tc.connections)
		})
	}
}

// awaitUnusable waits until the pool has no idle connection that can be reused, up to a second.
func awaitUnusable(p *Pool, s *peerServer) {
	for range 1000 {
		p.mu.Lock()
		pr, ok := p.peers[s.Addr().String()]
		reusable := ok && len(pr.idle) == 1 && pr.idle[0].isQuiet()
		p.mu.Unlock()
		if !reusable {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRefusedConnectionIsNotSent checks that a request to a closed port fails with ErrNotSent and not with ErrLost.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	s := serve(t)
	p := NewPool()
	address := s.Addr().String()
	assert.NilError(t, s.Close())
	_, err := p.Send(t.Context(), address, 1, message())
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Assert(t, !errors.Is(err, ErrLost))
}

// TestConnectionLimit checks that a request beyond the connection limit fails, until a connection is free again.
func TestConnectionLimit(t *testing.T) {
	s := serve(t, wholeAnswer, wholeAnswer)
	p := NewPool()
	resp, err := p.Send(t.Context(), s.Addr().String(), 1, message())
	assert.NilError(t, err)
	_, err = p.Send(t.Context(), s.Addr().String(), 1, message())
	assert.ErrorIs(t, err, ErrConnections)
	assert.ErrorIs(t, err, ErrNotSent)
	resp.Close()
	_, err = sendAndRead(t, p, s)
	assert.NilError(t, err)
}

// TestCancelClosesConnection checks that the connection is closed when the caller's context ends while the answer is
// being read, which makes the endpoint stop.
func TestCancelClosesConnection(t *testing.T) {
	s := serve(t, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nok")
	p := NewPool()
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := p.Send(ctx, s.Addr().String(), 1, message())
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
	resp.Close()
	assert.Equal(t, len(p.peers), 0)
}

// TestEarlyAnswerPreventsReuse checks that a connection is not reused if the endpoint answered before it had read the
// whole body. Otherwise it would take the rest of the body for the next request.
func TestEarlyAnswerPreventsReuse(t *testing.T) {
	s := serve(t, "early HTTP/1.1 413 Too Large\r\nId: mine\r\nContent-Length: 0\r\n\r\n", wholeAnswer)
	p := NewPool()
	m := message()
	m.Body = unsized{neverEnding{}}
	resp, err := p.Send(t.Context(), s.Addr().String(), 1, m)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusRequestEntityTooLarge)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	resp.Close()
	body, err := sendAndRead(t, p, s)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, s.connectionCount(), 2)
}

// unsized is a body of unknown length that can be sent once.
type unsized struct{ r io.Reader }

func (unsized) Length() int64       { return -1 }
func (u unsized) Reader() io.Reader { return u.r }

// neverEnding is an endless body, which fills every buffer.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// TestBodiesArriveWhole checks that bodies of known and of unknown length arrive unchanged.
func TestBodiesArriveWhole(t *testing.T) {
	long := strings.Repeat("0123456789", 2000)
	s := serve(t, wholeAnswer, wholeAnswer, wholeAnswer)
	p := NewPool()
	for _, body := range []Body{Bytes(long), unsized{strings.NewReader(long + "rest")}} {
		m := message()
		m.Body = body
		resp, err := p.Send(t.Context(), s.Addr().String(), 1, m)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		resp.Close()
	}
	assert.DeepEqual(t, s.bodies, []string{long, long + "rest"})
}

// TestIdleConnectionExpiresBeforePeerCloses checks that an idle connection expires before the timeout that the endpoint
// states in its Keep-Alive header.
func TestIdleConnectionExpiresBeforePeerCloses(t *testing.T) {
	s := serve(t, strings.Replace(wholeAnswer, "Id:", "Keep-Alive: timeout=1\r\nId:", 1))
	p := NewPool()
	_, err := sendAndRead(t, p, s)
	assert.NilError(t, err)
	assert.Equal(t, len(p.removeExpired(time.Now().Add(idleMargin-time.Millisecond))), 0)
	assert.Equal(t, len(p.removeExpired(time.Now().Add(time.Second))), 1)
}

// TestDropShortensIdleLimit checks that the idle limit is reduced when a peer drops an idle connection, does not rise
// while it is reduced, and returns to its default afterwards.
func TestDropShortensIdleLimit(t *testing.T) {
	p := NewPool()
	assert.Equal(t, p.idleLimit(), defaultIdleLimit)
	p.recordDrop(2 * time.Second)
	assert.Equal(t, p.idleLimit(), time.Second)
	p.recordDrop(10 * time.Millisecond)
	assert.Equal(t, p.idleLimit(), minIdleLimit)
	p.recordDrop(2 * time.Second)
	assert.Equal(t, p.idleLimit(), minIdleLimit)
	p.reducedUntil = time.Now().Add(-time.Second)
	assert.Equal(t, p.idleLimit(), defaultIdleLimit)
}

// endlessServer answers each request with a head and then a piece without end, until the connection closes or limit bytes
// are written.
type endlessServer struct {
	net.Listener
	head, piece string
	limit       int64
	written     atomic.Int64
}

func (s *endlessServer) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *endlessServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text := s.head
	for s.written.Load() < s.limit {
		n, err := io.WriteString(c, text)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
		text = strings.Repeat(s.piece, 1024)
	}
}

// TestEndlessHeadIsCut checks that an answer whose head does not end is given up after a bounded number of bytes, and that
// other requests to the endpoint are not affected.
func TestEndlessHeadIsCut(t *testing.T) {
	for _, tc := range []struct{ name, head, piece string }{
		{"fields", "HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", 100) + "\r\n"},
		{"one line", "HTTP/1.1 200 OK\r\nX-A: ", "a"},
		{"no answer", "", "x"},
		{"early answers", "", "HTTP/1.1 103 Early\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			const limit = 256 << 20
			s := &endlessServer{Listener: l, head: tc.head, piece: tc.piece, limit: limit}
			go s.accept()
			p := NewPool()
			_, err = p.Send(t.Context(), l.Addr().String(), 2, message())
			assert.ErrorIs(t, err, ErrLost)
			// The kernel's buffers take some megabytes.
			assert.Assert(t, s.written.Load() < limit/8, "%d bytes were read", s.written.Load())
			assert.Equal(t, len(p.peers), 0)
		})
	}
}

// TestHeadOfManyLinesIsCut guards against a head whose many short lines take far more memory than its bytes. The lines of the body
// don't count.
func TestHeadOfManyLinesIsCut(t *testing.T) {
	body := strings.Repeat("\n", 3*maxHeadLines)
	for lines, isAnswer := range map[int]bool{maxHeadLines - 5: true, maxHeadLines + 1: false} {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: %d\r\n", len(body))
		s := serve(t, head+strings.Repeat("X:\r\n", lines)+"\r\n"+body)
		got, err := sendAndRead(t, NewPool(), s)
		assert.Equal(t, err == nil, isAnswer, "%d lines: %v", lines, err)
		assert.Equal(t, got == body, isAnswer)
	}
}

// TestHalfAHeadIsNoAnswer guards against an answer whose head was broken off and that reaches the caller as a whole one: at each place at
// which a head can be cut, on new and on kept connections.
func TestHalfAHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 120\r\nId: mine\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nId: mine\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range len(head) {
			for _, kept := range []bool{false, true} {
				answers := []string{head[:cut] + closeMark}
				if kept {
					answers = append([]string{wholeAnswer}, answers...)
				}
				s := serve(t, answers...)
				p := NewPool()
				if kept {
					_, err := sendAndRead(t, p, s)
					assert.NilError(t, err)
				}
				m := message()
				m.Belongs = nil
				_, err := p.Send(t.Context(), s.Addr().String(), 1, m)
				for errors.Is(err, ErrNotSent) && t.Context().Err() == nil {
					// A busy machine can let a dial time out, which shows nothing about the head.
					_, err = p.Send(t.Context(), s.Addr().String(), 1, m)
				}
				assert.ErrorIs(t, err, ErrLost, "%q", head[:cut])
				assert.NilError(t, s.Close())
			}
		}
	}
}
