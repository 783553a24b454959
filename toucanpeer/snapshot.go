package toucanpeer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"toucanport/toucanlog"
	"toucanport/toucanmirror"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

const (
	// snapshotStallTimeout limits the time until a snapshot begins to arrive, and the time between two of its parts, at both
	// ends.
	snapshotStallTimeout = 500 * time.Millisecond
	// maxSnapshotTime limits the time of a whole snapshot, whatever its size.
	maxSnapshotTime = 20 * time.Second
	// snapshotRequestTimeout limits the time until a peer has said what it has. A peer that says nothing is sent everything.
	snapshotRequestTimeout = 200 * time.Millisecond
	// snapshotPart is the number of bytes that are sent at a time.
	snapshotPart = 16 << 10
	// maxSnapshotBytes is the maximum size of a received snapshot.
	maxSnapshotBytes = 64 << 20
)

// ErrNoSnapshotPeer is returned if no peer with a valid report has a complete copy of the store.
var ErrNoSnapshotPeer = errors.New("no peer has a complete copy of the store")

// errNotHeld is returned if a peer left out a body that this entry does not have.
var errNotHeld = errors.New("peer left out a value that is not held")

// StoreCopy is an entry's copy of the store. Its values must not be modified.
type StoreCopy struct {
	Values []toucanstore.Value
	// Era counts how often the store had come back from an older copy when the values were read. Revisions of different
	// eras are not comparable.
	Era uint64
}

// ServeSnapshots serves the copy that read returns to peers, until the mesh is closed. Each connection carries one request and
// one snapshot, so no multiplexing is needed.
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
		go m.answerSnapshot(conn, read())
	}
}

// answerSnapshot reads what a peer has and sends it the rest of a copy.
func (m *Mesh) answerSnapshot(conn net.Conn, c StoreCopy) {
	defer func() { _ = conn.Close() }()
	request, err := readSnapshotRequest(conn)
	if err != nil {
		m.log.Info(toucanlog.MsgWholeCopySent, toucanlog.Cause, err.Error())
	}
	if err := sendSnapshot(conn, c.message(request)); err != nil {
		m.log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
	}
}

// readSnapshotRequest reads the request of a peer. It returns an empty one with the error.
func readSnapshotRequest(conn net.Conn) (*SnapshotRequest, error) {
	if err := conn.SetReadDeadline(time.Now().Add(snapshotRequestTimeout)); err != nil {
		return &SnapshotRequest{}, err
	}
	request := &SnapshotRequest{}
	if err := protodelim.UnmarshalFrom(bufio.NewReader(conn), request); err != nil {
		return &SnapshotRequest{}, err
	}
	return request, nil
}

func sendSnapshot(conn net.Conn, s *Snapshot) error {
	_, err := protodelim.MarshalTo(&partWriter{conn: conn, until: time.Now().Add(maxSnapshotTime)}, s)
	return err
}

// message returns the copy without the bodies that a request names.
func (c StoreCopy) message(request *SnapshotRequest) *Snapshot {
	held := make(map[string][]byte, len(request.GetHeld()))
	for _, d := range request.GetHeld() {
		held[d.GetKey()] = d.GetSha256()
	}
	s := &Snapshot{Items: make([]*Item, len(c.Values)), Era: c.Era}
	for i, v := range c.Values {
		s.Items[i] = &Item{Key: v.Key, Revision: v.Revision}
		if digest, ok := held[v.Key]; ok && bytes.Equal(digest, sum(v.Body)) {
			s.Items[i].Unchanged = true
			continue
		}
		s.Items[i].Body = v.Body
	}
	return s
}

// copyOf returns the copy in a message, with the bodies that it leaves out taken from the held values.
func copyOf(s *Snapshot, held []toucanstore.Value) (StoreCopy, error) {
	c := StoreCopy{Values: make([]toucanstore.Value, len(s.GetItems())), Era: s.GetEra()}
	for i, it := range s.GetItems() {
		c.Values[i] = toucanstore.Value{Key: it.GetKey(), Body: it.GetBody(), Revision: it.GetRevision()}
		if !it.GetUnchanged() {
			continue
		}
		at := slices.IndexFunc(held, func(v toucanstore.Value) bool { return v.Key == it.GetKey() })
		if at < 0 {
			return StoreCopy{}, errors.Wrap(errNotHeld, it.GetKey())
		}
		c.Values[i].Body = held[at].Body
	}
	return c, nil
}

// requestFor returns the request of an entry that holds values.
func requestFor(held []toucanstore.Value) *SnapshotRequest {
	request := &SnapshotRequest{}
	for _, v := range held {
		if len(v.Body) >= toucanmirror.LargeBody {
			request.Held = append(request.Held, &Digest{Key: v.Key, Sha256: sum(v.Body)})
		}
	}
	return request
}

func sum(body []byte) []byte {
	digest := sha256.Sum256(body)
	return digest[:]
}

// FetchSnapshot fetches a copy of the store from a random peer that has a complete copy of it. Large ones of the held values
// are not transferred if the peer has the same. The error is ErrNoSnapshotPeer if there is no such peer.
func (m *Mesh) FetchSnapshot(ctx context.Context, held []toucanstore.Value) (StoreCopy, error) {
	return m.fetchFrom(ctx, m.state.SnapshotPeers(time.Now()), held)
}

// FetchNewestSettings fetches the copy of a random peer that has newer settings than this entry. The error is
// ErrNoSnapshotPeer if there is none.
func (m *Mesh) FetchNewestSettings(ctx context.Context) (StoreCopy, error) {
	return m.fetchFrom(ctx, m.state.NewerSettingsPeers(time.Now()), nil)
}

// fetchFrom fetches the copy of a random one of the peers. It ends when the peer is silent.
func (m *Mesh) fetchFrom(ctx context.Context, peers []string, held []toucanstore.Value) (StoreCopy, error) {
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
	received := toucanwait.NewReader(conn, progress)
	c, err := receiveSnapshot(conn, received, held)
	return c, errors.Wrapf(err, "fetch snapshot from %s: %d bytes received", name, received.Bytes())
}

// sendRequest sends a request in one packet.
func sendRequest(w io.Writer, request *SnapshotRequest) error {
	buf := bufio.NewWriter(w)
	if _, err := protodelim.MarshalTo(buf, request); err != nil {
		return err
	}
	return buf.Flush()
}

// receiveSnapshot sends a request and reads the copy that answers it.
func receiveSnapshot(w io.Writer, r io.Reader, held []toucanstore.Value) (StoreCopy, error) {
	if err := sendRequest(w, requestFor(held)); err != nil {
		return StoreCopy{}, err
	}
	s := &Snapshot{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxSnapshotBytes}).UnmarshalFrom(bufio.NewReader(r), s); err != nil {
		return StoreCopy{}, err
	}
	return copyOf(s, held)
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
