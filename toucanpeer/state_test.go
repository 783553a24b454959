package toucanpeer

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucancopy"
	"toucanport/toucanlogtest"
	"toucanport/toucanmoveorder"
	"toucanport/toucanpace"
	"toucanport/toucanplace"
	"toucanport/toucanstore"
)

var (
	endpoint = toucanplace.Endpoint{ID: "e", Service: "s", Slots: 4, MemoryTokens: 1000}
	start    = time.Unix(1000, 0)
)

func newState() (*SharedState, *toucanplace.Placer) {
	placer := toucanplace.NewPlacer("d1")
	placer.SetEndpoints([]toucanplace.Endpoint{endpoint})
	return NewSharedState(placer), placer
}

func testReport(boot, serial uint64) *Report { return &Report{Sender: "p", Boot: boot, Serial: serial} }

// TestIgnoresOutdatedReports checks that a report is ignored if a later one, or one of a later process, was applied
// before.
func TestIgnoresOutdatedReports(t *testing.T) {
	b, _ := newState()
	assert.Assert(t, b.Apply(start, testReport(5, 2)))
	assert.Assert(t, !b.Apply(start, testReport(5, 2)))
	assert.Assert(t, !b.Apply(start, testReport(5, 1)))
	assert.Assert(t, !b.Apply(start, testReport(4, 9)))
	assert.Assert(t, b.Apply(start, testReport(6, 1)))
}

// TestPeerReportsLeavingEndpoint checks that an endpoint counts as draining until the peer stops reporting it or the
// peer's report expires.
func TestPeerReportsLeavingEndpoint(t *testing.T) {
	b, placer := newState()
	r := testReport(1, 1)
	r.Leaving = []uint64{endpoint.Key()}
	b.Apply(start, r)
	assert.Assert(t, !placer.IsAvailable("e"))
	b.Apply(start, testReport(1, 2))
	assert.Assert(t, placer.IsAvailable("e"))
	r = testReport(1, 3)
	r.Leaving = []uint64{endpoint.Key()}
	b.Apply(start, r)
	b.Expire(start.Add(reportTimeout))
	assert.Assert(t, !placer.IsAvailable("e"))
	b.Expire(start.Add(reportTimeout + time.Millisecond))
	assert.Assert(t, placer.IsAvailable("e"))
}

// TestAheadComparesGenerationsOfPeers checks which of two entries moves its generation first.
func TestAheadComparesGenerationsOfPeers(t *testing.T) {
	b, _ := newState()
	r := testReport(1, 1)
	r.Runs = []*Run{{Id: 7, Endpoint: endpoint.Key(), Tokens: 100, LeftMillis: 60000}}
	b.Apply(start, r)
	smaller := toucanmoveorder.Generation{ID: 1, Tokens: 50, Remaining: time.Minute}
	larger := toucanmoveorder.Generation{ID: 1, Tokens: 200, Remaining: time.Minute}
	assert.Assert(t, !b.Ahead(start, endpoint.Key(), smaller))
	assert.Assert(t, b.Ahead(start, endpoint.Key(), larger))
	assert.Assert(t, !b.Ahead(start, endpoint.Key()+1, larger))
	assert.Assert(t, !b.Ahead(start.Add(reportTimeout+1), endpoint.Key(), larger))
}

// TestProgressTriggersNoReport checks that a changed set of generations is reported at once and that progress of the
// same generations is not. Otherwise entries that react to each other's reports of progress would send reports without
// end.
func TestProgressTriggersNoReport(t *testing.T) {
	b, _ := newState()
	generation := toucanmoveorder.Generation{ID: 1, Tokens: 10, Remaining: time.Second}
	b.Announce(endpoint.Key(), []toucanmoveorder.Generation{generation})
	assert.Equal(t, len(b.sendNow), 1)
	<-b.sendNow
	generation.Tokens, generation.Remaining = 20, time.Millisecond
	b.Announce(endpoint.Key(), []toucanmoveorder.Generation{generation})
	assert.Equal(t, len(b.sendNow), 0)
	b.Announce(endpoint.Key(), nil)
	assert.Equal(t, len(b.sendNow), 1)
}

// TestAvoidsEndpointUnreachableForPeer checks that an entry prefers other endpoints to one that a peer could not reach.
func TestAvoidsEndpointUnreachableForPeer(t *testing.T) {
	a, aPlacer := newState()
	b, bPlacer := newState()
	list := []toucanplace.Endpoint{endpoint, {ID: "f", Service: "s", Slots: 4, MemoryTokens: 1000}}
	aPlacer.SetEndpoints(list)
	bPlacer.SetEndpoints(list)
	now := time.Now()
	reservation, err := aPlacer.Place(now, "s", toucanplace.Demand{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, reservation.Endpoint.ID, "e")
	reservation.Done(now, toucanplace.OutcomeUnreachable)
	r := a.Report()
	r.Sender, r.Boot, r.Serial = "a", 1, 1
	b.Apply(now, r)
	reservation, err = bPlacer.Place(now, "s", toucanplace.Demand{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, reservation.Endpoint.ID, "f")
	assert.Equal(t, len(bPlacer.Unreachable(now)), 0)
}

// TestCopyingIncludesPeers checks that Copying covers the copies of this entry and those of its peers.
func TestCopyingIncludesPeers(t *testing.T) {
	b, _ := newState()
	end := b.BeginCopy(1)
	assert.Assert(t, b.Copying(start, 1))
	end()
	assert.Assert(t, !b.Copying(start, 1))
	r := testReport(1, 1)
	r.CopyingTo = []uint64{1}
	b.Apply(start, r)
	assert.Assert(t, b.Copying(start, 1))
}

// TestStoreSilentUsesLatestAnswer checks that the store counts as silent once its last answer to this entry and to all
// peers is older than StoreSilentAfter.
func TestStoreSilentUsesLatestAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newState()
		assert.Assert(t, b.StoreSilent(time.Now()))
		b.RecordStoreAnswer()
		time.Sleep(StoreSilentAfter)
		assert.Assert(t, !b.StoreSilent(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, b.StoreSilent(time.Now()))
		// The store answered the peer 100 ms before the peer's report.
		r := testReport(1, 1)
		r.StoreSilentMillis = 100
		b.Apply(time.Now(), r)
		time.Sleep(StoreSilentAfter - 100*time.Millisecond)
		assert.Assert(t, !b.StoreSilent(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, b.StoreSilent(time.Now()))
		// A peer without any answer from the store does not change the result.
		b.Apply(time.Now(), testReport(1, 2))
		assert.Assert(t, b.StoreSilent(time.Now()))
	})
}

// TestStoppingPeerIsNotActive checks that a peer that is shutting down is not among the active peers, while its
// reported load still counts.
func TestStoppingPeerIsNotActive(t *testing.T) {
	b, placer := newState()
	b.Apply(start, testReport(1, 1))
	assert.Equal(t, len(b.ActivePeers(start)), 1)
	r := testReport(1, 2)
	r.Stopping = true
	r.Uses = []*EndpointUse{{Endpoint: endpoint.Key(), Requests: uint32(endpoint.Slots)}}
	b.Apply(start, r)
	assert.Equal(t, len(b.ActivePeers(start)), 0)
	_, err := placer.Place(start, "s", toucanplace.Demand{Prompt: 1}, nil)
	assert.Assert(t, errors.Is(err, toucanplace.ErrFull))
	b.SetStopping()
	assert.Assert(t, b.Report().GetStopping())
}

// TestStoreUnreachableOnlyIfNoEntryReachesStore checks that StoreUnreachable holds only if neither the entry nor any of
// its peers can reach the store.
func TestStoreUnreachableOnlyIfNoEntryReachesStore(t *testing.T) {
	b, _ := newState()
	assert.Assert(t, !b.StoreUnreachable(start))
	b.SetStoreDown(true)
	assert.Assert(t, b.StoreUnreachable(start))
	b.Apply(start, testReport(1, 1))
	assert.Assert(t, !b.StoreUnreachable(start))
	r := testReport(1, 2)
	r.StoreAway = true
	b.Apply(start, r)
	assert.Assert(t, b.StoreUnreachable(start))
}

// TestNewerSettingsReportedOncePerVersion checks that a newer settings version of a peer calls the function once.
func TestNewerSettingsReportedOncePerVersion(t *testing.T) {
	b, _ := newState()
	calls := 0
	b.OnNewerSettings(func(peer string, version uint64) {
		assert.Equal(t, peer, "p")
		assert.Equal(t, version, uint64(6))
		calls++
	})
	b.SetSettings(5)
	for serial, version := range []uint64{4, 5, 6, 6} {
		r := testReport(1, uint64(serial+1))
		r.SettingsVersion = version
		b.Apply(start, r)
	}
	assert.Equal(t, calls, 1)
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

// TestReadPeersSkipsInvalidAddresses checks that only keys of entries with a valid address are returned.
func TestReadPeersSkipsInvalidAddresses(t *testing.T) {
	values := map[string]toucanstore.Value{
		keyPrefix + "a": {Body: []byte("10.0.0.1:7000")},
		keyPrefix + "b": {Body: []byte("nonsense")},
		"other/c":       {Body: []byte("10.0.0.1:7000")},
	}
	assert.Equal(t, len(ReadPeers(values)), 1)
	assert.Equal(t, ReadPeers(values)["a"], netip.MustParseAddrPort("10.0.0.1:7000"))
}

// TestPacesAreSharedAtIntervals checks that a peer learns what an entry has learned, that not each report has it, and that a report is
// bounded.
func TestPacesAreSharedAtIntervals(t *testing.T) {
	own, peers := toucanpace.New(), toucanpace.New()
	a := NewSharedState(toucanplace.NewPlacer("d"), WithPaces(own))
	b := NewSharedState(toucanplace.NewPlacer("d"), WithPaces(peers))
	now := time.Now()
	for key := range uint64(40) {
		for ms := -5000; ms < 0; ms += 50 {
			own.Observe(now.Add(time.Duration(ms)*time.Millisecond), key, 50*time.Millisecond, 1, true)
		}
	}
	r := a.Report()
	assert.Equal(t, len(r.GetPaces().GetEndpoints()), maxPaces)
	r.Sender, r.Serial = "a", 1
	assert.Assert(t, b.Apply(now, r))
	known := 0
	for key := range uint64(40) {
		if f, ok := peers.Forecast(now, key); ok {
			known++
			assert.Assert(t, f.Pause >= 49*time.Millisecond)
		}
	}
	assert.Equal(t, known, maxPaces)
	assert.Assert(t, a.Report().GetPaces() == nil)
}

// TestCopyingByPeerLeavesOutOwnCopies checks which copies an entry gives way to.
func TestCopyingByPeerLeavesOutOwnCopies(t *testing.T) {
	b, _ := newState()
	end := b.BeginCopy(endpoint.Key())
	defer end()
	assert.Assert(t, b.Copying(start, endpoint.Key()))
	assert.Assert(t, !b.CopyingByPeer(start, endpoint.Key()))
	r := testReport(1, 1)
	r.CopyingTo = []uint64{endpoint.Key()}
	b.Apply(start, r)
	assert.Assert(t, b.CopyingByPeer(start, endpoint.Key()))
	assert.Assert(t, !b.CopyingByPeer(start.Add(reportTimeout+1), endpoint.Key()))
}
