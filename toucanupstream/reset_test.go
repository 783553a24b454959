package toucanupstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// earlyServer answers each request before it has read its body, with a head and part of a body without length, and calls end on the connection.
func earlyServer(t *testing.T, part string, end func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+part); err == nil {
					end(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// awaitUnread waits until bytes have arrived that were not read. A connection that is closed then is reset.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // It fails only on a closed connection.
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// slowBody is a body that arrives in small pieces, as from a caller that is still sending.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(len(p), 1<<10, b.left)
	b.left -= n
	return n, nil
}

// longBytes is longer than the buffers of a connection, so that it is still being written when the answer arrives.
const longBytes = 16 << 20

// TestAnswerOfAResetConnectionIsNotComplete guards against the part of an answer without length that reaches the caller as a whole one (MIXED): the
// endpoint resets the connection while the request's body is being written, the write is told of the reset, and the read after it finds an end.
func TestAnswerOfAResetConnectionIsNotComplete(t *testing.T) {
	for _, body := range []struct {
		name string
		body func() Body
	}{
		{"sized", func() Body { return Bytes(make([]byte, longBytes)) }},
		{"in chunks", func() Body { return unsized{neverEnding{}} }},
		{"slow", func() Body { return unsized{&slowBody{left: 1 << 20}} }},
	} {
		for _, end := range []struct {
			name string
			end  func(c *net.TCPConn, r *bufio.Reader)
		}{
			{"reset", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }},
			{"closed with unread bytes", func(c *net.TCPConn, _ *bufio.Reader) { awaitUnread(c) }},
			{"reset after a while", func(c *net.TCPConn, _ *bufio.Reader) {
				time.Sleep(20 * time.Millisecond)
				_ = c.SetLinger(0)
			}},
		} {
			for _, part := range []string{"", "half", strings.Repeat("x", 100<<10)} {
				for _, pause := range []time.Duration{0, time.Millisecond, 60 * time.Millisecond} {
					address := earlyServer(t, part, end.end)
					m := message()
					m.Body = body.body()
					got, err := readAfter(t, NewPool(), address, m, pause)
					assert.Assert(t, err != nil, "body %s, %s, %d bytes, read after %v: %d bytes as a whole answer", body.name, end.name, len(part), pause, len(got))
				}
			}
		}
	}
}

// readAfter sends a request and, after a pause, reads the body of its answer.
func readAfter(t *testing.T, p *Pool, address string, m Message, pause time.Duration) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), address, 1, m)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	time.Sleep(pause)
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// TestEarlyAnswerThatEndsInOrderIsComplete checks that an answer without length is whole if the endpoint ends it in order, although the request's
// body is still being written.
func TestEarlyAnswerThatEndsInOrderIsComplete(t *testing.T) {
	address := earlyServer(t, "whole", func(c *net.TCPConn, r *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
	for _, body := range []func() Body{
		func() Body { return Bytes(make([]byte, longBytes)) },
		func() Body { return unsized{neverEnding{}} },
		func() Body { return unsized{&slowBody{left: 1 << 20}} },
		func() Body { return Bytes("short") },
	} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			p := NewPool()
			m := message()
			m.Body = body()
			got, err := readAfter(t, p, address, m, pause)
			assert.NilError(t, err)
			assert.Equal(t, got, "whole")
			assert.Equal(t, len(p.peers), 0)
		}
	}
}
