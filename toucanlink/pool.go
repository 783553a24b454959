// Package toucanlink maintains an entry's links to sidecars: it dials them, exchanges heartbeats, detects stalled links
// by unanswered heartbeats, and closes idle links.
package toucanlink

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"toucanport/toucanmember"
	"toucanport/toucanreplicate"
	"toucanport/toucanwire"
)

const (
	// dialTimeout is the maximum time for connecting and exchanging hellos with a sidecar.
	dialTimeout = 1500 * time.Millisecond
	// redialDelay is the minimum time between two background dials of the same address.
	redialDelay = time.Second
)

// ErrNotConnected is returned when no link to an address could be established, so that nothing was sent.
var ErrNotConnected = errors.New("no link to the sidecar")

// Dialer opens a connection to a sidecar's inner listener.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Handler processes the contents of heartbeats. Its methods are called concurrently, from one goroutine for each link.
type Handler interface {
	// Report receives a sidecar's load report, which can be nil, and the hello that the sidecar sent on its link.
	Report(peer *toucanwire.Hello, load *toucanwire.LoadReport)
	// Uses returns the workspace use that the next heartbeat to an address reports.
	Uses(address string) []*toucanwire.EntryUse
	// ApplyUses receives the workspace use that other entries reported to the sidecar.
	ApplyUses(uses []*toucanwire.EntryUse)
}

// Config configures a Pool.
type Config struct {
	Dial  Dialer
	Hello *toucanwire.Hello
	// Replica holds the settings documents that are exchanged with heartbeats.
	Replica *toucanreplicate.Holder
	Handler Handler
	// Interval returns the time between two heartbeats on a link, given the number of links; nil means
	// toucanmember.HeartbeatInterval.
	Interval func(links int) time.Duration
	Log      *slog.Logger
}

// Peer is a live link to one sidecar.
type Peer struct {
	*toucanwire.Link
	// state is the sidecar's state as of the last answered heartbeat; nil before the first one.
	state atomic.Pointer[PeerState]
	// idleSince is when Reconcile first found the link neither wanted nor in use; zero while it is wanted or in use.
	idleSince time.Time
}

// Pool maintains one link to each sidecar that the entry uses. It is safe for concurrent use.
type Pool struct {
	cfg Config
	// dials deduplicates concurrent dials of the same address.
	dials singleflight.Group

	mu sync.Mutex
	// peers maps addresses to live links.
	peers map[string]*Peer
	// wanted are the addresses whose links are kept open even without requests.
	wanted map[string]bool
	// retryAt maps wanted addresses without a link to the time from which Reconcile dials them again.
	retryAt map[string]time.Time
	closed  bool
}

// NewPool returns a pool without links.
func NewPool(cfg Config) *Pool {
	if cfg.Interval == nil {
		cfg.Interval = toucanmember.HeartbeatInterval
	}
	return &Pool{cfg: cfg, peers: make(map[string]*Peer), retryAt: make(map[string]time.Time)}
}

// Get returns the link to an address, and dials the address if there is none. Concurrent calls for one address share a
// dial, which continues when ctx ends. All errors wrap ErrNotConnected.
func (p *Pool) Get(ctx context.Context, address string) (*Peer, error) {
	if peer := p.lookup(address); peer != nil {
		return peer, nil
	}
	result := p.dials.DoChan(address, func() (any, error) { return p.connect(address) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, errors.Wrap(ErrNotConnected, r.Err.Error())
		}
		return r.Val.(*Peer), nil
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNotConnected, ctx.Err().Error())
	}
}

func (p *Pool) lookup(address string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address]
}

func (p *Pool) connect(address string) (*Peer, error) {
	if peer := p.lookup(address); peer != nil {
		return peer, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	link, err := toucanwire.Dial(ctx, conn, p.cfg.Hello)
	if err != nil {
		return nil, err
	}
	peer := &Peer{Link: link}
	if err := p.add(address, peer); err != nil {
		return nil, err
	}
	return peer, nil
}

func (p *Pool) add(address string, peer *Peer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		peer.Close()
		return errors.New("the entry is closing")
	}
	p.peers[address] = peer
	delete(p.retryAt, address)
	go p.maintain(address, peer)
	return nil
}

// maintain exchanges heartbeats until the link ends or stalls, and removes it from the pool.
func (p *Pool) maintain(address string, peer *Peer) {
	err := p.exchangeHeartbeats(address, peer)
	peer.Close()
	p.mu.Lock()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
	closed := p.closed
	p.mu.Unlock()
	if !closed {
		p.cfg.Log.Warn("link ended", "address", address, "error", errorText(err))
	}
}

// linkCount returns the number of links.
func (p *Pool) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// SetWanted replaces the set of addresses whose links are kept open without requests. The pool keeps the map.
func (p *Pool) SetWanted(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = addresses
}

// idleLinkTimeout is the time after which a link that is neither wanted nor in use is closed.
const idleLinkTimeout = time.Minute

// controlStreams is the number of streams on a link without requests: the control stream.
const controlStreams = 1

// idlePeers updates the idle times of all links and returns the links that have been idle for idleLinkTimeout.
func (p *Pool) idlePeers(now time.Time) []*Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Peer
	for address, peer := range p.peers {
		switch {
		case p.wanted[address] || peer.NumStreams() > controlStreams:
			peer.idleSince = time.Time{}
		case peer.idleSince.IsZero():
			peer.idleSince = now
		case now.Sub(peer.idleSince) >= idleLinkTimeout:
			out = append(out, peer)
		}
	}
	return out
}

// Reconcile starts dialing every wanted address without a link, and closes idle links. Call it periodically.
func (p *Pool) Reconcile(ctx context.Context) {
	for _, peer := range p.idlePeers(time.Now()) {
		peer.Close()
	}
	for _, address := range p.addressesToDial(time.Now()) {
		go func() {
			if _, err := p.Get(ctx, address); err != nil {
				p.cfg.Log.Debug("dial failed", "address", address, "error", err.Error())
			}
		}()
	}
}

// addressesToDial returns the wanted addresses without a link whose redialDelay has passed.
func (p *Pool) addressesToDial(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address := range p.wanted {
		if p.peers[address] == nil && !now.Before(p.retryAt[address]) {
			p.retryAt[address] = now.Add(redialDelay)
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// CloseAll closes every link. Later calls of Get fail.
func (p *Pool) CloseAll() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = make(map[string]*Peer)
	p.mu.Unlock()
	for _, peer := range peers {
		peer.Close()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
