package toucanhead

import (
	"context"
	"net"
	"time"

	"toucanport/toucanwait"
)

const (
	// lingerTime is how long what a caller still sends is read after an answer that came before the end of its body, and lingerIdle how
	// long without a byte, so that a caller that is slow gets the answer and not a reset of its connection.
	lingerTime = 30 * time.Second
	lingerIdle = 5 * time.Second
	// defaultBodyBytes is the length in bytes of the longest body that is read so, unless Limits has one.
	defaultBodyBytes = 32 << 20
	// discardBytes is the size in bytes of the buffer for what is discarded.
	discardBytes = 16 << 10
	// drainInterval is the time between two looks at whether connections linger.
	drainInterval = 20 * time.Millisecond
	// finishTime is how long the server reads a body on for the sake of the connection's next request, before the caller gets an answer
	// that closes it.
	finishTime = 250 * time.Millisecond
)

// Drain waits until no body is read any more whose request is answered, since the end of the process takes the answer from a caller that still
// sends. When ctx ends, it closes the connections that are left, and those that would linger after that.
func (g *Gate) Drain(ctx context.Context) {
	for g.countLingering() > 0 && toucanwait.Sleep(ctx, drainInterval) {
	}
	g.mu.Lock()
	g.drained = true
	var victims []victim
	for g.lingering.n > 0 {
		victims = append(victims, g.takeFirst(victim{g.lingering.front, ReasonLingering}))
	}
	g.mu.Unlock()
	g.close(victims, net.Conn.Close)
}

// countLingering returns the number of connections whose requests are answered and whose bodies are still read, or whose answers are still
// delivered.
func (g *Gate) countLingering() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lingering.n
}

// linger records that the rest of a body is read after the answer. It returns false if the connection has been closed or the gate is drained.
func (g *Gate) linger(c *Conn) bool {
	g.mu.Lock()
	if c.place.closed || g.drained {
		g.mu.Unlock()
		return false
	}
	g.move(c, &g.lingering)
	victims := g.makeRoom(0, nil)
	g.mu.Unlock()
	g.evict(victims)
	return true
}

// bodyBytes returns the length in bytes of the longest body that is read on after its answer.
func (g *Gate) bodyBytes() int64 {
	if g.limits.BodyBytes != nil {
		if n := g.limits.BodyBytes(); n > 0 {
			return n
		}
	}
	return defaultBodyBytes
}

// finish records that the handler has returned or cut its answer. It bounds how long the server waits for the rest of the body.
func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	if c.phase != phaseHead && !c.timedOut {
		_ = c.SetReadDeadline(time.Now().Add(finishTime)) // It fails only on a closed connection.
	}
}

// lingerOn begins to read what the caller still sends, if the answer came before the end of the request. It returns true if that goes on,
// and ends with the connection.
func (c *Conn) lingerOn() bool {
	c.mu.Lock()
	if c.lingers {
		c.mu.Unlock()
		return true
	}
	if !c.answered || c.phase == phaseHead || !c.gate.linger(c) {
		c.mu.Unlock()
		return false
	}
	c.lingers = true
	c.held.Release()
	c.mu.Unlock()
	c.endWrites()
	go c.discard()
	return true
}

// endWrites ends what is sent to the caller.
func (c *Conn) endWrites() {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // The caller may have closed the connection.
	}
}

// isLingering reports whether the connection is kept after the server closed it.
func (c *Conn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingers
}

// discard reads what the caller still sends up to the end of the body, and closes the connection.
func (c *Conn) discard() {
	defer func() { _ = c.end() }() // Nobody is left to tell.
	end := time.Now().Add(lingerTime)
	left := c.gate.bodyBytes()
	p := c.takePending()
	buf := make([]byte, discardBytes)
	for !c.skip(p) {
		if left -= int64(len(p)); left <= 0 {
			return
		}
		_ = c.SetReadDeadline(earlier(time.Now().Add(lingerIdle), end)) // Read fails too if it does.
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		p = buf[:n]
	}
}

// takePending returns what was read and not passed on.
func (c *Conn) takePending() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	c.pending, c.buffer = nil, nil
	return p
}

// skip counts bytes that are discarded, and reports whether the body has ended. After one whose end can't be known, the caller closes.
func (c *Conn) skip(p []byte) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseSized:
		c.left -= min(c.left, int64(len(p)))
		return c.left == 0
	case phaseChunked:
		_, ended, err := c.chunks.Scan(p)
		if err != nil {
			c.phase = phaseRefused
		}
		return ended
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
