package toucanhead

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// lateTime is how long a caller may take no byte of an answer after the deadline of its request, and lateBytes the number of bytes that
	// are written at a time then. A caller that reads on gets the whole answer.
	lateTime  = 5 * time.Second
	lateBytes = 4 << 10
)

// SetWriteDeadline implements net.Conn. The deadline is that of the request in service, of whose answer the caller may read the rest later.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.bounded = true
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// unboundWrites ends the deadline of the request whose answer was sent. The caller holds c.mu.
func (c *Conn) unboundWrites() {
	if c.bounded {
		c.bounded = false
		_ = c.Conn.SetWriteDeadline(time.Time{}) // On a closed connection, Write fails as well.
	}
}

// Write implements net.Conn. Once the deadline has passed, it goes on as long as the caller takes bytes.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	for n < len(p) && errors.Is(err, os.ErrDeadlineExceeded) {
		late, lateErr := c.writeLate(p[n:])
		if late == 0 {
			return n, lateErr
		}
		n += late
	}
	if n == len(p) {
		return n, nil
	}
	return n, err
}

// writeLate writes a part of what is left of an answer after its deadline.
func (c *Conn) writeLate(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(lateTime)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p[:min(len(p), lateBytes)])
}
