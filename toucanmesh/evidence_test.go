package toucanmesh

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"toucanport/toucanlogtest"
	"toucanport/toucanmoveorder"
	"toucanport/toucanquarantine"
)

// TestEvidenceReachesPeersAndLaterOnes checks that evidence of two entries adds up at a third one, and that an entry that
// starts later gets it too.
func TestEvidenceReachesPeersAndLaterOnes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 4)
	peers := make(map[string]netip.AddrPort)
	tables := make(map[string]*toucanquarantine.Table)
	meshes := make(map[string]*Mesh)
	for _, name := range []string{"a", "b", "c", "late"} {
		state, _ := newState()
		tables[name] = toucanquarantine.New()
		m, err := Listen(name, "127.0.0.1:0", state, (&toucanlogtest.Log{}).Logger(), WithEvidence(tables[name]))
		assert.NilError(t, err)
		meshes[name] = m
		peers[name] = m.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	}
	run := func(name string) {
		meshes[name].SetPeers(peers)
		go func() {
			meshes[name].Run(ctx)
			done <- struct{}{}
		}()
	}
	run("a")
	run("b")
	run("c")
	now := time.Now()
	for i, name := range []string{"a", "b", "a"} {
		r := toucanquarantine.Run{Workspace: "w", Parts: []toucanquarantine.Part{7, toucanquarantine.Part(100 + i)}}
		tables[name].RecordCrash(now.Add(time.Duration(i-3)*time.Second), uint64(i+1), "s", r)
	}
	quarantined := func(name string) func() bool {
		return func() bool { return tables[name].Quarantined(time.Now(), "s", "w", []toucanquarantine.Part{7, 200}) }
	}
	eventually(t, quarantined("c"))
	assert.Assert(t, !quarantined("late")())
	run("late")
	eventually(t, quarantined("late"))
	tables["late"].RecordSound(time.Now(), "s", []toucanquarantine.Part{7})
	eventually(t, func() bool { return !quarantined("a")() && !quarantined("c")() })
	cancel()
	for range meshes {
		<-done
	}
}

// TestLargeEvidenceFitsIntoDatagrams checks that the most evidence that a table holds of one end fits into a datagram.
func TestLargeEvidenceFitsIntoDatagrams(t *testing.T) {
	table := toucanquarantine.New()
	now := time.Now()
	for i := range 40 {
		r := toucanquarantine.Run{Workspace: "workspace with a name", Parts: make([]toucanquarantine.Part, 128)}
		r.Parts[0] = toucanquarantine.Part(i)
		table.RecordCrash(now, 1, "service", r)
	}
	reports := evidenceReports(now, table.Evidence(), 0)
	assert.Equal(t, len(reports), 1)
	encoded := decodeEvidence(now, reports[0])
	assert.DeepEqual(t, encoded.Crashes, table.Evidence().Crashes)
	assert.Assert(t, proto.Size(reports[0]) <= maxDatagram, "%d bytes", proto.Size(reports[0]))
}

// TestLongReportIsNotSent checks that a report that does not fit into a datagram is logged and not sent.
func TestLongReportIsNotSent(t *testing.T) {
	state, _ := newState()
	log := &toucanlogtest.Log{}
	m, err := Listen("a", "127.0.0.1:0", state, log.Logger())
	assert.NilError(t, err)
	state.Announce(1, make([]toucanmoveorder.Generation, maxDatagram))
	m.sendTo([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")})
	assert.Assert(t, strings.HasPrefix(log.Next(t, 1), "ERROR report to peers not sent: bytes="))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m.Run(ctx)
}
