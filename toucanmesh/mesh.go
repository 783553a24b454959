// Package toucanmesh carries what entries tell each other: reports of their state, evidence, asks for slots and changes of the store by
// datagram, and copies of the store over connections. Reports are UDP datagrams and each replaces the previous one, so a lost report is
// repaired by the next. A TCP stream would delay new reports behind the retransmission of stale ones.
package toucanmesh

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"toucanport/toucanlog"
	"toucanport/toucanmember"
	"toucanport/toucanpeer"
)

const (
	// maxDatagram is the maximum size of a report, in bytes.
	maxDatagram = 60 << 10
	// reportGap, multiplied by the number of peers, is the minimum time between two reports. It does not apply to
	// reports that are requested without delay.
	reportGap = time.Millisecond
)

// Mesh sends this entry's reports to its peers, receives theirs and serves snapshots of the store.
type Mesh struct {
	name string
	// boot is when this process started, in Unix nanoseconds.
	boot  uint64
	state *toucanpeer.SharedState
	conn  *net.UDPConn
	// snapshotListener accepts connections of peers that fetch this entry's copy of the store.
	snapshotListener net.Listener
	log              *slog.Logger
	// serial is the number of the last report. Only the sending goroutine uses it.
	serial uint64
	// evidence is shared with all peers; nil for none.
	evidence EvidenceTable
	// limits are shared with the peers of the cell; nil for none.
	limits RateLimits
	// startedPeers receives the addresses of peers whose process has started, which have no evidence yet.
	startedPeers chan netip.AddrPort
	sent         sentBytes

	mu    sync.Mutex
	peers map[string]netip.AddrPort
	// unlistedSince holds when each peer in peers was first found to be unregistered.
	unlistedSince map[string]time.Time
}

// Listen returns the mesh of the entry name. It listens at address, with UDP for reports and with TCP for snapshots.
func Listen(name, address string, state *toucanpeer.SharedState, log *slog.Logger, opts ...MeshOption) (*Mesh, error) {
	conn, listener, err := listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	m := &Mesh{
		name:             name,
		boot:             uint64(time.Now().UnixNano()),
		state:            state,
		conn:             conn,
		snapshotListener: listener,
		log:              log,
		peers:            make(map[string]netip.AddrPort),
		unlistedSince:    make(map[string]time.Time),
		startedPeers:     make(chan netip.AddrPort, 1),
		sent:             newSentBytes(tally.NoopScope),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m, nil
}

// maxPortTries is how many ports are tried to find one that is free for both UDP and TCP, if the address has port 0.
const maxPortTries = 10

// listen opens the same port for UDP and TCP.
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
		listener, err := net.Listen("tcp4", conn.LocalAddr().String())
		if err == nil {
			return conn, listener, nil
		}
		_ = conn.Close()
		if addr.Port != 0 || try == maxPortTries {
			return nil, nil, err
		}
	}
}

// unlistedGrace is how long a peer is kept after its registration disappeared. A peer that cannot reach the store loses
// its registration, and depends on the other entries most.
const unlistedGrace = 30 * time.Second

// SetPeers replaces the addresses of the registered entries, ignoring this entry's own. Peers that are no longer
// registered are kept for unlistedGrace.
func (m *Mesh) SetPeers(peers map[string]netip.AddrPort) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]netip.AddrPort, len(peers))
	for name, address := range peers {
		if name == m.name {
			continue
		}
		if known, ok := m.peers[name]; !ok || known != address {
			m.log.Info(toucanlog.MsgPeerJoined,
				toucanlog.Peer, name,
				toucanlog.Address, address.String(),
			)
		}
		next[name] = address
	}
	for name, address := range m.peers {
		if _, listed := next[name]; listed {
			delete(m.unlistedSince, name)
			continue
		}
		since, ok := m.unlistedSince[name]
		if !ok {
			since = now
			m.unlistedSince[name] = now
		}
		if now.Sub(since) < unlistedGrace {
			next[name] = address
			continue
		}
		delete(m.unlistedSince, name)
		m.log.Info(toucanlog.MsgPeerLeft, toucanlog.Peer, name)
	}
	m.peers = next
}

// Peers returns the number of other entries, in all cells.
func (m *Mesh) Peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// Run sends and receives reports until ctx is done.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = m.conn.Close()
		_ = m.snapshotListener.Close()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(m.receive)
	if m.evidence != nil {
		wg.Go(func() { m.shareEvidence(ctx) })
	}
	m.send(ctx)
	wg.Wait()
}

func (m *Mesh) receive() {
	buf := make([]byte, maxDatagram)
	boots := make(map[string]uint64)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram refused by a peer without a listener can surface here as an error.
			continue
		}
		r := &toucanpeer.Report{}
		if err := proto.Unmarshal(buf[:n], r); err != nil || !m.acceptSender(r.GetSender(), from) {
			continue
		}
		if boots[r.GetSender()] != r.GetBoot() {
			boots[r.GetSender()] = r.GetBoot()
			m.reportStarted(from)
		}
		m.apply(time.Now(), r)
	}
}

// reportStarted makes shareEvidence send all evidence to a peer that has started. If several start at the same time,
// some get it later.
func (m *Mesh) reportStarted(from netip.AddrPort) {
	select {
	case m.startedPeers <- netip.AddrPortFrom(from.Addr().Unmap(), from.Port()):
	default:
	}
}

// apply applies a report of a peer, or the evidence, the ask or the grant in it.
func (m *Mesh) apply(now time.Time, r *toucanpeer.Report) {
	if r.GetSerial() > 0 {
		if m.state.Apply(now, r) && m.limits != nil {
			m.limits.Apply(now, decodeWords(now, r.GetLimits()))
		}
		return
	}
	if m.applySlotMessage(now, r) {
		return
	}
	if r.GetChanges() != nil {
		m.state.DeliverChanges(decodeBatch(r.GetChanges()))
		return
	}
	if m.evidence != nil {
		m.evidence.Apply(now, decodeEvidence(now, r))
	}
}

// acceptSender reports whether the peer name is registered at the IP address that its datagram came from. An entry that
// starts during a store outage has no peers; it then adds the first sender as a peer.
func (m *Mesh) acceptSender(name string, from netip.AddrPort) bool {
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
		changed := m.state.LoadChanged()
		peers := m.cellAddresses()
		m.sendTo(peers)
		m.state.Expire(time.Now())
		gap := reportGap * time.Duration(max(len(peers), 1))
		timer := time.NewTimer(gap)
		select {
		case <-timer.C:
		case <-m.state.Urgent():
			timer.Stop()
			continue
		case <-ctx.Done():
		}
		timer.Reset(max(toucanpeer.ReportInterval-gap, gap))
		select {
		case <-timer.C:
		case <-changed:
		case <-m.state.Urgent():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// cellAddresses returns the addresses of the peers in this entry's cell.
func (m *Mesh) cellAddresses() []netip.AddrPort {
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
	r := m.state.Report()
	if m.limits != nil {
		now := time.Now()
		r.Limits = encodeWords(now, m.limits.Words(now))
	}
	r.Sender, r.Boot, r.Serial = m.name, m.boot, m.serial
	m.sendReport(peers, r)
}

// errReportTooLong means that a report does not fit into a datagram.
var errReportTooLong = errors.New("report does not fit into a datagram")

// sendReport sends a report to peers, or logs why it can't be sent.
func (m *Mesh) sendReport(peers []netip.AddrPort, r *toucanpeer.Report) {
	encoded, err := proto.Marshal(r)
	if err == nil && len(encoded) > maxDatagram {
		err = errReportTooLong
	}
	if err != nil {
		m.log.Error(toucanlog.MsgReportNotSent,
			toucanlog.Bytes, len(encoded),
			toucanlog.Cause, err.Error(),
		)
		return
	}
	m.sent[kindOf(r)].Inc(int64(len(encoded) * len(peers)))
	for _, address := range peers {
		if _, err := m.conn.WriteToUDPAddrPort(encoded, address); err != nil {
			// The next report replaces a lost one. A peer that is gone is logged when its registration expires.
			continue
		}
	}
}
