package toucanwire

import (
	"net"
	"sync"
)

// maxPendingBytes bounds what a coalescing connection holds before writers wait.
const maxPendingBytes = 256 << 10

// coalescer is a connection whose writes are gathered while an earlier write is under way. Yamux writes the
// header and the body of each frame on their own; gathered, the frames of many streams share one system call.
type coalescer struct {
	net.Conn

	mu sync.Mutex
	// room is signalled when pending has been taken or the connection has failed.
	room sync.Cond
	// filled is signalled when pending has bytes or the connection is closed.
	filled  sync.Cond
	pending []byte
	spare   []byte
	closed  bool
	// err is the first error of the connection; every later write returns it.
	err error
}

func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{Conn: conn}
	c.room.L = &c.mu
	c.filled.L = &c.mu
	go c.flush()
	return c
}

// Write implements net.Conn. It returns once the bytes are gathered.
func (c *coalescer) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed {
		c.room.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, b...)
	c.filled.Signal()
	return len(b), nil
}

func (c *coalescer) flush() {
	for {
		b, ok := c.take()
		if !ok {
			return
		}
		if _, err := c.Conn.Write(b); err != nil {
			c.fail(err)
			return
		}
	}
}

// take waits for gathered bytes. It returns false once the connection is closed.
func (c *coalescer) take() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed {
		c.filled.Wait()
	}
	if c.closed {
		return nil, false
	}
	b := c.pending
	c.pending, c.spare = c.spare[:0], b
	c.room.Broadcast()
	return b, true
}

func (c *coalescer) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	c.room.Broadcast()
}

// Close implements net.Conn. Bytes that are still gathered are dropped, as those in a broken connection are.
func (c *coalescer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.filled.Broadcast()
	c.room.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
