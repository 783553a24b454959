package toucanwire

import (
	"net"
	"sync/atomic"
	"time"
)

// activityConn is a connection that records when bytes were last read from it.
type activityConn struct {
	net.Conn
	// lastRead is in nanoseconds since the Unix epoch; it is the time of creation until the first read.
	lastRead atomic.Int64
}

func newActivityConn(conn net.Conn) *activityConn {
	c := &activityConn{Conn: conn}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}
