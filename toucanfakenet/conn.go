package toucanfakenet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// directionBufferBytes bounds the bytes under way in one direction; a writer waits while it is full.
const directionBufferBytes = 256 << 10

// connection is one connection of a link.
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

// cut breaks the connection: both sides get errors and the bytes under way are lost.
func (c *connection) cut() {
	c.network.forget(c)
	c.dialer.out.reset()
	c.dialed.out.reset()
}

type chunk struct {
	due  time.Time
	data []byte
}

// direction carries bytes one way. It has one reader and one writer at a time.
type direction struct {
	connection *connection
	stalled    func(LinkState) bool
	lost       func(LinkState) bool
	// readable and writable have room for one signal each.
	readable, writable chan struct{}

	mu     sync.Mutex
	chunks []chunk
	bytes  int
	// timer fires when the reader must look again: at the first chunk's due time or its deadline.
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

// arm sets the timer to the reader's next event; the caller holds mu.
func (d *direction) arm() {
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
		n, err := d.take(b, stalled)
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

// take moves the bytes that have arrived to b. It returns zero and no error when the reader must wait.
func (d *direction) take(b []byte, stalled bool) (int, error) {
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
	d.bytes -= n
	if n > 0 {
		signal(d.writable)
	}
	d.arm()
	return n, nil
}

func (d *direction) write(b []byte) (int, error) {
	state, _ := d.connection.network.state(d.connection.name)
	for {
		ok, wait, err := d.put(b, state)
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

// put adds b as one chunk if there is room. Otherwise it returns a channel that ends the wait at the
// deadline.
func (d *direction) put(b []byte, state LinkState) (bool, <-chan time.Time, error) {
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
	if d.bytes >= directionBufferBytes {
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
	d.bytes += len(b)
	if len(d.chunks) == 1 {
		d.arm()
	}
	return true, nil, nil
}

// update changes the direction's flags and wakes both sides.
func (d *direction) update(f func(d *direction)) {
	d.mu.Lock()
	f(d)
	d.mu.Unlock()
	signal(d.readable)
	signal(d.writable)
}

func (d *direction) reset() { d.update(func(d *direction) { d.broken, d.chunks = true, nil }) }

// conn is one side's end of a connection.
type conn struct {
	in, out       *direction
	local, remote memAddr
}

func (c *conn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close ends both directions: the peer reads what is under way and then the end.
func (c *conn) Close() error {
	c.out.connection.network.forget(c.out.connection)
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
