// Package toucanupstream is an HTTP/1.1 client with a connection pool. Its errors distinguish requests that were
// certainly not sent from those that the endpoint may have run. It detects answers that are cut, malformed or meant for
// an earlier request.
package toucanupstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"toucanport/toucankeepalive"
)

var (
	// ErrNotSent is returned if no byte of a request was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnections is returned if a request was not sent because all connections to the endpoint are in use. It wraps
	// ErrNotSent.
	ErrConnections = errors.Wrap(ErrNotSent, "all connections to the endpoint are in use")
	// ErrRefused is returned if the address answers that nothing listens there. It wraps ErrNotSent.
	ErrRefused = errors.WithStack(ErrNotSent)
	// ErrLost is returned if at least part of a request may have been sent and no valid answer was received. The
	// endpoint may have run the request.
	ErrLost = errors.New("answer was lost")
)

const (
	// defaultDialTimeout is how long a host has to accept a connection.
	defaultDialTimeout = 700 * time.Millisecond
	keepAliveIdle      = time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 2
	// defaultIdleTimeout applies to endpoints that state no timeout. It is below the shortest known timeout of an
	// endpoint.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that an endpoint states, so that the endpoint does not close a
	// connection while a request is on its way.
	idleMargin = 500 * time.Millisecond
	readBuffer = 4 << 10
	// defaultIdleLimit is above every timeout that endpoints state, and so sets no limit.
	defaultIdleLimit = time.Hour
	// reducedIdlePeriod is how long the reduced idle limit applies after a peer dropped an idle connection.
	// minIdleLimit is the lower bound of the reduced limit.
	reducedIdlePeriod = 20 * time.Second
	minIdleLimit      = 100 * time.Millisecond
)

// Pool is a connection pool for endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// monitor ends the connections to dead hosts.
	monitor *toucankeepalive.Monitor
	// endWait is how long HasEnded watches a connection that was accepted.
	endWait time.Duration

	// total is the number of all connections, including those being dialed.
	total atomic.Int64

	mu sync.Mutex
	// peers has an entry for each address with an open connection.
	peers map[string]*peer
	// reducedIdleLimit bounds, until reducedUntil, how long a connection may have been idle to be reused.
	reducedIdleLimit time.Duration
	reducedUntil     time.Time
}

// peer holds the connections to one address.
type peer struct {
	// idle holds the idle connections, the most recently used last.
	idle []*conn
	// open is the number of all connections, including idle ones and those being dialed.
	open int
}

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	// head bounds the bytes that are read while the head of an answer is awaited.
	head    *headLimit
	pool    *Pool
	address string
	r       *bufio.Reader
	w       *bufio.Writer
	// used is the number of requests that were completed on the connection.
	used int
	// idleTimeout is how long the connection may be idle before the peer is expected to close it.
	idleTimeout time.Duration
	idleSince   time.Time
	// idleBefore is how long the connection had been idle before the current request.
	idleBefore time.Duration
	closeOnce  sync.Once
}

// Option changes a Pool that is being created.
type Option func(*Pool)

// WithEndWait sets how long HasEnded watches a connection that was accepted. The default is 40 ms.
func WithEndWait(d time.Duration) Option {
	return func(p *Pool) { p.endWait = d }
}

// WithDialTimeout sets how long a host has to accept a connection. The default is 700 ms.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dialer.Timeout = d }
}

// WithUnackedTimeout sets how long sent bytes may stay without any acknowledgement before the connection is ended. The default is 1.5 s.
func WithUnackedTimeout(d time.Duration) Option {
	return func(p *Pool) { p.monitor = toucankeepalive.New(toucankeepalive.WithTimeout(d)) }
}

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	p := &Pool{
		peers:   make(map[string]*peer),
		endWait: defaultEndWait,
		monitor: toucankeepalive.New(),
		dialer: net.Dialer{
			Timeout: defaultDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
	}
	for _, o := range options {
		o(p)
	}
	p.dialer.Control = p.monitor.Control
	return p
}

// Open returns the number of all connections, including those being dialed.
func (p *Pool) Open() int { return int(p.total.Load()) }

// get returns an idle connection to address, or dials a new one if fewer than limit are open. The error wraps
// ErrNotSent.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	return p.dial(ctx, address, limit)
}

// dial returns a new connection to address if fewer than limit are open. The error wraps ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*conn, error) {
	if !p.reserve(address, limit) {
		return nil, errors.Wrap(ErrConnections, address)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.Wrapf(ErrRefused, "dial %s: %v", address, err)
		}
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", address, err)
	}
	raw = p.monitor.Watch(raw)
	watched := &resetConn{Conn: raw}
	head := &headLimit{r: watched, left: noHeadLimit}
	return &conn{
		Conn:        raw,
		head:        head,
		pool:        p,
		address:     address,
		r:           bufio.NewReaderSize(head, readBuffer),
		w:           bufio.NewWriterSize(watched, readBuffer),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// takeIdle returns the most recently used idle connection that can be reused, or nil. It closes those that can't.
func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		idle := time.Since(c.idleSince)
		if idle < min(c.idleTimeout, p.idleLimit()) && c.isQuiet() {
			c.idleBefore = idle
			return c
		}
		c.close()
	}
}

// idleLimit returns how long a connection may have been idle to be reused.
func (p *Pool) idleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.reducedUntil) {
		return defaultIdleLimit
	}
	return p.reducedIdleLimit
}

// recordDrop reduces the idle limit for reducedIdlePeriod after a peer dropped a connection that had been idle, since
// other connections may have been dropped too. The limit becomes half of that connection's idle time, but at least
// minIdleLimit. While a reduced limit applies, it is not raised.
func (p *Pool) recordDrop(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := max(idle/2, minIdleLimit)
	if now.Before(p.reducedUntil) {
		limit = min(limit, p.reducedIdleLimit)
	}
	p.reducedIdleLimit, p.reducedUntil = limit, now.Add(reducedIdlePeriod)
}

// popIdle removes and returns the most recently used idle connection to address, or nil if there is none.
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

// reserve counts a new connection to address. It returns false if limit are open already.
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
	p.total.Add(1)
	return true
}

// release removes a closed connection from the count.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[address]
	pr.open--
	p.total.Add(-1)
	if pr.open == 0 {
		delete(p.peers, address)
	}
}

// putIdle returns a connection to the pool.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	c.used++
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[c.address]
	pr.idle = append(pr.idle, c)
}

// Forget closes the idle connections to an address, for example when its endpoint is gone.
func (p *Pool) Forget(address string) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return
		}
		c.close()
	}
}

// Prune closes the idle connections whose idle timeout has passed, before their peers close them.
func (p *Pool) Prune(now time.Time) {
	for _, c := range p.removeExpired(now) {
		c.close()
	}
}

// removeExpired removes and returns the idle connections whose idle timeout has passed.
func (p *Pool) removeExpired(now time.Time) []*conn {
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

// isQuiet reports whether the connection is open and nothing has arrived on it since its last answer. Unsolicited bytes
// could be taken for the next answer, so a connection with any must not be reused.
func (c *conn) isQuiet() bool {
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

// close closes the connection and releases it from the pool. Only the first call has an effect.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Close()
		c.pool.release(c.address)
	})
}
