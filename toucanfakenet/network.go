// Package toucanfakenet implements an in-memory network for tests. Dialers connect to listeners by address, over
// links that can be delayed, stalled, cut, and made to lose replies while they are in use.
package toucanfakenet

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// acceptBacklog is the number of connections per listener that can wait for Accept.
const acceptBacklog = 4096

// Any is the wildcard address in a LinkName.
const Any = "*"

// LinkName identifies a link: the connections that From opens to To.
type LinkName struct{ From, To string }

// LinkState holds the delay and the faults of a link. The zero value is a link without delay or faults.
type LinkState struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// RequestsStalled stops delivery of the bytes that the dialing side sends, RepliesStalled of those that the dialed
	// side sends, until the state changes.
	RequestsStalled, RepliesStalled bool
	// RepliesLost discards the bytes that the dialed side sends.
	RepliesLost bool
	// Refused makes new connections fail.
	Refused bool
}

// Network connects listeners and dialers by address, in memory. It is safe for concurrent use.
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

// Listen returns a listener that accepts the connections to address.
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

// Dialer returns a dial function for the process at the address from.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, LinkName{from, address})
	}
}

// Set sets the state of a link's open and future connections. If several states match a connection, the first in
// this order applies: the state for both addresses, for the dialing address and Any, for Any and the dialed address,
// for Any and Any.
func (n *Network) Set(name LinkName, s LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[name] = s
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut resets the link's open connections. Either address of name can be Any.
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

// Close refuses all future connections and resets the open ones.
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
	s, err := n.waitRoundTrip(ctx, name)
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

func (n *Network) removeConnection(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// waitRoundTrip waits for a round trip of the link and returns the link's state. The round trip starts again when
// any state changes, and does not complete while a direction is stalled.
func (n *Network) waitRoundTrip(ctx context.Context, name LinkName) (LinkState, error) {
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
