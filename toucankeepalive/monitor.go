// Package toucankeepalive tells a dead peer of a TCP connection from one that is only slow. A peer is dead when it no longer acknowledges.
// One that acknowledges and reads nothing keeps its connection: the kernel's TCP_USER_TIMEOUT ends that too, since it counts the time for
// which the peer's window is closed.
//
// While nothing is in flight, the kernel's keep-alive probes find a dead peer. While bytes are, a Monitor asks the kernel when the last
// acknowledgement came. Where the kernel does not tell, TCP_USER_TIMEOUT stays in force.
package toucankeepalive

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultTimeout is how long sent bytes may stay without any acknowledgement until their peer is dead.
	defaultTimeout = 1500 * time.Millisecond
	// checkInterval is the time between two looks at the connections with bytes in flight.
	checkInterval = 100 * time.Millisecond
)

// Death is a connection that was ended because its peer is dead.
type Death struct {
	Local, Remote net.Addr
	// Silence is the time since the peer should have acknowledged bytes and did not.
	Silence time.Duration
	// UnackedBytes is the number of bytes that were not acknowledged.
	UnackedBytes int
	// WindowClosed is true if the peer's window was closed, so that only probes were sent.
	WindowClosed bool
}

// Monitor watches TCP connections. It is safe for concurrent use.
type Monitor struct {
	report func(Death)
	// timeout is how long sent bytes may stay without any acknowledgement.
	timeout time.Duration
	// delivers is true if the kernel delivers what is in flight at Close, as long as the peer acknowledges.
	delivers bool
	// unsupported is true once the kernel was found not to tell when acknowledgements come.
	unsupported atomic.Bool

	mu sync.Mutex
	// busy holds the connections that may have bytes in flight.
	busy []*Conn
	// running is true while a goroutine checks busy, until that is empty.
	running bool
}

// Option changes a Monitor that is being created.
type Option func(*Monitor)

// WithReport sets a function that is called for each connection that is ended because its peer is dead.
func WithReport(report func(Death)) Option { return func(m *Monitor) { m.report = report } }

// WithDelivery makes the kernel deliver what is in flight at Close as long as the peer acknowledges. Otherwise the peer has to take it within
// the timeout.
func WithDelivery() Option { return func(m *Monitor) { m.delivers = true } }

// WithTimeout sets how long sent bytes may stay without any acknowledgement until their peer is dead. The default is 1.5 s.
func WithTimeout(d time.Duration) Option { return func(m *Monitor) { m.timeout = d } }

// New returns a Monitor.
func New(options ...Option) *Monitor {
	m := &Monitor{report: func(Death) {}, timeout: defaultTimeout}
	for _, o := range options {
		o(m)
	}
	return m
}

// Control sets TCP_USER_TIMEOUT, which holds until the connection is watched. It is the Control function of a net.Dialer or net.ListenConfig.
func (m *Monitor) Control(_, _ string, c syscall.RawConn) error {
	return socket{c}.limitUnacked(m.timeout)
}

// Listen returns a listener whose connections are watched.
func (m *Monitor) Listen(l net.Listener) net.Listener { return &listener{Listener: l, monitor: m} }

type listener struct {
	net.Listener
	monitor *Monitor
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.monitor.Watch(c), nil
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are watched.
func (m *Monitor) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Watch(c), nil
	}
}

// Watch returns a connection that ends with the error of a timeout once its peer is dead. It returns raw itself if that is no TCP connection
// or the kernel does not tell when acknowledgements come.
func (m *Monitor) Watch(raw net.Conn) net.Conn {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || m.unsupported.Load() {
		return raw
	}
	sc, err := tcp.SyscallConn()
	if err != nil {
		return raw // It is closed.
	}
	s := socket{sc}
	if info, err := s.info(); err != nil || !tellsAcks(info) {
		m.unsupported.Store(err == nil || !isClosed(err))
		return raw
	}
	return &Conn{TCPConn: tcp, monitor: m, socket: s, opened: time.Now(), limits: limits{timeout: m.timeout, probeInterval: s.boundProbes()}}
}

// add adds a connection that may have bytes in flight. The caller has marked it as listed.
func (m *Monitor) add(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = append(m.busy, c)
	if !m.running {
		m.running = true
		go m.run()
	}
}

// run checks the connections that may have bytes in flight until there are none.
func (m *Monitor) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !m.checkAll() {
			return
		}
	}
}

// checkAll checks all connections that may have bytes in flight. It returns false if none is left.
func (m *Monitor) checkAll() bool {
	m.mu.Lock()
	conns := m.busy
	m.busy = nil
	m.mu.Unlock()
	kept := conns[:0]
	for _, c := range conns {
		if c.check() {
			kept = append(kept, c)
		}
	}
	clear(conns[len(kept):])
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = append(kept, m.busy...)
	m.running = len(m.busy) > 0
	return m.running
}
