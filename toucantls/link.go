package toucantls

import (
	"context"
	"net"
	"sync"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// WrapDial returns a Dial function that secures the connections of dial with mutual TLS and accepts only peers with the
// role.
func WrapDial(dial Dial, s Source, peer Role) Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return Client(ctx, conn, s, peer)
	}
}

// Listener accepts connections that are secured with mutual TLS and come from peers with the role. A connection's
// handshake runs in its first Read or Write, so that a slow peer does not delay Accept.
type Listener struct {
	net.Listener
	source Source
	peer   Role
}

// NewListener returns a Listener that accepts connections from ln.
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

// serverConn is an accepted connection that runs its handshake once, in the first Read or Write.
type serverConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	// err is the error of the handshake; it is set within once.
	err error

	mu sync.Mutex
	// protected is nil until the handshake has succeeded.
	protected net.Conn
	closed    bool
}

// handshakeOnce returns the TLS connection, after a handshake in the first call. Later calls return the same result.
func (c *serverConn) handshakeOnce() (net.Conn, error) {
	c.once.Do(func() {
		protected, err := Server(context.Background(), c.Conn, c.listener.source, c.listener.peer)
		c.err = err
		if err == nil {
			c.setProtected(protected)
		}
	})
	if c.err != nil {
		return nil, c.err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.protected, nil
}

// setProtected stores the TLS connection, and closes it if Close was called during the handshake.
func (c *serverConn) setProtected(protected net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.protected = protected
	if c.closed {
		protected.Close()
	}
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	conn, err := c.handshakeOnce()
	if err != nil {
		return 0, err
	}
	return conn.Read(b)
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	conn, err := c.handshakeOnce()
	if err != nil {
		return 0, err
	}
	return conn.Write(b)
}

// Close implements net.Conn. It also aborts a handshake in progress.
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
