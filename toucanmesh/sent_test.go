package toucanmesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"toucanport/toucanhistory"
	"toucanport/toucanlogtest"
	"toucanport/toucanquarantine"
	"toucanport/toucanrate"
	"toucanport/toucanstore"
)

// TestSentBytesAreCountedByKind sends one message of each kind and checks that it counts under its kind, once for each peer.
func TestSentBytesAreCountedByKind(t *testing.T) {
	state, _ := newState()
	scope := tally.NewTestScope("", nil)
	table := toucanquarantine.New()
	m, err := Listen("a", "127.0.0.1:0", state, (&toucanlogtest.Log{}).Logger(), WithMetrics(scope), WithEvidence(table))
	assert.NilError(t, err)
	m.SetPeers(map[string]netip.AddrPort{
		"b": netip.MustParseAddrPort("127.0.0.1:9"),
		"c": netip.MustParseAddrPort("127.0.0.1:9"),
	})
	counts := func() map[string]int64 {
		byKind := make(map[string]int64)
		for _, c := range scope.Snapshot().Counters() {
			assert.Equal(t, c.Name(), metricSentBytes)
			byKind[c.Tags()[tagKind]] = c.Value()
		}
		return byKind
	}
	table.RecordCrash(time.Now(), 1, "s", toucanquarantine.Run{Workspace: "w", Parts: []toucanquarantine.Part{7}})
	for _, send := range []struct {
		kind  messageKind
		peers int64
		send  func()
	}{
		{kindReport, 2, func() { m.sendTo(m.cellAddresses()) }},
		{kindChanges, 2, func() {
			m.ShareChanges(toucanhistory.Batch{To: 2, Changes: []toucanhistory.Change{{Value: toucanstore.Value{Key: "k", Revision: 2}}}})
		}},
		{kindSlot, 1, func() { m.Ask("b", toucanrate.Ask{Serial: 1}) }},
		{kindEvidence, 2, func() { m.sendEvidence(m.allAddresses(), 0) }},
	} {
		before := counts()
		send.send()
		after := counts()
		for kind, n := range after {
			added := n - before[kind]
			if kind != send.kind.String() {
				assert.Equal(t, added, int64(0), "%s counted as %s", send.kind, kind)
				continue
			}
			assert.Assert(t, added > 0 && added%send.peers == 0, "%s: %d bytes", kind, added)
		}
		assert.Assert(t, after[send.kind.String()] > 0)
	}
}
