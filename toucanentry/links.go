package toucanentry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"toucanport/toucanspread"
	"toucanport/toucanwire"
)

const (
	// dialTimeout bounds the start of one link.
	dialTimeout = 1500 * time.Millisecond
	// redialDelay is the pause after a failed dial before the same address is dialled in the background again.
	redialDelay = time.Second
)

// errNotConnected says that no link to the address came about, so nothing was sent.
var errNotConnected = errors.New("no link to the sidecar")

// peer is a live link to one sidecar.
type peer struct {
	link *toucanwire.Link
	// heard is what the sidecar last told; nil before its first heartbeat.
	heard atomic.Pointer[heard]
	// idleSince is when the link was first seen unwanted and without requests; zero while it is not.
	idleSince time.Time
}

// links keeps one link to each sidecar that the entry works with.
type links struct {
	dial   Dialer
	hello  *toucanwire.Hello
	report func(*toucanwire.LoadReport)
	log    *slog.Logger
	flight singleflight.Group
	// uses gives what heartbeats to an address tell of workspaces; takeUses gets what they bring.
	uses     func(address string) []*toucanwire.EntryUse
	takeUses func([]*toucanwire.EntryUse)
	// takeMember gets each heartbeat's report with the hello of its link.
	takeMember func(*toucanwire.Hello, *toucanwire.LoadReport)
	// spread holds the settings that heartbeats carry.
	spread *toucanspread.Holder

	mu sync.Mutex
	// peers holds links by address; a link that has ended is removed.
	peers map[string]*peer
	// wanted are the addresses that links are kept to even without requests.
	wanted map[string]bool
	// retryAt is when a wanted address that failed is dialled again.
	retryAt map[string]time.Time
	closed  bool
}

func newLinks(dial Dialer, hello *toucanwire.Hello, report func(*toucanwire.LoadReport), log *slog.Logger) *links {
	return &links{
		dial:    dial,
		hello:   hello,
		report:  report,
		log:     log,
		peers:   make(map[string]*peer),
		retryAt: make(map[string]time.Time),
	}
}

// get returns the link to an address and dials if there is none. Its errors wrap errNotConnected.
func (l *links) get(ctx context.Context, address string) (*peer, error) {
	if p := l.present(address); p != nil {
		return p, nil
	}
	result := l.flight.DoChan(address, func() (any, error) { return l.connect(address) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, errors.Wrap(errNotConnected, r.Err.Error())
		}
		return r.Val.(*peer), nil
	case <-ctx.Done():
		return nil, errors.Wrap(errNotConnected, ctx.Err().Error())
	}
}

func (l *links) present(address string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[address]
}

func (l *links) connect(address string) (*peer, error) {
	if p := l.present(address); p != nil {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	link, err := toucanwire.Dial(ctx, conn, l.hello)
	if err != nil {
		return nil, err
	}
	p := &peer{link: link}
	if err := l.add(address, p); err != nil {
		return nil, err
	}
	return p, nil
}

func (l *links) add(address string, p *peer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		p.link.Close()
		return errors.New("the entry is closing")
	}
	l.peers[address] = p
	delete(l.retryAt, address)
	go l.keep(address, p)
	return nil
}

// keep exchanges heartbeats until the link ends or stalls.
func (l *links) keep(address string, p *peer) {
	err := l.heartbeats(address, p)
	p.link.Close()
	l.mu.Lock()
	if l.peers[address] == p {
		delete(l.peers, address)
	}
	closed := l.closed
	l.mu.Unlock()
	if !closed {
		l.log.Warn("link ended", "address", address, "error", errorText(err))
	}
}

// count returns how many links there are.
func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers)
}

// want replaces the addresses that links are kept to.
func (l *links) want(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = addresses
}

// idleLinkTimeout is how long a link that is not wanted and carries no request is kept.
const idleLinkTimeout = time.Minute

// controlStreams is how many streams a link without requests has.
const controlStreams = 1

// idle returns the links that have been unwanted and without requests for long enough.
func (l *links) idle(now time.Time) []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*peer
	for address, p := range l.peers {
		switch {
		case l.wanted[address] || p.link.NumStreams() > controlStreams:
			p.idleSince = time.Time{}
		case p.idleSince.IsZero():
			p.idleSince = now
		case now.Sub(p.idleSince) >= idleLinkTimeout:
			out = append(out, p)
		}
	}
	return out
}

// ensure starts dialling every wanted address without a link, and closes links that have become idle.
func (l *links) ensure(ctx context.Context) {
	for _, p := range l.idle(time.Now()) {
		p.link.Close()
	}
	for _, address := range l.missing(time.Now()) {
		go func() {
			if _, err := l.get(ctx, address); err != nil {
				l.log.Debug("dial failed", "address", address, "error", err.Error())
			}
		}()
	}
}

func (l *links) missing(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for address := range l.wanted {
		if l.peers[address] == nil && !now.Before(l.retryAt[address]) {
			l.retryAt[address] = now.Add(redialDelay)
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (l *links) closeAll() {
	l.mu.Lock()
	l.closed = true
	peers := l.peers
	l.peers = make(map[string]*peer)
	l.mu.Unlock()
	for _, p := range peers {
		p.link.Close()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
