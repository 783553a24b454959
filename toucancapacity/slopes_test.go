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
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucantls"
	"toucanport/toucanwatch"
	"toucanport/toucanwire"
)

func newHolder(tb testing.TB, documents []toucanrevision.Document) *toucanreplicate.Holder {
	h := toucanreplicate.NewHolder()
	for _, d := range documents {
		_, err := h.Offer(d)
		assert.NilError(tb, err)
	}
	return h
}

func mustDocuments(tb testing.TB, s Size) []toucanrevision.Document {
	documents, err := s.Documents()
	assert.NilError(tb, err)
	return documents
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// retainedBytes returns the bytes of heap and stack that the value returned by build keeps in use.
func retainedBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// BenchmarkSettingsMemory measures the memory that a holder needs per workspace and per endpoint, from the difference
// between fleets of two sizes, and in total at the design size.
func BenchmarkSettingsMemory(b *testing.B) {
	base := Size{Teams: 20, Services: 20, Workspaces: 400, Endpoints: 400}
	holderBytes := func(s Size) float64 {
		return retainedBytes(func() any { return newHolder(b, mustDocuments(b, s)) })
	}
	workspaces, endpoints := base, base
	workspaces.Workspaces += 1600
	endpoints.Endpoints += 1600
	for b.Loop() {
		small := holderBytes(base)
		b.ReportMetric((holderBytes(workspaces)-small)/1600, "B/workspace")
		b.ReportMetric((holderBytes(endpoints)-small)/1600, "B/endpoint")
		b.ReportMetric(holderBytes(Design)/1e6, "MB/design")
	}
}

// BenchmarkStoredBytes measures the encoded size of the documents at the design size: in total and of the largest.
func BenchmarkStoredBytes(b *testing.B) {
	for b.Loop() {
		var total, largest int
		for _, d := range mustDocuments(b, Design) {
			body, err := d.Encode()
			assert.NilError(b, err)
			total += len(body)
			largest = max(largest, len(body))
		}
		b.ReportMetric(float64(total), "B/fleet")
		b.ReportMetric(float64(largest), "B/largest")
	}
}

// withSmallChange returns the document with change n, which sets the token limit of one workspace.
func withSmallChange(tb testing.TB, d toucanrevision.Document, n int) toucanrevision.Document {
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

// exchangeHeartbeats sends heartbeats in both directions until neither peer has more to send, and returns their total size
// in bytes.
func exchangeHeartbeats(tb testing.TB, a, b *toucanreplicate.Peer) (bytes int) {
	for {
		n, bHasMore := sendHeartbeat(tb, a, b)
		m, aHasMore := sendHeartbeat(tb, b, a)
		bytes += n + m
		if !bHasMore && !aHasMore {
			return bytes
		}
	}
}

// sendHeartbeat passes an encoded heartbeat between two peers. It returns its size in bytes, and whether the receiver has
// to send another heartbeat at once.
func sendHeartbeat(tb testing.TB, from, to *toucanreplicate.Peer) (int, bool) {
	beat := &toucanwire.Heartbeat{Sequence: 1000, Load: loadReport(1000)}
	assert.NilError(tb, from.Fill(beat))
	data, err := proto.Marshal(beat)
	assert.NilError(tb, err)
	received := &toucanwire.Heartbeat{}
	assert.NilError(tb, proto.Unmarshal(data, received))
	hasMore, err := to.Receive(received)
	assert.NilError(tb, err)
	return len(data), hasMore
}

func loadReport(sequence uint64) *toucanwire.LoadReport {
	return &toucanwire.LoadReport{
		BootId: 1 << 63, Sequence: sequence, Endpoint: "team0/endpoint1234", Service: "team0/service0", Running: 40, Queued: 12,
		QueuedTokens: 9000, MemoryUsedBlocks: 30000, MemoryTotalBlocks: 40000, MemoryForecastBlocks: 36000,
		StepMicros: 30000, WaitMillis: 200, Healthy: true,
	}
}

// BenchmarkRevision measures the transfer of a small change between two holders as a patch, at the design size.
func BenchmarkRevision(b *testing.B) {
	documents := mustDocuments(b, Design)
	from, to := newHolder(b, documents), newHolder(b, documents)
	d := documents[0]
	sender, receiver := toucanreplicate.NewPeer(from), toucanreplicate.NewPeer(to)
	exchangeHeartbeats(b, sender, receiver)
	idle := exchangeHeartbeats(b, sender, receiver)
	n, total := 0, 0
	for b.Loop() {
		n++
		d = withSmallChange(b, d, n)
		_, err := from.Offer(d)
		assert.NilError(b, err)
		total += exchangeHeartbeats(b, sender, receiver) - idle
		assert.Equal(b, to.RevisionOf(d.Path), d.Revision)
	}
	b.ReportMetric(float64(total)/float64(n), "B/revision")
}

// BenchmarkWholeDocument measures the transfer of one document of the design size to an empty holder.
func BenchmarkWholeDocument(b *testing.B) {
	documents := mustDocuments(b, Design)
	from := newHolder(b, documents[:1])
	total := 0
	for b.Loop() {
		total = exchangeHeartbeats(b, toucanreplicate.NewPeer(from), toucanreplicate.NewPeer(toucanreplicate.NewHolder()))
	}
	b.ReportMetric(float64(total), "B/document")
}

// BenchmarkStartWithoutStore measures the start of a process that receives all documents of the design size from one peer.
func BenchmarkStartWithoutStore(b *testing.B) {
	from := newHolder(b, mustDocuments(b, Design))
	total := 0
	for b.Loop() {
		total = exchangeHeartbeats(b, toucanreplicate.NewPeer(from), toucanreplicate.NewPeer(toucanreplicate.NewHolder()))
	}
	b.ReportMetric(float64(total), "B/start")
}

// BenchmarkIdleHeartbeat measures a heartbeat and its answer without changes, encoded and decoded on both sides.
func BenchmarkIdleHeartbeat(b *testing.B) {
	documents := mustDocuments(b, Design)
	one, other := toucanreplicate.NewPeer(newHolder(b, documents)), toucanreplicate.NewPeer(newHolder(b, documents))
	exchangeHeartbeats(b, one, other)
	bytes := 0
	for b.Loop() {
		bytes = exchangeHeartbeats(b, one, other)
	}
	b.ReportMetric(float64(bytes), "B/beat")
}

// BenchmarkReport measures the processing of a load report by the router and the member table, with 3,400 endpoints.
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

// BenchmarkChange measures the validation, encoding and write of a change at the design size, to a store without latency.
func BenchmarkChange(b *testing.B) {
	documents := mustDocuments(b, Design)
	store := toucanfakestore.New()
	ctx := context.Background()
	d := documents[0]
	body, err := d.Encode()
	assert.NilError(b, err)
	_, err = store.CompareAndSwap(ctx, toucanchange.Key(d.Path), body, 0)
	assert.NilError(b, err)
	holder := newHolder(b, documents)
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

// BenchmarkWatch measures the delivery of a change to a watcher, and the number of watch calls of the store that it takes.
func BenchmarkWatch(b *testing.B) {
	documents := mustDocuments(b, Design)
	store := toucanfakestore.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := toucanreplicate.NewHolder()
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
		d = withSmallChange(b, d, n)
		body, err := d.Encode()
		assert.NilError(b, err)
		revision, err = store.CompareAndSwap(ctx, toucanchange.Key(d.Path), body, revision)
		assert.NilError(b, err)
		awaitRevision(holder, d)
	}
	b.ReportMetric(float64(store.Counts().Watches)/float64(n), "watches/change")
}

func awaitRevision(h *toucanreplicate.Holder, d toucanrevision.Document) {
	for {
		changed := h.Changed()
		if h.RevisionOf(d.Path) >= d.Revision {
			return
		}
		<-changed
	}
}

// BenchmarkSubsetFleet measures the selection of the endpoints that one entry links to, for all services of the design size.
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

// openLinks opens n links with TLS over loopback and returns the control streams of their entry side. bytes counts what the
// entry side sends and receives.
func openLinks(tb testing.TB, n int, bytes *atomic.Int64) []*toucanwire.Stream {
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

// serveLinks accepts links and answers their heartbeats like a sidecar.
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
			answerHeartbeats(stream)
		}()
	}
}

func answerHeartbeats(stream *toucanwire.Stream) {
	for {
		beat := &toucanwire.Heartbeat{}
		if stream.Receive(beat) != nil {
			return
		}
		answer := &toucanwire.Heartbeat{Sequence: beat.Sequence, RevisionsDigest: 1 << 63, Load: loadReport(beat.Sequence)}
		_ = stream.Send(answer)
	}
}

// BenchmarkLink measures an idle heartbeat and its answer over a link with TLS on loopback, and their bytes in the TCP stream
// in both directions.
func BenchmarkLink(b *testing.B) {
	var bytes atomic.Int64
	stream := openLinks(b, 1, &bytes)[0]
	before, n := bytes.Load(), 0
	for b.Loop() {
		n++
		assert.NilError(b, stream.Send(&toucanwire.Heartbeat{Sequence: 1000, RevisionsDigest: 1 << 63}))
		assert.NilError(b, stream.Receive(&toucanwire.Heartbeat{}))
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(n), "B/beat")
}

// BenchmarkLinkMemory measures the memory of an open link, both sides together.
func BenchmarkLinkMemory(b *testing.B) {
	var bytes atomic.Int64
	const n = 200
	for b.Loop() {
		kept := retainedBytes(func() any {
			streams := openLinks(b, n, &bytes)
			for _, s := range streams {
				assert.NilError(b, s.Send(&toucanwire.Heartbeat{Sequence: 1}))
				assert.NilError(b, s.Receive(&toucanwire.Heartbeat{}))
			}
			return streams
		})
		b.ReportMetric(kept/n, "B/linkBothSides")
	}
}

// BenchmarkReportOnAnswer measures the encoded size of an answer event that contains only a load report.
func BenchmarkReportOnAnswer(b *testing.B) {
	bytes := 0
	for b.Loop() {
		bytes = proto.Size(&toucanwire.Event{Load: loadReport(100_000)})
	}
	b.ReportMetric(float64(bytes), "B/report")
}
