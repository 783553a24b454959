package toucanmesh

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucancopy"
	"toucanport/toucanlogtest"
	"toucanport/toucanpeer"
	"toucanport/toucanplace"
	"toucanport/toucanstore"
)

var start = time.Unix(1000, 0)

func newState() (*toucanpeer.SharedState, *toucanplace.Placer) {
	placer := toucanplace.NewPlacer("d1")
	placer.SetEndpoints([]toucanplace.Endpoint{{ID: "e", Service: "s", Slots: 4, MemoryTokens: 1000}})
	return toucanpeer.NewSharedState(placer), placer
}

// TestMeshExchangesReportsAndSnapshots connects two entries over loopback and checks that load and snapshots reach the
// other entry.
func TestMeshExchangesReportsAndSnapshots(t *testing.T) {
	aLog, bLog := &toucanlogtest.Log{}, &toucanlogtest.Log{}
	a, aPlacer := newState()
	b, bPlacer := newState()
	am, err := Listen("a", "127.0.0.1:0", a, aLog.Logger())
	assert.NilError(t, err)
	bm, err := Listen("b", "127.0.0.1:0", b, bLog.Logger())
	assert.NilError(t, err)
	peers := map[string]netip.AddrPort{"a": am.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort(), "b": bm.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()}
	am.SetPeers(peers)
	bm.SetPeers(peers)
	assert.Equal(t, am.Peers(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, m := range []*Mesh{am, bm} {
		go func() {
			m.Run(ctx)
			done <- struct{}{}
		}()
	}
	_, err = aPlacer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 900}, nil)
	assert.NilError(t, err)
	eventually(t, func() bool {
		_, err := bPlacer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 200}, nil)
		return err != nil
	})
	// An entry without the store fetches a snapshot from a peer.
	values := []toucanstore.Value{{Key: "op/x", Body: []byte("body"), Revision: 7}}
	go bm.ServeSnapshots(func() toucancopy.Copy { return toucancopy.Copy{Values: values, Era: 2} })
	b.SetSettings(3)
	eventually(t, func() bool {
		got, err := am.FetchSnapshot(t.Context(), nil)
		if err != nil || got.Era != 2 || len(got.Values) != 1 {
			return false
		}
		v := got.Values[0]
		return v.Key == "op/x" && string(v.Body) == "body" && v.Revision == 7
	})
	// Only a peer with newer settings is asked for them.
	eventually(t, func() bool {
		_, err := am.FetchNewestSettings(t.Context())
		return err == nil
	})
	a.SetSettings(3)
	_, err = am.FetchNewestSettings(t.Context())
	assert.ErrorIs(t, err, ErrNoSnapshotPeer)
	// Right after an outage a peer serves no snapshots: endpoints whose leases expired during it are still missing.
	b.SetStoreDown(true)
	b.SetStoreDown(false)
	eventually(t, func() bool {
		_, err := am.FetchSnapshot(t.Context(), nil)
		return errors.Is(err, ErrNoSnapshotPeer)
	})
	assert.Equal(t, strings.ReplaceAll(aLog.Next(t, 1), peers["b"].String(), "b's"), "INFO peer joined: address=b's peer=b\n")
	// A peer that is no longer registered is kept: the outage can affect only that peer.
	am.SetPeers(nil)
	assert.Equal(t, am.Peers(), 1)
	cancel()
	<-done
	<-done
}

// TestAcceptsUnknownSenderOnlyWithoutPeers checks that an entry without peers adds the first sender, and that an entry
// with peers rejects unknown senders and addresses.
func TestAcceptsUnknownSenderOnlyWithoutPeers(t *testing.T) {
	b, _ := newState()
	m, err := Listen("a", "127.0.0.1:0", b, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	from := netip.MustParseAddrPort("127.0.0.1:7000")
	assert.Assert(t, m.acceptSender("b", from))
	assert.Equal(t, m.Peers(), 1)
	assert.Assert(t, !m.acceptSender("c", from))
	assert.Assert(t, !m.acceptSender("b", netip.MustParseAddrPort("127.0.0.2:7000")))
}

// eventually polls f until it returns true, and fails the test after at least ten seconds.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for range 10000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition was not met in time")
}
