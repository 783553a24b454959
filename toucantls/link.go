package toucantls

import (
	"context"
	"net"
	"sync"
)

// Dial opens connections.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// WrapDial returns a dial function whose connections are protected and end at a peer of the role.
func WrapDial(dial Dial, s Source, peer Role) Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return Client(ctx, conn, s, peer)
	}
}

// Listener accepts connections that are protected and come from peers of the role. A connection's handshake runs
// with its first Read or Write, so that a slow peer delays nobody else.
type Listener struct {
	net.Listener
	source Source
	peer   Role
}

// NewListener returns a Listener over ln.
func NewListener(ln net.Listener, s Source, peer Role) *Listener {
	return &Listener{Listener: ln, source: s, peer: peer}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, listener: l}, nil
}

// serverConn runs its handshake once, before the first byte in either direction.
type serverConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	// protected and err are set by the handshake; exactly one is nil.
	protected net.Conn
	err       error
}

func (c *serverConn) handshake() error {
	c.once.Do(func() {
		c.protected, c.err = Server(context.Background(), c.Conn, c.listener.source, c.listener.peer)
	})
	return c.err
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.protected.Read(b)
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.protected.Write(b)
}
