// Package toucanfakenet is a network in memory: listeners and dialers joined by address, over links that can be
// delayed, stalled, cut, and made to lose replies while they are in use.
package toucanfakenet

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// acceptBacklog bounds the connections that wait for Accept.
const acceptBacklog = 4096

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
	conns   map[*connection]struct{}
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		states:    make(map[LinkName]LinkState),
		changed:   make(chan struct{}),
		conns:     make(map[*connection]struct{}),
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
// for the dialing address, that before one for the dialed address, and that before the one for Any, Any.
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
	var cut []*connection
	for c := range n.conns {
		if matches(name.From, c.name.From) && matches(name.To, c.name.To) {
			cut = append(cut, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		c.cut()
	}
}

// Close refuses every later connection and closes the open ones.
func (n *Network) Close() {
	n.mu.Lock()
	n.states = map[LinkName]LinkState{{Any, Any}: {Refused: true}}
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.Cut(LinkName{Any, Any})
}

func matches(pattern, address string) bool { return pattern == Any || pattern == address }

// state returns a link's state and a channel that is closed when any state changes.
func (n *Network) state(name LinkName) (LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range []LinkName{name, {name.From, Any}, {Any, name.To}} {
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
	c := n.connect(name)
	select {
	case l.accepted <- c.dialed:
		return c.dialer, nil
	case <-l.closed:
		c.cut()
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: memAddr(name.To), Err: syscall.ECONNREFUSED}
	}
}

func (n *Network) connect(name LinkName) *connection {
	c := newConnection(n, name)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

func (n *Network) forget(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
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
