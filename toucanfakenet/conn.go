package toucanfakenet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// directionBufferBytes is the number of bytes in transit in one direction at which writers block.
const directionBufferBytes = 256 << 10

// connection is an open connection of a link, with the ends of the dialing and the dialed side.
type connection struct {
	network        *Network
	name           LinkName
	dialer, dialed *conn
}

func newConnection(n *Network, name LinkName) *connection {
	c := &connection{network: n, name: name}
	requests := newDirection(c, func(s LinkState) bool { return s.RequestsStalled }, func(LinkState) bool { return false })
	replies := newDirection(c, func(s LinkState) bool { return s.RepliesStalled }, func(s LinkState) bool { return s.RepliesLost })
	c.dialer = &conn{in: replies, out: requests, local: memAddr(name.From), remote: memAddr(name.To)}
	c.dialed = &conn{in: requests, out: replies, local: memAddr(name.To), remote: memAddr(name.From)}
	return c
}

// cut resets the connection. Both sides get errors, and the bytes in transit are lost.
func (c *connection) cut() {
	c.network.removeConnection(c)
	c.dialer.out.reset()
	c.dialed.out.reset()
}

// chunk holds the bytes of one write, which can be read from the time due on.
type chunk struct {
	due  time.Time
	data []byte
}

// direction carries the bytes of a connection one way. It supports one reader and one writer at a time.
type direction struct {
	connection *connection
	stalled    func(LinkState) bool
	lost       func(LinkState) bool
	// readable and writable wake the reader and the writer. Each buffers one signal.
	readable, writable chan struct{}

	mu            sync.Mutex
	chunks        []chunk
	bufferedBytes int
	// timer wakes the reader at the due time of the first chunk or at the read deadline, whichever is earlier.
	timer                       *time.Timer
	readDeadline, writeDeadline time.Time
	readerClosed, writerClosed  bool
	broken                      bool
}

func newDirection(c *connection, stalled, lost func(LinkState) bool) *direction {
	d := &direction{
		connection: c,
		stalled:    stalled,
		lost:       lost,
		readable:   make(chan struct{}, 1),
		writable:   make(chan struct{}, 1),
		timer:      time.NewTimer(time.Hour),
	}
	d.timer.Stop()
	return d
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// resetTimer sets the timer to the due time of the first chunk or the read deadline, whichever is earlier. It
// signals the reader if that time has passed. The caller must hold mu.
func (d *direction) resetTimer() {
	next := d.readDeadline
	if len(d.chunks) > 0 && (next.IsZero() || d.chunks[0].due.Before(next)) {
		next = d.chunks[0].due
	}
	if next.IsZero() {
		return
	}
	if wait := time.Until(next); wait > 0 {
		d.timer.Reset(wait)
		return
	}
	signal(d.readable)
}

func (d *direction) read(b []byte) (int, error) {
	for {
		state, changed := d.connection.network.state(d.connection.name)
		stalled := d.stalled(state)
		n, err := d.tryRead(b, stalled)
		if n > 0 || err != nil {
			return n, err
		}
		if !stalled {
			changed = nil
		}
		select {
		case <-d.readable:
		case <-d.timer.C:
		case <-changed:
		}
	}
}

// tryRead moves the bytes that have arrived to b. It returns zero and no error if the reader must wait.
func (d *direction) tryRead(b []byte, stalled bool) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case d.readerClosed:
		return 0, io.ErrClosedPipe
	case !d.readDeadline.IsZero() && !now.Before(d.readDeadline):
		return 0, os.ErrDeadlineExceeded
	case d.broken:
		return 0, syscall.ECONNRESET
	case stalled:
		return 0, nil
	case len(d.chunks) == 0 && d.writerClosed:
		return 0, io.EOF
	}
	n := 0
	for n < len(b) && len(d.chunks) > 0 && !d.chunks[0].due.After(now) {
		k := copy(b[n:], d.chunks[0].data)
		n += k
		d.chunks[0].data = d.chunks[0].data[k:]
		if len(d.chunks[0].data) == 0 {
			d.chunks = d.chunks[1:]
		}
	}
	d.bufferedBytes -= n
	if n > 0 {
		signal(d.writable)
	}
	d.resetTimer()
	return n, nil
}

func (d *direction) write(b []byte) (int, error) {
	state, _ := d.connection.network.state(d.connection.name)
	for {
		ok, wait, err := d.tryWrite(b, state)
		if err != nil {
			return 0, err
		}
		if ok {
			return len(b), nil
		}
		select {
		case <-d.writable:
		case <-wait:
		}
	}
}

// tryWrite adds b as one chunk and returns true, unless the buffer is full. In that case it returns false and a
// channel that fires at the write deadline, or nil without a deadline. If the link loses the bytes, tryWrite discards
// b and returns true.
func (d *direction) tryWrite(b []byte, state LinkState) (bool, <-chan time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case d.writerClosed:
		return false, nil, io.ErrClosedPipe
	case d.broken, d.readerClosed && !d.stalled(state):
		return false, nil, syscall.EPIPE
	case !d.writeDeadline.IsZero() && !now.Before(d.writeDeadline):
		return false, nil, os.ErrDeadlineExceeded
	case d.lost(state):
		return true, nil, nil
	}
	if d.bufferedBytes >= directionBufferBytes {
		if d.writeDeadline.IsZero() {
			return false, nil, nil
		}
		return false, time.After(time.Until(d.writeDeadline)), nil
	}
	due := now.Add(state.Delay)
	if n := len(d.chunks); n > 0 && d.chunks[n-1].due.After(due) {
		due = d.chunks[n-1].due
	}
	d.chunks = append(d.chunks, chunk{due, append([]byte(nil), b...)})
	d.bufferedBytes += len(b)
	if len(d.chunks) == 1 {
		d.resetTimer()
	}
	return true, nil, nil
}

// update applies f under the lock and wakes the reader and the writer.
func (d *direction) update(f func(d *direction)) {
	d.mu.Lock()
	f(d)
	d.mu.Unlock()
	signal(d.readable)
	signal(d.writable)
}

func (d *direction) reset() { d.update(func(d *direction) { d.broken, d.chunks = true, nil }) }

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	in, out       *direction
	local, remote memAddr
}

func (c *conn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close closes both directions. The peer can read the bytes in transit and then gets io.EOF.
func (c *conn) Close() error {
	c.out.connection.network.removeConnection(c.out.connection)
	c.in.update(func(d *direction) { d.readerClosed = true })
	c.out.update(func(d *direction) { d.writerClosed = true })
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t) // never fails
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func(d *direction) { d.readDeadline = t })
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func(d *direction) { d.writeDeadline = t })
	return nil
}
