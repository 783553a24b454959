// Package toucanupstream sends HTTP/1.1 requests to endpoints over kept connections. It tells a request that surely
// was not sent from one whose fate is unknown, and an answer that is whole from one that was cut, garbled or meant for
// an earlier request.
package toucanupstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

var (
	// ErrNotSent is returned when no byte of a request was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnections is an ErrNotSent because the endpoint's connections are all in use.
	ErrConnections = errors.Wrap(ErrNotSent, "connections of the endpoint are used up")
	// ErrLost is returned when a request was sent, in part at least, and no usable answer came.
	ErrLost = errors.New("answer was lost")
)

const (
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing that was sent.
	unackedTimeout    = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is below the shortest timeout that endpoints are known to have.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the timeout that an endpoint states, for requests on their way.
	idleMargin = 500 * time.Millisecond
	readBuffer = 4 << 10
	// longestIdle is above every timeout that endpoints state.
	longestIdle = time.Hour
	// shyFor is how long connections are given up sooner after a peer dropped one that rested, and shortestIdle the
	// shortest time that they may rest then.
	shyFor       = 20 * time.Second
	shortestIdle = 100 * time.Millisecond
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu sync.Mutex
	// peers has an entry for each address with an open connection.
	peers map[string]*peer
	// restLimit bounds how long a connection may have rested until shyUntil.
	restLimit time.Duration
	shyUntil  time.Time
}

// peer holds the connections to one address.
type peer struct {
	// idle is in the order of last use, the newest last.
	idle []*conn
	// open counts all connections, idle ones included.
	open int
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	r       *bufio.Reader
	w       *bufio.Writer
	// used counts the requests sent before the present one.
	used int
	// idleTimeout is how long the peer keeps the connection without a request.
	idleTimeout time.Duration
	idleSince   time.Time
	// rested is how long the connection had rested before the present request.
	rested    time.Duration
	closeOnce sync.Once
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		peers: make(map[string]*peer),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
			Control: SetUnackedTimeout,
		},
	}
}

// SetUnackedTimeout bounds how long sent bytes may stay unacknowledged before the connection counts as broken. It is a
// net.Dialer's or net.ListenConfig's Control.
func SetUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// get returns an idle connection to address, or dials one while fewer than limit are open.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	if !p.reserve(address, limit) {
		return nil, errors.Wrap(ErrConnections, address)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", address, err)
	}
	return &conn{
		Conn:        raw,
		pool:        p,
		address:     address,
		r:           bufio.NewReaderSize(raw, readBuffer),
		w:           bufio.NewWriterSize(raw, readBuffer),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// takeIdle returns the connection that was used last and is still sound.
func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		rested := time.Since(c.idleSince)
		if rested < min(c.idleTimeout, p.restBound()) && c.quiet() {
			c.rested = rested
			return c
		}
		c.close()
	}
}

// restBound returns how long a connection may have rested.
func (p *Pool) restBound() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.shyUntil) {
		return longestIdle
	}
	return p.restLimit
}

// dropped takes in that a peer dropped a connection that had rested, so that others are given up sooner for a while.
func (p *Pool) dropped(rested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := max(rested/2, shortestIdle)
	if now.Before(p.shyUntil) {
		limit = min(limit, p.restLimit)
	}
	p.restLimit, p.shyUntil = limit, now.Add(shyFor)
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[address]
	if !ok || len(pr.idle) == 0 {
		return nil
	}
	c := pr.idle[len(pr.idle)-1]
	pr.idle = pr.idle[:len(pr.idle)-1]
	return c
}

func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[address]
	if !ok {
		pr = &peer{}
		p.peers[address] = pr
	}
	if limit > 0 && pr.open >= limit {
		return false
	}
	pr.open++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[address]
	pr.open--
	if pr.open == 0 {
		delete(p.peers, address)
	}
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	c.used++
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[c.address]
	pr.idle = append(pr.idle, c)
}

// Forget closes the idle connections to an address, as when its endpoint has left.
func (p *Pool) Forget(address string) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return
		}
		c.close()
	}
}

// Prune closes idle connections that their peers are about to close.
func (p *Pool) Prune(now time.Time) {
	for _, c := range p.expired(now) {
		c.close()
	}
}

func (p *Pool) expired(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*conn
	for _, pr := range p.peers {
		kept := pr.idle[:0]
		for _, c := range pr.idle {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		pr.idle = kept
	}
	return old
}

// quiet reports whether the connection is open and nothing has arrived on it since its last answer. Bytes that nobody
// asked for belong to no request, so that the connection must not be used again.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = sc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Close()
		c.pool.release(c.address)
	})
}
