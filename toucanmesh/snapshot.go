package toucanmesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucancopy"
	"toucanport/toucanstore"
)

// ErrNoSnapshotPeer is returned if no peer with a valid report has a complete copy of the store.
var ErrNoSnapshotPeer = errors.New("no peer has a complete copy of the store")

// ServeSnapshots serves the copy that read returns to peers, until the mesh is closed.
func (m *Mesh) ServeSnapshots(read func() toucancopy.Copy) {
	toucancopy.Serve(m.snapshotListener, m.log, read)
}

// FetchSnapshot fetches a copy of the store from a random peer that has a complete copy of it. Large ones of the held values
// are not transferred if the peer has the same. The error is ErrNoSnapshotPeer if there is no such peer.
func (m *Mesh) FetchSnapshot(ctx context.Context, held []toucanstore.Value) (toucancopy.Copy, error) {
	return m.fetchFrom(ctx, m.state.SnapshotPeers(time.Now()), held)
}

// FetchNewestSettings fetches the copy of a random peer that has newer settings than this entry. The error is
// ErrNoSnapshotPeer if there is none.
func (m *Mesh) FetchNewestSettings(ctx context.Context) (toucancopy.Copy, error) {
	return m.fetchFrom(ctx, m.state.NewerSettingsPeers(time.Now()), nil)
}

// fetchFrom fetches the copy of a random one of the peers. It ends when the peer is silent.
func (m *Mesh) fetchFrom(ctx context.Context, peers []string, held []toucanstore.Value) (toucancopy.Copy, error) {
	if len(peers) == 0 {
		return toucancopy.Copy{}, ErrNoSnapshotPeer
	}
	name := peers[rand.IntN(len(peers))]
	m.mu.Lock()
	address, ok := m.peers[name]
	m.mu.Unlock()
	if !ok {
		return toucancopy.Copy{}, errors.Wrap(ErrNoSnapshotPeer, name)
	}
	c, err := toucancopy.Fetch(ctx, address.String(), held)
	return c, errors.Wrapf(err, "fetch snapshot from %s", name)
}
