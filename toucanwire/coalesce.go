package toucanwire

import (
	"net"
	"sync"
)

// maxPendingBytes is the number of pending bytes at which further writes to a coalescer wait. One write can exceed it.
const maxPendingBytes = 256 << 10

// coalescer is a connection that buffers writes while an earlier write is in progress. Yamux writes the header and the
// body of each frame separately; with buffering, the frames of many streams share one system call.
type coalescer struct {
	net.Conn

	mu sync.Mutex
	// notFull is signalled when pending has been emptied for flushing, or the connection has failed or was closed.
	notFull sync.Cond
	// notEmpty is signalled when bytes were added to pending or the connection was closed.
	notEmpty sync.Cond
	pending  []byte
	// spare is the buffer that is being flushed or was flushed last; it is reused as pending.
	spare  []byte
	closed bool
	// err is the connection's write error; every later Write returns it.
	err error
}

func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{Conn: conn}
	c.notFull.L = &c.mu
	c.notEmpty.L = &c.mu
	go c.flush()
	return c
}

// Write implements net.Conn. It returns once the bytes are buffered; a write error is returned by a later Write.
func (c *coalescer) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed {
		c.notFull.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, b...)
	c.notEmpty.Signal()
	return len(b), nil
}

// flush writes pending bytes to the connection until it is closed or a write fails.
func (c *coalescer) flush() {
	for {
		b, ok := c.takePending()
		if !ok {
			return
		}
		if _, err := c.Conn.Write(b); err != nil {
			c.fail(err)
			return
		}
	}
}

// takePending waits for buffered bytes and returns them. The slice is valid until the next call. It returns false once
// the connection is closed.
func (c *coalescer) takePending() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed {
		c.notEmpty.Wait()
	}
	if c.closed {
		return nil, false
	}
	b := c.pending
	c.pending, c.spare = c.spare[:0], b
	c.notFull.Broadcast()
	return b, true
}

func (c *coalescer) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	c.notFull.Broadcast()
}

// Close implements net.Conn. It drops bytes that are still buffered, as a broken connection would.
func (c *coalescer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.notEmpty.Broadcast()
	c.notFull.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
