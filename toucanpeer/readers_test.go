package toucanpeer

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanhistory"
	"toucanport/toucanstore"
)

// readerReport is the report of an entry that can read the store for others.
func readerReport(name string) *Report {
	return &Report{Sender: name, Boot: 1, Serial: 1, CopyRevision: 5, StoreSilentMillis: 1}
}

// rankAmong returns the rank of the entry "self" whose peers sent the reports at start.
func rankAmong(now time.Time, reports ...*Report) int {
	state, _ := newState()
	state.lastStoreAnswer = start
	for _, r := range reports {
		state.Apply(start, r)
	}
	return NewReaders("self", state, func(toucanhistory.Batch) {}).Rank(now)
}

// TestEntriesAgreeOnReaders checks that of entries that hear each other each has another rank.
func TestEntriesAgreeOnReaders(t *testing.T) {
	const entries = 27
	ranks := make(map[int]bool)
	for i := range entries {
		state, _ := newState()
		state.lastStoreAnswer = start
		for j := range entries {
			if j != i {
				state.Apply(start, readerReport(fmt.Sprint("entry", j)))
			}
		}
		ranks[NewReaders(fmt.Sprint("entry", i), state, func(toucanhistory.Batch) {}).Rank(start)] = true
	}
	assert.Equal(t, len(ranks), entries)
}

// TestWhoCountsAsReader checks which peers read the store in preference to an entry.
func TestWhoCountsAsReader(t *testing.T) {
	var before *Report // a peer that ranks before "self"
	for i := 0; before == nil; i++ {
		if r := readerReport(fmt.Sprint("entry", i)); rankAmong(start, r) == 1 {
			before = r
		}
	}
	with := func(change func(*Report)) *Report {
		r := proto.Clone(before).(*Report)
		change(r)
		return r
	}
	soon := start.Add(readerTimeout)
	assert.Equal(t, rankAmong(soon, before), 1)
	for name, rank := range map[string]int{
		"not heard any more":       rankAmong(soon.Add(time.Millisecond), before),
		"turned away by the store": rankAmong(start, with(func(r *Report) { r.StoreAway = true })),
		"shutting down":            rankAmong(start, with(func(r *Report) { r.Stopping = true })),
		"without a copy":           rankAmong(start, with(func(r *Report) { r.CopyRevision = 0 })),
		"store silent to all":      rankAmong(start.Add(StoreSilentAfter+time.Second), with(func(r *Report) { r.StoreSilentMillis = 0 })),
	} {
		assert.Equal(t, rank, 0, name)
	}
}

// TestSplitBatches checks that the parts of any batch fit into a datagram, follow each other, hold whole revisions and all
// changes up to the first value that is too large, and that none goes beyond it.
func TestSplitBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := toucanhistory.Batch{Era: 2, After: 10, To: 10}
		whole := true
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			b.To += uint64(rapid.IntRange(0, 1).Draw(t, "next"))
			size := rapid.SampledFrom([]int{0, 200, 3000, maxSharedBody, maxSharedBody + 1}).Draw(t, "bytes")
			whole = whole && size <= maxSharedBody
			revision := max(b.To, b.After+1)
			b.To = revision
			b.Changes = append(b.Changes, toucanhistory.Change{Value: toucanstore.Value{Key: "k", Body: make([]byte, size), Revision: revision}})
		}
		at, changes := b.After, 0
		parts := splitBatch(b)
		for _, p := range parts {
			assert.Equal(t, p.After, at)
			assert.Assert(t, proto.Size(encodeBatch(p)) < maxDatagram)
			for _, c := range p.Changes {
				assert.Assert(t, c.Revision > at && c.Revision <= p.To)
			}
			at = p.To
			changes += len(p.Changes)
		}
		if whole && len(parts) < maxSharedDatagrams {
			assert.Equal(t, changes, len(b.Changes))
			assert.Equal(t, at, b.To)
		}
	})
}

// TestSharedChangesReachPeers checks that a batch arrives as it was sent.
func TestSharedChangesReachPeers(t *testing.T) {
	state, _ := newState()
	var got []toucanhistory.Batch
	state.OnChanges(func(b toucanhistory.Batch) { got = append(got, b) })
	m := &Mesh{state: state, log: slog.New(slog.DiscardHandler)}
	sent := toucanhistory.Batch{Era: 1, After: 4, To: 6, Repair: true, Changes: []toucanhistory.Change{
		{Value: toucanstore.Value{Key: "a", Body: []byte("x"), Revision: 5}},
		{Value: toucanstore.Value{Key: "b", Revision: 6}, Removed: true},
	}}
	m.apply(start, &Report{Sender: "p", Changes: encodeBatch(sent)})
	assert.DeepEqual(t, got, []toucanhistory.Batch{sent})
}
