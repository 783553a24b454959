package toucanhead

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"toucanport/toucanwait"
)

const (
	// lastHeadTime is how long the head of the last request of a connection may take, once its first byte was read, until the server sets a
	// deadline of its own.
	lastHeadTime = 3 * time.Second
	// closedInterval is the time between two looks at whether connections are open.
	closedInterval = 20 * time.Millisecond
)

// Shutdown is http.Server.Shutdown for the only server attached to the gate, whose listener must be closed before. net/http counts a
// connection as idle, and closes it, until a head on it has been parsed, and drops requests whose heads are parsed after its Shutdown
// began. Shutdown ends only connections from which no byte of a head has arrived, and answers the requests on the others, until ctx
// ends.
func (g *Gate) Shutdown(ctx context.Context, s *http.Server) error {
	g.retireIdle(s)
	for g.openConnections() > 0 && toucanwait.Sleep(ctx, closedInterval) {
	}
	err := s.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		err = nil // The server closes the listener once more if its loop has not seen that it is closed.
	}
	if g.endSpared() > 0 && err == nil {
		err = ctx.Err()
	}
	return err
}

// retireIdle makes the server close each connection after its last answer, which idle connections have had.
func (g *Gate) retireIdle(s *http.Server) {
	g.setSparing(true)
	s.SetKeepAlivesEnabled(false) // It closes the connections that it counts as idle, which are spared.
	g.setSparing(false)
}

func (g *Gate) setSparing(sparing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sparing = sparing
}

func (g *Gate) openConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// endSpared closes the spared connections that are still open, and returns their number.
func (g *Gate) endSpared() int {
	g.mu.Lock()
	spared := g.spared
	g.spared = nil
	g.mu.Unlock()
	for c := range spared {
		_ = c.end() // Its caller sees the end of the connection in any case.
	}
	return len(spared)
}

// spare records that a connection isn't closed by a call of Close, and returns false if it is.
func (g *Gate) spare(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sparing || c.place.closed {
		return false
	}
	if g.spared == nil {
		g.spared = make(map[*Conn]struct{})
	}
	g.spared[c] = struct{}{}
	return true
}

// retire ends the wait for a head whose first byte has not arrived, and bounds that for the rest of one that has begun. The server then closes
// the connection, as it does after the answer to any other request.
func (c *Conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHead {
		return
	}
	if c.head.Bytes > 0 || len(c.pending) > 0 {
		c.allowLastHead()
		return
	}
	c.retired = true
	_ = c.SetReadDeadline(time.Now()) // On a closed connection, Read fails as well.
}

func (c *Conn) isHijacked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hijacked
}

// readCaller reads bytes from the caller.
func (c *Conn) readCaller(p []byte) (int, error) {
	if !c.isRetired() {
		n, err := c.Conn.Read(p)
		if n > 0 || !c.isRetired() {
			return n, err
		}
	}
	if !hasArrived(c.Conn) {
		return 0, io.EOF
	}
	c.allowLastHead()
	return c.Conn.Read(p)
}

func (c *Conn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// allowLastHead gives the head of the last request its time.
func (c *Conn) allowLastHead() {
	_ = c.SetReadDeadline(time.Now().Add(lastHeadTime)) // On a closed connection, Read fails as well.
}

// begun records that bytes were read from the caller, so that the head has begun. The caller holds c.mu.
func (c *Conn) begun() {
	if c.retired {
		c.retired = false
		c.allowLastHead() // The deadline may be that of retire.
	}
}

// hasArrived reports whether the system holds bytes of the caller that were not read; false for connections of which that can't be known.
func hasArrived(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // It is closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) // Without any bytes it fails.
	})
	return err == nil && n > 0
}
