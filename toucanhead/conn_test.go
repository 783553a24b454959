package toucanhead

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestClosedConnectionHasNoWholeHead guards against a request that runs although its connection was closed to make room: bytes of its
// head that had been read before the close must not reach the server.
func TestClosedConnectionHasNoWholeHead(t *testing.T) {
	gate := New(Limits{HeadBytes: func() int { return headLimit }, MemoryBytes: 1 << 20}, func(Event) {})
	caller, raw := net.Pipe()
	defer func() { _ = caller.Close() }()
	c := newConn(raw, gate)
	assert.Assert(t, gate.add(c))
	buf := make([]byte, 64)
	write := func(text string) { go func() { _, _ = io.WriteString(caller, text) }() }
	write("POST /order HTTP/1.1\r\n")
	_, err := c.Read(buf)
	assert.NilError(t, err)
	gate.mu.Lock()
	gate.takeOut(c) // The socket is closed only after the next bytes were read.
	gate.mu.Unlock()
	write("Content-Length: 0\r\n\r\n")
	n, err := c.Read(buf)
	assert.Equal(t, n, 0, "%q", buf[:n])
	assert.ErrorIs(t, err, net.ErrClosed)
}
