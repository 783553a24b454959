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

	"toucanport/toucanlogtest"
	"toucanport/toucanmove"
	"toucanport/toucanplace"
	"toucanport/toucanstore"
)

var (
	endpoint = toucanplace.Endpoint{ID: "e", Service: "s", Slots: 4, MemoryTokens: 1000}
	start    = time.Unix(1000, 0)
)

func newBoard() (*Board, *toucanplace.Book) {
	book := toucanplace.NewBook("d1")
	book.SetEndpoints([]toucanplace.Endpoint{endpoint})
	return NewBoard(book), book
}

func report(boot, serial uint64) *Report { return &Report{Sender: "p", Boot: boot, Serial: serial} }

// TestOvertakenReports checks that a report changes nothing if a later one, or one of a later process, came before.
func TestOvertakenReports(t *testing.T) {
	b, _ := newBoard()
	assert.Assert(t, b.Take(start, report(5, 2)))
	assert.Assert(t, !b.Take(start, report(5, 2)))
	assert.Assert(t, !b.Take(start, report(5, 1)))
	assert.Assert(t, !b.Take(start, report(4, 9)))
	assert.Assert(t, b.Take(start, report(6, 1)))
}

// TestToldLeaving checks that a peer's word that an endpoint leaves holds until it is taken back or the peer is silent.
func TestToldLeaving(t *testing.T) {
	b, book := newBoard()
	r := report(1, 1)
	r.Leaving = []uint64{endpoint.Key()}
	b.Take(start, r)
	assert.Assert(t, !book.Staying("e"))
	b.Take(start, report(1, 2))
	assert.Assert(t, book.Staying("e"))
	r = report(1, 3)
	r.Leaving = []uint64{endpoint.Key()}
	b.Take(start, r)
	b.Expire(start.Add(silence))
	assert.Assert(t, !book.Staying("e"))
	b.Expire(start.Add(silence + time.Millisecond))
	assert.Assert(t, book.Staying("e"))
}

// TestAhead checks whose run is moved first.
func TestAhead(t *testing.T) {
	b, _ := newBoard()
	r := report(1, 1)
	r.Runs = []*Run{{Id: 7, Endpoint: endpoint.Key(), Tokens: 100, LeftMillis: 60000}}
	b.Take(start, r)
	smaller := toucanmove.Run{ID: 1, Tokens: 50, Left: time.Minute}
	larger := toucanmove.Run{ID: 1, Tokens: 200, Left: time.Minute}
	assert.Assert(t, !b.Ahead(start, endpoint.Key(), smaller))
	assert.Assert(t, b.Ahead(start, endpoint.Key(), larger))
	assert.Assert(t, !b.Ahead(start, endpoint.Key()+1, larger))
	assert.Assert(t, !b.Ahead(start.Add(silence+1), endpoint.Key(), larger))
}

// TestProgressIsNoNews checks that peers hear at once of other runs, and not of how far the same ones are. Entries that
// answered each other's announcements of progress would never stop.
func TestProgressIsNoNews(t *testing.T) {
	b, _ := newBoard()
	run := toucanmove.Run{ID: 1, Tokens: 10, Left: time.Second}
	b.Announce(endpoint.Key(), []toucanmove.Run{run})
	assert.Equal(t, len(b.urgent), 1)
	<-b.urgent
	run.Tokens, run.Left = 20, time.Millisecond
	b.Announce(endpoint.Key(), []toucanmove.Run{run})
	assert.Equal(t, len(b.urgent), 0)
	b.Announce(endpoint.Key(), nil)
	assert.Equal(t, len(b.urgent), 1)
}

// TestUnreachable checks that an endpoint that one entry could not reach is avoided by another while there is a choice.
func TestUnreachable(t *testing.T) {
	a, aBook := newBoard()
	b, bBook := newBoard()
	list := []toucanplace.Endpoint{endpoint, {ID: "f", Service: "s", Slots: 4, MemoryTokens: 1000}}
	aBook.SetEndpoints(list)
	bBook.SetEndpoints(list)
	now := time.Now()
	c, err := aBook.Place(now, "s", toucanplace.Demand{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint.ID, "e")
	c.Done(now, toucanplace.OutcomeUnreachable)
	r := a.report()
	r.Sender, r.Boot, r.Serial = "a", 1, 1
	b.Take(now, r)
	c, err = bBook.Place(now, "s", toucanplace.Demand{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint.ID, "f")
	assert.Equal(t, len(bBook.Unreachable(now)), 0)
}

// TestCopying checks that copies of this entry and of peers are known.
func TestCopying(t *testing.T) {
	b, _ := newBoard()
	end := b.BeginCopy(1)
	assert.Assert(t, b.Copying(start, 1))
	end()
	assert.Assert(t, !b.Copying(start, 1))
	r := report(1, 1)
	r.CopyingTo = []uint64{1}
	b.Take(start, r)
	assert.Assert(t, b.Copying(start, 1))
}

// TestStoreSilent checks that the store is silent once it has told neither this entry nor a peer that it hears anything
// for longer than it should take.
func TestStoreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBoard()
		assert.Assert(t, b.StoreSilent(time.Now()))
		b.SetStoreHeard()
		time.Sleep(storeSilence)
		assert.Assert(t, !b.StoreSilent(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, b.StoreSilent(time.Now()))
		// A peer heard of it 100 ms before it reported.
		r := report(1, 1)
		r.StoreSilentMillis = 100
		b.Take(time.Now(), r)
		time.Sleep(storeSilence - 100*time.Millisecond)
		assert.Assert(t, !b.StoreSilent(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, b.StoreSilent(time.Now()))
		// One that has never heard of it says nothing.
		b.Take(time.Now(), report(1, 2))
		assert.Assert(t, b.StoreSilent(time.Now()))
	})
}

// TestStoppingPeers checks that a peer that stops has no share of what the entries divide among themselves, while its
// report still holds.
func TestStoppingPeers(t *testing.T) {
	b, book := newBoard()
	b.Take(start, report(1, 1))
	assert.Equal(t, len(b.Heard(start)), 1)
	r := report(1, 2)
	r.Stopping = true
	r.Uses = []*EndpointUse{{Endpoint: endpoint.Key(), Requests: uint32(endpoint.Slots)}}
	b.Take(start, r)
	assert.Equal(t, len(b.Heard(start)), 0)
	_, err := book.Place(start, "s", toucanplace.Demand{Prompt: 1}, nil)
	assert.Assert(t, errors.Is(err, toucanplace.ErrFull))
	b.SetStopping()
	assert.Assert(t, b.report().GetStopping())
}

// TestBlind checks that an entry is blind only when neither it nor a peer it hears sees the store.
func TestBlind(t *testing.T) {
	b, _ := newBoard()
	assert.Assert(t, !b.Blind(start))
	b.SetStoreAway(true)
	assert.Assert(t, b.Blind(start))
	b.Take(start, report(1, 1))
	assert.Assert(t, !b.Blind(start))
	r := report(1, 2)
	r.StoreAway = true
	b.Take(start, r)
	assert.Assert(t, b.Blind(start))
}

// TestBehind checks that newer settings of a peer are told once.
func TestBehind(t *testing.T) {
	b, _ := newBoard()
	told := 0
	b.OnBehind(func() { told++ })
	b.SetSettings(5)
	for serial, version := range []uint64{4, 5, 6, 6} {
		r := report(1, uint64(serial+1))
		r.SettingsVersion = version
		b.Take(start, r)
	}
	assert.Equal(t, told, 1)
}

// TestMesh joins two entries over loopback and waits until each knows what the other placed.
func TestMesh(t *testing.T) {
	aLog, bLog := &toucanlogtest.Log{}, &toucanlogtest.Log{}
	a, aBook := newBoard()
	b, bBook := newBoard()
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
	_, err = aBook.Place(time.Now(), "s", toucanplace.Demand{Prompt: 900}, nil)
	assert.NilError(t, err)
	eventually(t, func() bool {
		_, err := bBook.Place(time.Now(), "s", toucanplace.Demand{Prompt: 200}, nil)
		return err != nil
	})
	// A peer that the store does not answer borrows what another has read.
	values := []toucanstore.Value{{Key: "op/x", Body: []byte("body"), Revision: 7}}
	go bm.Lend(func() []toucanstore.Value { return values })
	b.SetSettings(3)
	eventually(t, func() bool {
		got, err := am.Borrow(t.Context())
		return err == nil && len(got) == 1 && got[0].Key == "op/x" && string(got[0].Body) == "body" && got[0].Revision == 7
	})
	// One that has just regained the store does not lend: entries of endpoints that lapsed meanwhile are still missing.
	b.SetStoreAway(true)
	b.SetStoreAway(false)
	eventually(t, func() bool {
		_, err := am.Borrow(t.Context())
		return errors.Is(err, ErrNoLender)
	})
	assert.Equal(t, strings.ReplaceAll(aLog.Next(t, 1), peers["b"].String(), "b's"), "INFO peer joined: address=b's peer=b\n")
	// A peer that is no longer listed is still heard: the store may have turned it away.
	am.SetPeers(nil)
	assert.Equal(t, am.Peers(), 1)
	cancel()
	<-done
	<-done
}

// TestStrangerIsHeardFirst checks that an entry that knows no peer takes those that speak to it, and only then.
func TestStrangerIsHeardFirst(t *testing.T) {
	b, _ := newBoard()
	m, err := Listen("a", "127.0.0.1:0", b, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	from := netip.MustParseAddrPort("127.0.0.1:7000")
	assert.Assert(t, m.knows("b", from))
	assert.Equal(t, m.Peers(), 1)
	assert.Assert(t, !m.knows("c", from))
	assert.Assert(t, !m.knows("b", netip.MustParseAddrPort("127.0.0.2:7000")))
}

// eventually waits until f holds, far longer than it takes.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for range 10000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("waited in vain")
}

// TestReadPeers checks that only readable addresses of entries are taken.
func TestReadPeers(t *testing.T) {
	values := map[string]toucanstore.Value{
		keyPrefix + "a": {Body: []byte("10.0.0.1:7000")},
		keyPrefix + "b": {Body: []byte("nonsense")},
		"other/c":       {Body: []byte("10.0.0.1:7000")},
	}
	assert.Equal(t, len(ReadPeers(values)), 1)
	assert.Equal(t, ReadPeers(values)["a"], netip.MustParseAddrPort("10.0.0.1:7000"))
}
