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
	err      error

	mu sync.Mutex
	// protected is nil until the handshake has succeeded.
	protected net.Conn
	closed    bool
}

// ready returns the protected connection after the handshake.
func (c *serverConn) ready() (net.Conn, error) {
	c.once.Do(func() {
		protected, err := Server(context.Background(), c.Conn, c.listener.source, c.listener.peer)
		c.err = err
		if err == nil {
			c.keep(protected)
		}
	})
	if c.err != nil {
		return nil, c.err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.protected, nil
}

func (c *serverConn) keep(protected net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.protected = protected
	if c.closed {
		protected.Close()
	}
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	conn, err := c.ready()
	if err != nil {
		return 0, err
	}
	return conn.Read(b)
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	conn, err := c.ready()
	if err != nil {
		return 0, err
	}
	return conn.Write(b)
}

// Close implements net.Conn. It also ends a handshake that is under way.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.protected != nil {
		c.protected.Close()
	}
	return err
}
