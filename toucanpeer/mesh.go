package toucanpeer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"toucanport/toucanlog"
	"toucanport/toucanmember"
)

const (
	// maxDatagram is the longest report that is taken in.
	maxDatagram = 60 << 10
	// reportInterval is the time between two reports while nothing changes.
	reportInterval = 250 * time.Millisecond
	// reportGap is the shortest time between two reports, for each peer that they are sent to.
	reportGap = time.Millisecond
)

// Mesh sends this entry's reports to its peers and takes in theirs.
type Mesh struct {
	name  string
	boot  uint64
	board *Board
	conn  *net.UDPConn
	// lending serves what this entry has read to its peers.
	lending net.Listener
	log     *slog.Logger
	// serial grows with each report.
	serial uint64

	mu    sync.Mutex
	peers map[string]netip.AddrPort
	// unlisted holds when peers that are still heard were last listed.
	unlisted map[string]time.Time
}

// Listen returns a mesh of the entry name that listens at address, for reports by UDP and for snapshots by TCP.
func Listen(name, address string, board *Board, log *slog.Logger) (*Mesh, error) {
	conn, lending, err := listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return &Mesh{
		name:     name,
		boot:     uint64(time.Now().UnixNano()),
		board:    board,
		conn:     conn,
		lending:  lending,
		log:      log,
		peers:    make(map[string]netip.AddrPort),
		unlisted: make(map[string]time.Time),
	}, nil
}

// anyPortTries is how many ports are tried for one that both protocols have free, when any will do.
const anyPortTries = 10

// listen opens the same port for both protocols.
func listen(address string) (*net.UDPConn, net.Listener, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, err
	}
	for try := 1; ; try++ {
		conn, err := net.ListenUDP("udp4", addr)
		if err != nil {
			return nil, nil, err
		}
		lending, err := net.Listen("tcp4", conn.LocalAddr().String())
		if err == nil {
			return conn, lending, nil
		}
		_ = conn.Close()
		if addr.Port != 0 || try == anyPortTries {
			return nil, nil, err
		}
	}
}

// unlistedFor is how long a peer that is no longer listed and no longer heard is kept. One that the store turns away is
// not listed, and needs its peers most.
const unlistedFor = 30 * time.Second

// SetPeers replaces the addresses of the other entries; this entry's own is passed over. Peers that are no longer listed
// are kept for a while.
func (m *Mesh) SetPeers(peers map[string]netip.AddrPort) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]netip.AddrPort, len(peers))
	for name, address := range peers {
		if name == m.name {
			continue
		}
		if held, ok := m.peers[name]; !ok || held != address {
			m.log.Info(toucanlog.MsgPeerJoined,
				toucanlog.Peer, name,
				toucanlog.Address, address.String(),
			)
		}
		next[name] = address
	}
	for name, address := range m.peers {
		if _, listed := next[name]; listed {
			delete(m.unlisted, name)
			continue
		}
		since, ok := m.unlisted[name]
		if !ok {
			since = now
			m.unlisted[name] = now
		}
		if now.Sub(since) < unlistedFor {
			next[name] = address
			continue
		}
		delete(m.unlisted, name)
		m.log.Info(toucanlog.MsgPeerLeft, toucanlog.Peer, name)
	}
	m.peers = next
}

// Peers returns the number of other entries, of all cells.
func (m *Mesh) Peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// Run sends and receives until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = m.conn.Close()
		_ = m.lending.Close()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(m.receive)
	m.send(ctx)
	wg.Wait()
}

func (m *Mesh) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer without a listener makes its refusal show up here.
			continue
		}
		r := &Report{}
		if err := proto.Unmarshal(buf[:n], r); err != nil || !m.knows(r.GetSender(), from) {
			continue
		}
		m.board.Take(time.Now(), r)
	}
}

// knows reports whether a peer is listed at the address that its datagram came from. An entry that has not heard of any
// peer, since it starts while the store is away, takes those that speak to it.
func (m *Mesh) knows(name string, from netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.peers) == 0 && name != m.name {
		m.peers[name] = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	address, ok := m.peers[name]
	return ok && address.Addr() == from.Addr().Unmap()
}

func (m *Mesh) send(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.board.book.Changed()
		peers := m.addresses()
		m.sendTo(peers)
		m.board.Expire(time.Now())
		gap := reportGap * time.Duration(max(len(peers), 1))
		timer := time.NewTimer(gap)
		select {
		case <-timer.C:
		case <-m.board.urgent:
			timer.Stop()
			continue
		case <-ctx.Done():
		}
		timer.Reset(max(reportInterval-gap, gap))
		select {
		case <-timer.C:
		case <-changed:
		case <-m.board.urgent:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// addresses returns where the peers of this entry's cell listen.
func (m *Mesh) addresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	cells := toucanmember.NewCells(len(m.peers) + 1)
	list := make([]netip.AddrPort, 0, len(m.peers))
	for name, address := range m.peers {
		if cells.Of(name) == cells.Of(m.name) {
			list = append(list, address)
		}
	}
	return list
}

func (m *Mesh) sendTo(peers []netip.AddrPort) {
	if len(peers) == 0 {
		return
	}
	m.serial++
	r := m.board.report()
	r.Sender, r.Boot, r.Serial = m.name, m.boot, m.serial
	encoded, err := proto.Marshal(r)
	if err != nil || len(encoded) > maxDatagram {
		m.log.Error(toucanlog.MsgReportNotSent,
			toucanlog.Bytes, len(encoded),
			toucanlog.Cause, errors.Wrap(err, "too long").Error(),
		)
		return
	}
	for _, address := range peers {
		if _, err := m.conn.WriteToUDPAddrPort(encoded, address); err != nil {
			// The next report makes up for a lost one; a peer that stays away is logged when it is no longer listed.
			continue
		}
	}
}
