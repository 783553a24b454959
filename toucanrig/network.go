// Package toucanrig runs real entries and sidecars with stand-in engines over links in memory, for
// measurements and fault cases under a fake clock.
package toucanrig

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	linkBufferChunks = 64
	linkChunkBytes   = 16 << 10
	acceptBacklog    = 4096
)

// Any stands for every address in a LinkName.
const Any = "*"

// LinkName names the connections that From opens to To.
type LinkName struct{ From, To string }

// LinkState is how the connections of a link behave. The zero value is a link without faults.
type LinkState struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// RequestsStalled and RepliesStalled hold the bytes of one direction until the state changes.
	RequestsStalled, RepliesStalled bool
	// RepliesLost drops the bytes from the dialed side.
	RepliesLost bool
	// Refused makes new connections fail.
	Refused bool
}

// Network joins listeners and dialers by address, in memory.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	states    map[LinkName]LinkState
	// changed is closed and replaced whenever states change.
	changed chan struct{}
	conns   map[*linkConn]struct{}
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		states:    make(map[LinkName]LinkState),
		changed:   make(chan struct{}),
		conns:     make(map[*linkConn]struct{}),
	}
}

// Listen returns a listener that gets the connections to address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: memAddr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{
		network:  n,
		address:  memAddr(address),
		accepted: make(chan net.Conn, acceptBacklog),
		closed:   make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the function by which the process at from opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, LinkName{from, address})
	}
}

// Set changes how a link's open and later connections behave. A state for both addresses goes before one
// for the dialed address, that before one for the dialing address, and that before the one for Any, Any.
func (n *Network) Set(name LinkName, s LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[name] = s
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut closes the link's open connections. Either side of name may be Any.
func (n *Network) Cut(name LinkName) {
	n.mu.Lock()
	var cut []*linkConn
	for c := range n.conns {
		if matches(name.From, c.name.From) && matches(name.To, c.name.To) {
			cut = append(cut, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		c.close()
	}
}

func matches(pattern, address string) bool { return pattern == Any || pattern == address }

// state returns a link's state and a channel that is closed when any state changes.
func (n *Network) state(name LinkName) (LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range []LinkName{name, {Any, name.To}, {name.From, Any}} {
		if s, ok := n.states[k]; ok {
			return s, n.changed
		}
	}
	return n.states[LinkName{Any, Any}], n.changed
}

func (n *Network) dial(ctx context.Context, name LinkName) (net.Conn, error) {
	s, err := n.waitDial(ctx, name)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: memAddr(name.To), Err: err}
	}
	n.mu.Lock()
	l := n.listeners[name.To]
	n.mu.Unlock()
	if l == nil || s.Refused {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: memAddr(name.To), Err: syscall.ECONNREFUSED}
	}
	c := newLinkConn(n, name)
	select {
	case l.accepted <- c.dialed:
		return c.dialer, nil
	case <-l.closed:
		c.close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: memAddr(name.To), Err: syscall.ECONNREFUSED}
	}
}

// waitDial takes a round trip of the link, longer while it is stalled.
func (n *Network) waitDial(ctx context.Context, name LinkName) (LinkState, error) {
	for {
		s, changed := n.state(name)
		var arrived <-chan time.Time
		if !s.RequestsStalled && !s.RepliesStalled {
			arrived = time.After(2 * s.Delay)
		}
		select {
		case <-arrived:
			return s, nil
		case <-changed:
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}

// linkConn is one connection: two pipes with a goroutine pair for each direction between them.
type linkConn struct {
	network *Network
	name    LinkName
	// dialer and dialed are what the two processes hold; near and far are the other ends of their pipes.
	dialer, dialed net.Conn
	near, far      net.Conn
	once           sync.Once
	closed         chan struct{}
}

func newLinkConn(n *Network, name LinkName) *linkConn {
	c := &linkConn{network: n, name: name, closed: make(chan struct{})}
	var dialer, dialed net.Conn
	dialer, c.near = net.Pipe()
	dialed, c.far = net.Pipe()
	c.dialer = addressed{dialer, memAddr(name.From), memAddr(name.To)}
	c.dialed = addressed{dialed, memAddr(name.To), memAddr(name.From)}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	c.pump(c.near, c.far, func(s LinkState) (bool, bool) { return s.RequestsStalled, false })
	c.pump(c.far, c.near, func(s LinkState) (bool, bool) { return s.RepliesStalled, s.RepliesLost })
	return c
}

func (c *linkConn) close() {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.near.Close()
	c.far.Close()
}

type timedChunk struct {
	due  time.Time
	data []byte
}

// pump moves bytes from one pipe to the other. direction picks that direction's faults from the state.
func (c *linkConn) pump(from, to net.Conn, direction func(LinkState) (stalled, lost bool)) {
	chunks := make(chan timedChunk, linkBufferChunks)
	go func() {
		defer close(chunks)
		buf := make([]byte, linkChunkBytes)
		for {
			k, err := from.Read(buf)
			if err != nil {
				return
			}
			s, _ := c.network.state(c.name)
			chunks <- timedChunk{time.Now().Add(s.Delay), append([]byte(nil), buf[:k]...)}
		}
	}()
	go func() {
		defer c.drain(chunks)
		for chunk := range chunks {
			time.Sleep(time.Until(chunk.due))
			lost, err := c.waitOpen(direction)
			if err != nil {
				return
			}
			if lost {
				continue
			}
			if _, err := to.Write(chunk.data); err != nil {
				return
			}
		}
	}()
}

// drain ends a direction: it closes the connection and lets the reading goroutine finish.
func (c *linkConn) drain(chunks <-chan timedChunk) {
	c.close()
	for range chunks {
		continue
	}
}

// waitOpen waits while the direction is stalled. It returns an error once the connection is closed.
func (c *linkConn) waitOpen(direction func(LinkState) (stalled, lost bool)) (bool, error) {
	for {
		s, changed := c.network.state(c.name)
		stalled, lost := direction(s)
		if !stalled {
			return lost, nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return false, io.ErrClosedPipe
		}
	}
}

// addressed is a pipe's end with the addresses of the link.
type addressed struct {
	net.Conn
	local, remote memAddr
}

func (a addressed) LocalAddr() net.Addr  { return a.local }
func (a addressed) RemoteAddr() net.Addr { return a.remote }

type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

type listener struct {
	network  *Network
	address  memAddr
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "mem", Addr: l.address, Err: net.ErrClosed}
	}
}

func (l *listener) Close() error {
	err := os.ErrClosed
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.closed)
		err = nil
	})
	return err
}

func (l *listener) Addr() net.Addr { return l.address }
