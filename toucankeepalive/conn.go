package toucankeepalive

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection that a Monitor watches.
type Conn struct {
	*net.TCPConn
	monitor *Monitor
	socket  socket
	limits  limits
	// opened is when the watch began, and lastRead when bytes were last read, as the time since then; zero for never. Both are taken from
	// the monotonic clock.
	opened   time.Time
	lastRead atomic.Int64
	// dead is true once the connection was ended because the peer is dead, and closed once its owner closed it.
	dead, closed atomic.Bool

	mu sync.Mutex
	// writing is the number of calls of Write in progress.
	writing int
	writes  writes
	// listed is true while the Monitor checks the connection, which it does from due on.
	listed bool
	due    time.Time
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite(time.Now())
	defer c.endWrite()
	n, err := c.TCPConn.Write(p)
	return n, c.cause("write", err)
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
	}
	return n, c.cause("read", err)
}

// WriteTo implements io.WriterTo.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// cause returns the error of a call that the kernel would report: a timeout if the peer is dead.
func (c *Conn) cause(call string, err error) error {
	switch {
	case err == nil:
		return nil
	case c.dead.Load():
		return c.failure(call, os.NewSyscallError(call, syscall.ETIMEDOUT))
	case c.closed.Load():
		return c.failure(call, net.ErrClosed)
	}
	return err
}

func (c *Conn) failure(call string, err error) error {
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

func (c *Conn) beginWrite(now time.Time) {
	c.mu.Lock()
	c.writing++
	c.writes = c.writes.with(now)
	added := c.list(now)
	c.mu.Unlock()
	if added {
		c.monitor.add(c)
	}
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
}

// list marks the connection as one that the Monitor checks. It returns false if it was one. The caller holds c.mu.
func (c *Conn) list(now time.Time) bool {
	if c.listed {
		return false
	}
	c.listed, c.due = true, now.Add(c.limits.timeout)
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.monitor.delivers && c.InFlight() {
		c.socket.leaveToKernel()
		return c.end()
	}
	return c.CloseNow()
}

// CloseNow closes the connection. The peer has to take what is in flight within the timeout.
func (c *Conn) CloseNow() error {
	if c.InFlight() {
		_ = c.socket.limitUnacked(c.limits.timeout) // As in boundProbes.
	}
	return c.end()
}

func (c *Conn) end() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

// InFlight reports whether bytes were written that the peer has not acknowledged. It is false once the connection has ended.
func (c *Conn) InFlight() bool {
	n, err := c.socket.unacked()
	return err == nil && n > 0
}

// check ends the connection if its peer is dead. It returns false once there is nothing to watch.
func (c *Conn) check() bool {
	if time.Now().Before(c.dueTime()) {
		return true
	}
	if !c.InFlight() {
		return !c.unlist()
	}
	info, err := c.socket.info()
	if err != nil || info.State == stateClosed {
		return !c.unlist() // The owner learns of the end from its own calls.
	}
	// The bytes in flight and the time are read after the state, since this process can stand still in between.
	unacked, err := c.socket.unacked()
	if err != nil || unacked == 0 {
		return !c.unlist()
	}
	now := time.Now()
	s := c.silence(now, info)
	if !s.over(now) {
		return true
	}
	c.fail(Death{
		Local: c.LocalAddr(), Remote: c.RemoteAddr(),
		Silence: now.Sub(s.since), UnackedBytes: unacked, WindowClosed: s.windowClosed,
	})
	return false
}

// dueTime returns when the connection is checked next: a peer from which bytes were read lives.
func (c *Conn) dueTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastRead := time.Duration(c.lastRead.Load())
	if lastRead == 0 {
		return c.due
	}
	if read := c.opened.Add(lastRead + c.limits.timeout); read.After(c.due) {
		return read
	}
	return c.due
}

// silence returns the silence of the peer, and has it looked at next when that would be over.
func (c *Conn) silence(now time.Time, info *unix.TCPInfo) silence {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.limits.silence(now, info, c.writes)
	c.due = s.end()
	return s
}

// unlist ends the watch of a connection without bytes in flight. It returns false if more are being written.
func (c *Conn) unlist() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 {
		return false
	}
	c.listed = false
	return true
}

// fail ends the connection, whose peer is dead.
func (c *Conn) fail(d Death) {
	c.dead.Store(true)
	c.monitor.report(d)
	_ = c.SetLinger(0)    // It fails only on a closed connection.
	_ = c.TCPConn.Close() // The owner sees the error of its next call.
}
