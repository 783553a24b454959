package toucancapacity

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"toucanport/toucanchange"
	"toucanport/toucanfakestore"
	"toucanport/toucanmember"
	"toucanport/toucanrevision"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
	"toucanport/toucantls"
	"toucanport/toucanwatch"
	"toucanport/toucanwire"
)

func holderOf(tb testing.TB, documents []toucanrevision.Document) *toucanspread.Holder {
	h := toucanspread.NewHolder()
	for _, d := range documents {
		_, err := h.Offer(d)
		assert.NilError(tb, err)
	}
	return h
}

func documentsOf(tb testing.TB, s Size) []toucanrevision.Document {
	documents, err := s.Documents()
	assert.NilError(tb, err)
	return documents
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// heapOf returns the bytes that what make returns keeps alive.
func heapOf(makeIt func() any) float64 {
	before := heap()
	kept := makeIt()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// BenchmarkSettingsMemory gives the bytes that a holder keeps for one workspace and for one endpoint, as the
// difference of two fleets.
func BenchmarkSettingsMemory(b *testing.B) {
	base := Size{Teams: 20, Services: 20, Workspaces: 400, Endpoints: 400}
	more := func(s Size) float64 {
		return heapOf(func() any { return holderOf(b, documentsOf(b, s)) })
	}
	workspaces, endpoints := base, base
	workspaces.Workspaces += 1600
	endpoints.Endpoints += 1600
	for b.Loop() {
		small := more(base)
		b.ReportMetric((more(workspaces)-small)/1600, "B/workspace")
		b.ReportMetric((more(endpoints)-small)/1600, "B/endpoint")
		b.ReportMetric(more(Design)/1e6, "MB/design")
	}
}

// BenchmarkStoredBytes gives the size of the stored documents at the design size.
func BenchmarkStoredBytes(b *testing.B) {
	for b.Loop() {
		var total, largest int
		for _, d := range documentsOf(b, Design) {
			body, err := d.Encode()
			assert.NilError(b, err)
			total += len(body)
			largest = max(largest, len(body))
		}
		b.ReportMetric(float64(total), "B/fleet")
		b.ReportMetric(float64(largest), "B/largest")
	}
}

// changed returns the document one small change later.
func changed(tb testing.TB, d toucanrevision.Document, n int) toucanrevision.Document {
	edit := toucanrevision.Edit{
		Path:      toucansettings.Path{Document: d.Path, Group: toucansettings.GroupWorkspaces, Name: "workspace0"},
		Operation: toucanrevision.OpMerge,
		Body:      fmt.Sprintf("tokensPerMinute = %d\n", n+1),
	}
	at := time.UnixMilli(int64(n)).UTC()
	next, err := d.WithChange(toucanrevision.Change{ID: fmt.Sprintf("c-%026d", n), At: at, Author: "team team0"}, []toucanrevision.Edit{edit})
	assert.NilError(tb, err)
	return next
}

// exchange passes heartbeats both ways until neither side has more to say, and returns their bytes.
func exchange(tb testing.TB, a, b *toucanspread.Peer) (bytes int) {
	for {
		n, again := pass(tb, a, b)
		m, more := pass(tb, b, a)
		bytes += n + m
		if !again && !more {
			return bytes
		}
	}
}

func pass(tb testing.TB, from, to *toucanspread.Peer) (int, bool) {
	beat := &toucanwire.Heartbeat{Sequence: 1000, Load: loadReport(1000)}
	assert.NilError(tb, from.Fill(beat))
	data, err := proto.Marshal(beat)
	assert.NilError(tb, err)
	got := &toucanwire.Heartbeat{}
	assert.NilError(tb, proto.Unmarshal(data, got))
	again, err := to.Receive(got)
	assert.NilError(tb, err)
	return len(data), again
}

func loadReport(sequence uint64) *toucanwire.LoadReport {
	return &toucanwire.LoadReport{
		BootId: 1 << 63, Sequence: sequence, Endpoint: "team0/endpoint1234", Service: "team0/service0", Running: 40, Queued: 12,
		QueuedTokens: 9000, MemoryUsedBlocks: 30000, MemoryTotalBlocks: 40000, MemoryForecastBlocks: 36000,
		StepMicros: 30000, WaitMillis: 200, Healthy: true,
	}
}

// BenchmarkRevision takes one small change from one holder to another by a patch, at the design size.
func BenchmarkRevision(b *testing.B) {
	documents := documentsOf(b, Design)
	from, to := holderOf(b, documents), holderOf(b, documents)
	d := documents[0]
	sender, receiver := toucanspread.NewPeer(from), toucanspread.NewPeer(to)
	exchange(b, sender, receiver)
	idle := exchange(b, sender, receiver)
	n, total := 0, 0
	for b.Loop() {
		n++
		d = changed(b, d, n)
		_, err := from.Offer(d)
		assert.NilError(b, err)
		total += exchange(b, sender, receiver) - idle
		assert.Equal(b, to.RevisionOf(d.Path), d.Revision)
	}
	b.ReportMetric(float64(total)/float64(n), "B/revision")
}

// BenchmarkWholeDocument takes one document of the design size to a holder that has none.
func BenchmarkWholeDocument(b *testing.B) {
	documents := documentsOf(b, Design)
	from := holderOf(b, documents[:1])
	total := 0
	for b.Loop() {
		total = exchange(b, toucanspread.NewPeer(from), toucanspread.NewPeer(toucanspread.NewHolder()))
	}
	b.ReportMetric(float64(total), "B/document")
}

// BenchmarkStartWithoutStore is a process that learns all documents of the design size from one peer.
func BenchmarkStartWithoutStore(b *testing.B) {
	from := holderOf(b, documentsOf(b, Design))
	total := 0
	for b.Loop() {
		total = exchange(b, toucanspread.NewPeer(from), toucanspread.NewPeer(toucanspread.NewHolder()))
	}
	b.ReportMetric(float64(total), "B/start")
}

// BenchmarkIdleHeartbeat is one heartbeat with its answer, encoded and taken in on both sides.
func BenchmarkIdleHeartbeat(b *testing.B) {
	documents := documentsOf(b, Design)
	one, other := toucanspread.NewPeer(holderOf(b, documents)), toucanspread.NewPeer(holderOf(b, documents))
	exchange(b, one, other)
	bytes := 0
	for b.Loop() {
		bytes = exchange(b, one, other)
	}
	b.ReportMetric(float64(bytes), "B/beat")
}

// BenchmarkReport is one load report taken in by the router and the member table, with 3,400 endpoints known.
func BenchmarkReport(b *testing.B) {
	router := toucanroute.NewPerService(toucanroute.Config{FailureDomain: "domain0"})
	var endpoints []toucanroute.Endpoint
	for i := range Design.Endpoints {
		endpoints = append(endpoints, toucanroute.Endpoint{
			Name: fmt.Sprintf("endpoint%d", i), Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
	}
	now := time.Unix(1000, 0)
	router.SetPolicy("s", toucansettings.PolicyToucan)
	router.SetEndpoints(now, "s", endpoints)
	table := toucanmember.NewTable()
	n := uint64(0)
	for b.Loop() {
		n++
		e := endpoints[n%uint64(len(endpoints))].Name
		now = now.Add(time.Millisecond)
		router.Report(now, toucanroute.Load{BootID: 7, Sequence: n, Endpoint: e, Healthy: true})
		table.ApplyReport(now, toucanmember.Report{Instance: e, BootID: 7, Sequence: n})
	}
}

// BenchmarkChange is one change checked, encoded and written to a store without latency, at the design size.
func BenchmarkChange(b *testing.B) {
	documents := documentsOf(b, Design)
	store := toucanfakestore.New()
	ctx := context.Background()
	d := documents[0]
	body, err := d.Encode()
	assert.NilError(b, err)
	_, err = store.CompareAndSwap(ctx, toucanchange.Key(d.Path), body, 0)
	assert.NilError(b, err)
	holder := holderOf(b, documents)
	writer := toucanchange.New(store, holder)
	counts := store.Counts()
	n := 0
	for b.Loop() {
		n++
		r, err := writer.Apply(ctx, toucanchange.Request{
			ID: fmt.Sprint(n), Document: d.Path, Base: d.Revision, Author: "team team0",
			Edits: []toucanrevision.Edit{{
				Path:      toucansettings.Path{Document: d.Path, Group: toucansettings.GroupWorkspaces, Name: "workspace0"},
				Operation: toucanrevision.OpMerge,
				Body:      fmt.Sprintf("tokensPerMinute = %d\n", n),
			}},
		})
		assert.NilError(b, err)
		d = r.Document
	}
	after := store.Counts()
	b.ReportMetric(float64(after.Reads-counts.Reads)/float64(n), "reads/change")
	b.ReportMetric(float64(after.Writes-counts.Writes)/float64(n), "writes/change")
}

// BenchmarkWatch is one change that reaches a watcher, with the calls it costs the store.
func BenchmarkWatch(b *testing.B) {
	documents := documentsOf(b, Design)
	store := toucanfakestore.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := toucanspread.NewHolder()
	watcher := toucanwatch.New(store, toucanchange.KeyPrefix, holder, slog.New(slog.NewTextHandler(io.Discard, nil)))
	d := documents[0]
	body, err := d.Encode()
	assert.NilError(b, err)
	revision, err := store.CompareAndSwap(ctx, toucanchange.Key(d.Path), body, 0)
	assert.NilError(b, err)
	go watcher.Run(ctx)
	awaitRevision(holder, d)
	n := 0
	for b.Loop() {
		n++
		d = changed(b, d, n)
		body, err := d.Encode()
		assert.NilError(b, err)
		revision, err = store.CompareAndSwap(ctx, toucanchange.Key(d.Path), body, revision)
		assert.NilError(b, err)
		awaitRevision(holder, d)
	}
	b.ReportMetric(float64(store.Counts().Watches)/float64(n), "watches/change")
}

func awaitRevision(h *toucanspread.Holder, d toucanrevision.Document) {
	for {
		changed := h.Changed()
		if h.RevisionOf(d.Path) >= d.Revision {
			return
		}
		<-changed
	}
}

// BenchmarkSubsetFleet divides all services of the design size for one entry.
func BenchmarkSubsetFleet(b *testing.B) {
	entries := make([]string, Design.Entries)
	for i := range entries {
		entries[i] = fmt.Sprintf("entry%d", i)
	}
	links := 0
	for b.Loop() {
		links = 0
		for service := range Design.Services {
			endpoints := make([]string, Design.Endpoints/Design.Services)
			for i := range endpoints {
				endpoints[i] = fmt.Sprintf("endpoint%d-%d", service, i)
			}
			links += len(toucanmember.Subset("entry7", entries, endpoints, toucanmember.SubsetSize(Design.Services)))
		}
	}
	b.ReportMetric(float64(links), "links/entry")
}

// countingConn counts the bytes that a connection carries.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// links opens n links with TLS over loopback and returns their control streams on the entry's side.
func links(tb testing.TB, n int, bytes *atomic.Int64) []*toucanwire.Stream {
	authority, err := toucantls.NewAuthority(time.Now(), time.Hour)
	assert.NilError(tb, err)
	own, err := authority.Issue("s", toucantls.RoleSidecar, time.Now(), time.Hour)
	assert.NilError(tb, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { ln.Close() })
	protected := toucantls.NewListener(ln, toucantls.Fixed(own), toucantls.RoleEntry)
	go serveLinks(protected)
	m, err := authority.Issue("e", toucantls.RoleEntry, time.Now(), time.Hour)
	assert.NilError(tb, err)
	dial := toucantls.WrapDial(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		return countingConn{c, bytes}, err
	}, toucantls.Fixed(m), toucantls.RoleSidecar)
	out := make([]*toucanwire.Stream, n)
	for i := range out {
		conn, err := dial(context.Background(), ln.Addr().String())
		assert.NilError(tb, err)
		link, err := toucanwire.Dial(context.Background(), conn, &toucanwire.Hello{Role: "entry"})
		assert.NilError(tb, err)
		tb.Cleanup(func() { link.Close() })
		out[i], err = link.Open(&toucanwire.Open{Request: &toucanwire.Open_Control{Control: &toucanwire.Hello{}}})
		assert.NilError(tb, err)
	}
	return out
}

// serveLinks answers heartbeats as a sidecar does.
func serveLinks(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			link, err := toucanwire.Accept(context.Background(), conn, &toucanwire.Hello{Role: "sidecar"})
			if err != nil {
				return
			}
			stream, err := link.AcceptStream()
			if err != nil {
				return
			}
			_ = stream.Receive(&toucanwire.Open{})
			answerBeats(stream)
		}()
	}
}

func answerBeats(stream *toucanwire.Stream) {
	for {
		beat := &toucanwire.Heartbeat{}
		if stream.Receive(beat) != nil {
			return
		}
		answer := &toucanwire.Heartbeat{Sequence: beat.Sequence, RevisionsDigest: 1 << 63, Load: loadReport(beat.Sequence)}
		_ = stream.Send(answer)
	}
}

// BenchmarkLink is one idle heartbeat with its answer over a link with TLS on loopback: its bytes in the TCP
// stream, both ways.
func BenchmarkLink(b *testing.B) {
	var bytes atomic.Int64
	stream := links(b, 1, &bytes)[0]
	before, n := bytes.Load(), 0
	for b.Loop() {
		n++
		assert.NilError(b, stream.Send(&toucanwire.Heartbeat{Sequence: 1000, RevisionsDigest: 1 << 63}))
		assert.NilError(b, stream.Receive(&toucanwire.Heartbeat{}))
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(n), "B/beat")
}

// BenchmarkLinkMemory gives the bytes that one open link keeps on both sides together.
func BenchmarkLinkMemory(b *testing.B) {
	var bytes atomic.Int64
	const n = 200
	for b.Loop() {
		kept := heapOf(func() any {
			streams := links(b, n, &bytes)
			for _, s := range streams {
				assert.NilError(b, s.Send(&toucanwire.Heartbeat{Sequence: 1}))
				assert.NilError(b, s.Receive(&toucanwire.Heartbeat{}))
			}
			return streams
		})
		b.ReportMetric(kept/n, "B/linkBothSides")
	}
}

// BenchmarkReportOnAnswer gives the bytes that a load report adds to an answer.
func BenchmarkReportOnAnswer(b *testing.B) {
	bytes := 0
	for b.Loop() {
		bytes = proto.Size(&toucanwire.Event{Load: loadReport(100_000)})
	}
	b.ReportMetric(float64(bytes), "B/report")
}
