// Package toucanlink keeps an entry's links to sidecars: it dials them, exchanges heartbeats, finds stalled links by
// heartbeats that stay unanswered, and closes those that nobody needs.
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
	"toucanport/toucanspread"
	"toucanport/toucanwire"
)

const (
	// dialTimeout bounds the start of one link.
	dialTimeout = 1500 * time.Millisecond
	// redialDelay is the pause after a failed dial before the same address is dialled in the background again.
	redialDelay = time.Second
)

// ErrNotConnected says that no link to the address came about, so nothing was sent.
var ErrNotConnected = errors.New("no link to the sidecar")

// Dialer opens a connection to a sidecar's inner listener.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Handler is told what heartbeats bring. It is called from the goroutines of all links.
type Handler interface {
	// Report takes a sidecar's load report, which may be nil, with the hello of its link.
	Report(peer *toucanwire.Hello, load *toucanwire.LoadReport)
	// Uses returns what the heartbeats to an address tell of workspaces.
	Uses(address string) []*toucanwire.EntryUse
	// TakeUses takes what other entries told of workspaces.
	TakeUses(uses []*toucanwire.EntryUse)
}

// Config says how links are made and who hears of them.
type Config struct {
	Dial  Dialer
	Hello *toucanwire.Hello
	// Spread holds the settings that heartbeats carry.
	Spread  *toucanspread.Holder
	Handler Handler
	// Interval returns the time between heartbeats on each of so many links; nil means
	// toucanmember.HeartbeatInterval.
	Interval func(links int) time.Duration
	Log      *slog.Logger
}

// Peer is a live link to one sidecar.
type Peer struct {
	*toucanwire.Link
	// heard is what the sidecar last told; nil before its first heartbeat.
	heard atomic.Pointer[Heard]
	// idleSince is when the link was first seen unwanted and without requests; zero while it is not.
	idleSince time.Time
}

// Pool keeps one link to each sidecar that the entry works with. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	flight singleflight.Group

	mu sync.Mutex
	// peers holds links by address; a link that has ended is removed.
	peers map[string]*Peer
	// wanted are the addresses that links are kept to even without requests.
	wanted map[string]bool
	// retryAt is when a wanted address that failed is dialled again.
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

// Get returns the link to an address and dials if there is none. Its errors wrap ErrNotConnected.
func (p *Pool) Get(ctx context.Context, address string) (*Peer, error) {
	if peer := p.present(address); peer != nil {
		return peer, nil
	}
	result := p.flight.DoChan(address, func() (any, error) { return p.connect(address) })
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

func (p *Pool) present(address string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address]
}

func (p *Pool) connect(address string) (*Peer, error) {
	if peer := p.present(address); peer != nil {
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
	go p.keep(address, peer)
	return nil
}

// keep exchanges heartbeats until the link ends or stalls.
func (p *Pool) keep(address string, peer *Peer) {
	err := p.heartbeats(address, peer)
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

// count returns how many links there are.
func (p *Pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Want replaces the addresses that links are kept to.
func (p *Pool) Want(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = addresses
}

// idleLinkTimeout is how long a link that is not wanted and carries no request is kept.
const idleLinkTimeout = time.Minute

// controlStreams is how many streams a link without requests has.
const controlStreams = 1

// idle returns the links that have been unwanted and without requests for long enough.
func (p *Pool) idle(now time.Time) []*Peer {
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

// Ensure starts dialling every wanted address without a link, and closes links that have become idle.
func (p *Pool) Ensure(ctx context.Context) {
	for _, peer := range p.idle(time.Now()) {
		peer.Close()
	}
	for _, address := range p.missing(time.Now()) {
		go func() {
			if _, err := p.Get(ctx, address); err != nil {
				p.cfg.Log.Debug("dial failed", "address", address, "error", err.Error())
			}
		}()
	}
}

func (p *Pool) missing(now time.Time) []string {
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

// CloseAll closes every link and makes no new ones.
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
