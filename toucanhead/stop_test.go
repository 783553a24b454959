package toucanhead

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const quickRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// stopRig is a server behind a gate whose connections can be held after a read of their bytes.
type stopRig struct {
	net.Listener
	server
	http *http.Server
	// read receives a value for each read of bytes, which is then held until release receives one.
	read, release chan struct{}
	// active receives a value before the server acts on a head that it has parsed, which is held until act receives one; nil if it is not held.
	active, act chan struct{}
	// served is closed when Serve has returned.
	served chan struct{}
}

// heldConn is a connection of a stopRig. The bytes of a read are in the process before the server has them.
type heldConn struct {
	*net.TCPConn
	rig *stopRig
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.rig.read != nil {
		c.rig.read <- struct{}{}
		<-c.rig.release
	}
	return n, err
}

func (r *stopRig) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c.(*net.TCPConn), rig: r}, nil
}

func newStopRig(t *testing.T, held, heldActive bool) *stopRig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &stopRig{Listener: ln, served: make(chan struct{}), server: server{address: ln.Addr().String(), release: make(chan struct{}), events: make(map[Reason]int)}}
	if held {
		r.read, r.release = make(chan struct{}), make(chan struct{})
	}
	if heldActive {
		r.active, r.act = make(chan struct{}), make(chan struct{})
	}
	r.http = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: waitLimit, IdleTimeout: waitLimit, ConnState: r.state}
	r.gate = New(Limits{HeadBytes: func() int { return headLimit }, MemoryBytes: 1 << 20}, r.observe)
	r.gate.Attach(r.http)
	go func() {
		defer close(r.served)
		_ = r.http.Serve(r.gate.Listen(r)) // It ends with the listener.
	}()
	t.Cleanup(func() { _ = r.http.Close() })
	return r
}

func (r *stopRig) state(_ net.Conn, state http.ConnState) {
	if state == http.StateActive && r.active != nil {
		r.active <- struct{}{}
		<-r.act
	}
}

// pass lets the bytes of one read go on to the server.
func (r *stopRig) pass(t *testing.T) {
	t.Helper()
	select {
	case <-r.read:
		r.release <- struct{}{}
	case <-time.After(waitLimit):
		t.Fatal("no bytes were read")
	}
}

// stop closes the listener and begins a stop, in which idle connections have been told to end when stop returns.
func (r *stopRig) stop(ctx context.Context) <-chan error {
	_ = r.Close() // Serve ends.
	<-r.served
	r.gate.retireIdle(r.http)
	stopped := make(chan error, 1)
	go func() { stopped <- r.gate.Shutdown(ctx, r.http) }()
	return stopped
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// use makes a connection on which a request has been answered.
func (r *stopRig) use(t *testing.T) net.Conn {
	t.Helper()
	c := r.dial(t)
	write(t, c, quickRequest)
	if r.read != nil {
		r.pass(t)
	}
	assert.Equal(t, readStatus(c), http.StatusOK)
	await(t, "the connection is idle", func() bool {
		r.gate.mu.Lock()
		defer r.gate.mu.Unlock()
		return r.gate.idle.n == 1
	})
	return c
}

// lateListener is a listener whose Accept tells of its start, and returns only when Close was called.
type lateListener struct {
	net.Listener
	accepting, closed chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	c, err := l.Listener.Accept()
	<-l.closed
	return c, err
}

func (l lateListener) Close() error {
	defer close(l.closed)
	return l.Listener.Close()
}

// TestStopIsCleanBeforeTheServerHasSeenItsListenerClosed guards against a graceful stop that ends with the error "use of closed network
// connection", because the server closes the closed listener again.
func TestStopIsCleanBeforeTheServerHasSeenItsListenerClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	late := lateListener{Listener: ln, accepting: make(chan struct{}), closed: make(chan struct{})}
	gate := New(Limits{HeadBytes: func() int { return headLimit }, MemoryBytes: 1 << 20}, func(Event) {})
	s := &http.Server{ReadHeaderTimeout: waitLimit}
	gate.Attach(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(gate.Listen(late)) }()
	<-late.accepting
	assert.NilError(t, ln.Close())
	assert.NilError(t, gate.Shutdown(t.Context(), s))
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

// TestRequestReadBeforeAStopIsAnswered guards against a request that is cut without an answer in a stop, because its bytes were read and not
// yet parsed (LOST): the connection counts as idle.
func TestRequestReadBeforeAStopIsAnswered(t *testing.T) {
	r := newStopRig(t, true, false)
	c := r.use(t)
	write(t, c, quickRequest)
	<-r.read
	stopped := r.stop(t.Context())
	r.release <- struct{}{}
	assert.Equal(t, readStatus(c), http.StatusOK)
	assert.NilError(t, <-stopped)
}

// TestFirstRequestParsedInAStopIsAnswered guards against the first request of a connection that is dropped, because the server is shut down
// between the parse of its head and its handler.
func TestFirstRequestParsedInAStopIsAnswered(t *testing.T) {
	r := newStopRig(t, false, true)
	shut := make(chan struct{})
	r.http.RegisterOnShutdown(func() { close(shut) })
	c := r.dial(t)
	write(t, c, quickRequest)
	<-r.active
	stopped := r.stop(t.Context())
	select {
	case <-shut:
		t.Error("the server is shut down while a request is open")
	case <-time.After(10 * closedInterval):
	}
	r.act <- struct{}{}
	assert.Equal(t, readStatus(c), http.StatusOK)
	assert.NilError(t, <-stopped)
}

// TestBegunHeadIsReadInAStop checks that a head of which some bytes have been read can end after the stop has begun, however few they are.
func TestBegunHeadIsReadInAStop(t *testing.T) {
	for _, n := range []int{1, 10} {
		r := newStopRig(t, true, false)
		c := r.use(t)
		write(t, c, quickRequest[:n])
		r.pass(t)
		await(t, "the head has begun", func() bool { unfinished, _ := r.gate.counts(); return unfinished == 1 })
		stopped := r.stop(t.Context())
		write(t, c, quickRequest[n:])
		r.pass(t)
		assert.Equal(t, readStatus(c), http.StatusOK)
		assert.NilError(t, <-stopped)
	}
}

// TestIdleConnectionEndsInAStop checks that a connection without a byte of a head ends at once.
func TestIdleConnectionEndsInAStop(t *testing.T) {
	r := newStopRig(t, false, false)
	c := r.use(t)
	assert.NilError(t, <-r.stop(t.Context()))
	assert.Equal(t, readStatus(c), 0)
}

// TestArrivedBytesAreReadInAStop checks that the wait for a head goes on if bytes of it lie in the system when it is to end.
func TestArrivedBytesAreReadInAStop(t *testing.T) {
	r := newStopRig(t, false, false)
	caller, err := net.Dial("tcp", r.address)
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	await(t, "the connection is accepted", func() bool { _, open := r.gate.counts(); return open == 1 })
	r.gate.mu.Lock()
	c := r.gate.unfinished.front
	r.gate.mu.Unlock()
	assert.Assert(t, !hasArrived(c.Conn))
	c.retire()
	await(t, "the connection ends", func() bool { _, open := r.gate.counts(); return open == 0 })

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	caller, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	raw, err := ln.Accept()
	assert.NilError(t, err)
	c = newConn(raw, r.gate)
	assert.Assert(t, r.gate.add(c))
	write(t, caller, quickRequest)
	await(t, "the bytes have arrived", func() bool { return hasArrived(raw) })
	c.retire()
	buf := make([]byte, len(quickRequest))
	_, err = io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), quickRequest)
	assert.NilError(t, c.Close())
}

// TestStopEndsWithAHeadThatDoesNot checks that a stop ends with its context, and with the connections that are still open.
func TestStopEndsWithAHeadThatDoesNot(t *testing.T) {
	r := newStopRig(t, true, false)
	c := r.use(t)
	write(t, c, quickRequest[:10])
	r.pass(t)
	await(t, "the head has begun", func() bool { unfinished, _ := r.gate.counts(); return unfinished == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	stopped := r.stop(ctx)
	cancel()
	assert.ErrorIs(t, <-stopped, context.Canceled)
	assert.Equal(t, readStatus(c), 0)
	_, open := r.gate.counts()
	assert.Equal(t, open, 0)
}

// TestHijackedConnectionIsNotSpared guards against a connection that stays open, and the stop with it, since its handler closed it while idle
// connections were told to end: the server does not learn of that.
func TestHijackedConnectionIsNotSpared(t *testing.T) {
	hijacked, closed := make(chan net.Conn), make(chan struct{})
	s := startEarlyServer(t, Limits{MemoryBytes: 1 << 20}, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err == nil)
		hijacked <- c
		<-closed
	})
	caller := s.dial(t)
	write(t, caller, quickRequest)
	c := <-hijacked
	s.gate.setSparing(true)
	err := c.Close()
	s.gate.setSparing(false)
	close(closed)
	assert.NilError(t, err)
	assert.Equal(t, s.gate.openConnections(), 0)
	_, err = caller.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// TestBegunHeadThatStandsStillEndsInAStop guards against a stop that waits as long as an idle connection may last, as a few bytes of a head
// were read before it: the server waits for more of them than that before it bounds the time of a head.
func TestBegunHeadThatStandsStillEndsInAStop(t *testing.T) {
	t.Parallel()
	r := newStopRig(t, false, false)
	c := r.use(t)
	write(t, c, quickRequest[:2])
	await(t, "the head has begun", func() bool { unfinished, _ := r.gate.counts(); return unfinished == 1 })
	select {
	case err := <-r.stop(t.Context()):
		assert.NilError(t, err)
	case <-time.After(2 * lastHeadTime):
		t.Fatal("the stop waits for the head")
	}
}
