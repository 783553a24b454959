package toucanmesh

import (
	"log/slog"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanhistory"
	"toucanport/toucanpeer"
	"toucanport/toucanstore"
)

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
	m.apply(start, &toucanpeer.Report{Sender: "p", Changes: encodeBatch(sent)})
	assert.DeepEqual(t, got, []toucanhistory.Batch{sent})
}
