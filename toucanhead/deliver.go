package toucanhead

import "time"

// deliverInterval is the time between two looks at whether a caller has read the rest of its answer.
const deliverInterval = 50 * time.Millisecond

// sender is a connection that knows whether bytes that were written have reached the caller.
type sender interface {
	InFlight() bool
}

// deliverOn keeps a connection that the server closes until the caller has read the rest of its answer, up to lingerTime. It returns false if
// nothing is in flight, or the connection can't be kept.
func (c *Conn) deliverOn() bool {
	s, ok := c.Conn.(sender)
	if !ok {
		return false
	}
	c.mu.Lock()
	if c.abortive || !s.InFlight() || !c.gate.linger(c) {
		c.mu.Unlock()
		return false
	}
	c.lingers = true
	c.held.Release()
	c.mu.Unlock()
	c.endWrites()
	_ = c.SetReadDeadline(time.Unix(1, 0)) // It ends a read of the server, and fails only on a closed connection.
	go c.deliver(s)
	return true
}

// deliver waits until the caller has read the rest of its answer, and closes the connection.
func (c *Conn) deliver(s sender) {
	defer func() { _ = c.end() }() // Nobody is left to tell.
	end := time.Now().Add(lingerTime)
	for s.InFlight() && time.Now().Before(end) {
		time.Sleep(deliverInterval)
	}
}
