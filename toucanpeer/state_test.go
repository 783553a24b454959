package toucanpeer

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanmoveorder"
	"toucanport/toucanpace"
	"toucanport/toucanplace"
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
	toucanbubble.Test(t, func(t *testing.T) {
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
