package toucanwire

import (
	"net"
	"sync/atomic"
	"time"
)

// traffic is a connection that remembers when bytes last came.
type traffic struct {
	net.Conn
	// last is in nanoseconds since the Unix epoch.
	last atomic.Int64
}

func newTraffic(conn net.Conn) *traffic {
	t := &traffic{Conn: conn}
	t.last.Store(time.Now().UnixNano())
	return t
}

// Read implements net.Conn.
func (t *traffic) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.last.Store(time.Now().UnixNano())
	}
	return n, err
}
