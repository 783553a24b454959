package toucanpeer

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"toucanport/toucanlog"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

const (
	// snapshotStallTimeout limits the time until a snapshot begins to arrive, and the time between two of its parts, at both
	// ends.
	snapshotStallTimeout = 500 * time.Millisecond
	// maxSnapshotTime limits the time of a whole snapshot, whatever its size.
	maxSnapshotTime = 20 * time.Second
	// snapshotPart is the number of bytes that are sent at a time.
	snapshotPart = 16 << 10
	// maxSnapshotBytes is the maximum size of a received snapshot.
	maxSnapshotBytes = 64 << 20
)

// ErrNoSnapshotPeer is returned if no peer with a valid report has a complete copy of the store.
var ErrNoSnapshotPeer = errors.New("no peer has a complete copy of the store")

// StoreCopy is an entry's copy of the store. Its values must not be modified.
type StoreCopy struct {
	Values []toucanstore.Value
	// Era counts how often the store had come back from an older copy when the values were read. Revisions of different
	// eras are not comparable.
	Era uint64
}

// ServeSnapshots serves the copy that read returns to peers, until the mesh is closed. Each connection carries one
// snapshot as a single message, so no multiplexing is needed.
func (m *Mesh) ServeSnapshots(read func() StoreCopy) {
	for {
		conn, err := m.snapshotListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
			continue
		}
		go m.sendSnapshot(conn, read())
	}
}

func (m *Mesh) sendSnapshot(conn net.Conn, c StoreCopy) {
	defer func() { _ = conn.Close() }()
	s := &Snapshot{Items: make([]*Item, len(c.Values)), Era: c.Era}
	for i, v := range c.Values {
		s.Items[i] = &Item{Key: v.Key, Body: v.Body, Revision: v.Revision}
	}
	if _, err := protodelim.MarshalTo(&partWriter{conn: conn, until: time.Now().Add(maxSnapshotTime)}, s); err != nil {
		m.log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
	}
}

// FetchSnapshot fetches a copy of the store from a random peer that has a complete copy of it. The error is
// ErrNoSnapshotPeer if there is no such peer.
func (m *Mesh) FetchSnapshot(ctx context.Context) (StoreCopy, error) {
	return m.fetchFrom(ctx, m.state.SnapshotPeers(time.Now()))
}

// FetchNewestSettings fetches the copy of a random peer that has newer settings than this entry. The error is
// ErrNoSnapshotPeer if there is none.
func (m *Mesh) FetchNewestSettings(ctx context.Context) (StoreCopy, error) {
	return m.fetchFrom(ctx, m.state.NewerSettingsPeers(time.Now()))
}

// fetchFrom fetches the copy of a random one of the peers. It ends when the peer is silent.
func (m *Mesh) fetchFrom(ctx context.Context, peers []string) (StoreCopy, error) {
	if len(peers) == 0 {
		return StoreCopy{}, ErrNoSnapshotPeer
	}
	name := peers[rand.IntN(len(peers))]
	m.mu.Lock()
	address, ok := m.peers[name]
	m.mu.Unlock()
	if !ok {
		return StoreCopy{}, errors.Wrap(ErrNoSnapshotPeer, name)
	}
	limits := toucanwait.TransferLimits{Begin: snapshotStallTimeout, Stall: snapshotStallTimeout, Total: maxSnapshotTime}
	ctx, progress, cancel := toucanwait.WithProgress(ctx, limits)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return StoreCopy{}, errors.Wrapf(err, "fetch snapshot from %s", name)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s := &Snapshot{}
	received := &progressReader{r: conn, progress: progress}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxSnapshotBytes}).UnmarshalFrom(bufio.NewReader(received), s); err != nil {
		return StoreCopy{}, errors.Wrapf(err, "fetch snapshot from %s: %d bytes received", name, received.n)
	}
	values := make([]toucanstore.Value, len(s.GetItems()))
	for i, it := range s.GetItems() {
		values[i] = toucanstore.Value{Key: it.GetKey(), Body: it.GetBody(), Revision: it.GetRevision()}
	}
	return StoreCopy{Values: values, Era: s.GetEra()}, nil
}

// progressReader reads from r, counts the bytes and calls progress at each part.
type progressReader struct {
	r        io.Reader
	n        int
	progress func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.n += n
		p.progress()
	}
	return n, err
}

// partWriter writes to conn in parts, each within snapshotStallTimeout.
type partWriter struct {
	conn net.Conn
	// until is when the last part must have been written.
	until time.Time
}

// Write implements io.Writer.
func (p *partWriter) Write(b []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(b, snapshotPart) {
		if err := p.conn.SetWriteDeadline(p.nextDeadline()); err != nil {
			return written, err
		}
		n, err := p.conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (p *partWriter) nextDeadline() time.Time {
	stall := time.Now().Add(snapshotStallTimeout)
	if p.until.Before(stall) {
		return p.until
	}
	return stall
}
