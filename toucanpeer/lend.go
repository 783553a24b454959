package toucanpeer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"toucanport/toucanlog"
	"toucanport/toucanstore"
)

const (
	// lendTimeout bounds the sending of a snapshot.
	lendTimeout = time.Second
	// maxSnapshot bounds a snapshot that is taken, in bytes.
	maxSnapshot = 64 << 20
)

// ErrNoLender says that no peer that sees the store is heard.
var ErrNoLender = errors.New("no peer sees the store")

// Lend answers peers with what read returns, until the mesh is closed. A snapshot is one message on a connection of its
// own: there is nothing to multiplex.
func (m *Mesh) Lend(read func() []toucanstore.Value) {
	for {
		conn, err := m.lending.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
			continue
		}
		go m.lend(conn, read())
	}
}

func (m *Mesh) lend(conn net.Conn, values []toucanstore.Value) {
	defer func() { _ = conn.Close() }()
	s := &Snapshot{Items: make([]*Item, len(values))}
	for i, v := range values {
		s.Items[i] = &Item{Key: v.Key, Body: v.Body, Revision: v.Revision}
	}
	if err := conn.SetWriteDeadline(time.Now().Add(lendTimeout)); err != nil {
		m.log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
		return
	}
	w := bufio.NewWriter(conn)
	_, err := protodelim.MarshalTo(w, s)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		m.log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
	}
}

// Borrow returns what a peer that sees the store has read. The error is ErrNoLender when there is none.
func (m *Mesh) Borrow(ctx context.Context) ([]toucanstore.Value, error) {
	lenders := m.board.Lenders(time.Now())
	if len(lenders) == 0 {
		return nil, ErrNoLender
	}
	name := lenders[rand.IntN(len(lenders))]
	m.mu.Lock()
	address, ok := m.peers[name]
	m.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(ErrNoLender, name)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "borrow from %s", name)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s := &Snapshot{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxSnapshot}).UnmarshalFrom(bufio.NewReader(conn), s); err != nil {
		return nil, errors.Wrapf(err, "borrow from %s", name)
	}
	values := make([]toucanstore.Value, len(s.GetItems()))
	for i, it := range s.GetItems() {
		values[i] = toucanstore.Value{Key: it.GetKey(), Body: it.GetBody(), Revision: it.GetRevision()}
	}
	return values, nil
}
