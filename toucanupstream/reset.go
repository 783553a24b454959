package toucanupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetConn is a connection whose reader learns of a reset that a writer was told of. The operating system reports a reset to one call
// only: a read after it finds the end of the connection, as if the peer had ended it in order.
type resetConn struct {
	net.Conn
	// mu is held during each write.
	mu sync.Mutex
	// failed is the error of the first write that failed; nil for none.
	failed error
}

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failed == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that long bodies are written in large pieces. mu is not held while r is read.
func (c *resetConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements io.Reader. At the end of the connection it ends the writes too, and returns the error of one that had failed before in
// place of io.EOF.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped
		if failed := c.endWrites(); failed != nil {
			return n, failed
		}
	}
	return n, err
}

// endWrites ends a write in progress and returns the error of the first write that had failed before; nil for none.
func (c *resetConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // It fails only on a closed connection, whose writes have ended.
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a DialFunc for a transport of net/http. A read from its connections returns an error in place of io.EOF once a write has
// failed, so that an answer without length on a connection that was reset is not taken for a whole one.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: c}, nil
	}
}
