package toucanreplicate_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanchange"
	"toucanport/toucanfakestore"
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanwatch"
	"toucanport/toucanwire"
)

const (
	beatInterval = 500 * time.Millisecond
	linkDelay    = time.Millisecond
	document     = "/teams/laval"
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// node is one instance: a holder and the context of its goroutines.
type node struct {
	holder *toucanreplicate.Holder
	stop   context.CancelFunc
	ctx    context.Context
}

// mesh links every entry with every sidecar, as the control streams do.
type mesh struct {
	t        testing.TB
	store    *toucanfakestore.Memory
	wg       sync.WaitGroup
	mu       sync.Mutex
	entries  map[string]*node
	sidecars map[string]*node
	links    bool
	accepted uint64
	// acceptedAt is when the store accepted the last change.
	acceptedAt time.Time
}

func newMesh(t testing.TB) *mesh {
	return &mesh{
		t: t, store: toucanfakestore.New(), links: true,
		entries: make(map[string]*node), sidecars: make(map[string]*node),
	}
}

func newNode() *node {
	ctx, stop := context.WithCancel(context.Background())
	return &node{holder: toucanreplicate.NewHolder(), ctx: ctx, stop: stop}
}

func (m *mesh) startEntry(name string) {
	e := newNode()
	m.mu.Lock()
	m.entries[name] = e
	sidecars := m.all(m.sidecars)
	m.mu.Unlock()
	watcher := toucanwatch.New(m.store, toucanchange.KeyPrefix, e.holder, discardLogger())
	m.wg.Go(func() { watcher.Run(e.ctx) })
	m.wg.Go(func() { m.checkMonotonic(e) })
	for _, s := range sidecars {
		m.wg.Go(func() { m.link(e, s) })
	}
}

func (m *mesh) startSidecar(name string) {
	s := newNode()
	m.mu.Lock()
	m.sidecars[name] = s
	entries := m.all(m.entries)
	m.mu.Unlock()
	m.wg.Go(func() { m.checkMonotonic(s) })
	for _, e := range entries {
		m.wg.Go(func() { m.link(e, s) })
	}
}

func (m *mesh) all(nodes map[string]*node) []*node {
	var out []*node
	for _, n := range nodes {
		out = append(out, n)
	}
	return out
}

// link exchanges heartbeats until either side stops.
func (m *mesh) link(e, s *node) {
	entryPeer, sidecarPeer := toucanreplicate.NewPeer(e.holder), toucanreplicate.NewPeer(s.holder)
	for e.ctx.Err() == nil && s.ctx.Err() == nil {
		changed := e.holder.Changed()
		if m.linksUp() && m.exchange(entryPeer, sidecarPeer) {
			continue
		}
		select {
		case <-changed:
		case <-time.After(beatInterval):
		case <-e.ctx.Done():
		case <-s.ctx.Done():
		}
	}
}

func (m *mesh) linksUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links
}

func (m *mesh) exchange(from, to *toucanreplicate.Peer) bool {
	time.Sleep(linkDelay)
	send(m.t, from, to)
	time.Sleep(linkDelay)
	return send(m.t, to, from)
}

func send(t testing.TB, from, to *toucanreplicate.Peer) bool {
	beat := &toucanwire.Heartbeat{}
	assert.Check(t, from.Fill(beat) == nil)
	again, err := to.Receive(beat)
	assert.Check(t, err == nil, "%v", err)
	return again
}

// checkMonotonic fails the test when an instance goes back to a lower revision.
func (m *mesh) checkMonotonic(n *node) {
	var last uint64
	for {
		changed := n.holder.Changed()
		r := n.holder.RevisionOf(document)
		assert.Check(m.t, r >= last, "revision %d after %d", r, last)
		last = r
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

// change makes an entry accept a change and returns when the entry would answer the author: after a peer
// confirms the revision, or after a second.
func (m *mesh) change(name string) error {
	e := m.entries[name]
	w := toucanchange.New(m.store, e.holder)
	ctx := context.Background()
	d, err := w.Read(ctx, document)
	if err != nil {
		return err
	}
	r, err := w.Apply(ctx, toucanchange.Request{
		ID: fmt.Sprintf("c%d", d.Revision+1), Document: document, Base: d.Revision, Author: "laval",
		Edits: edits(m.t, d),
	})
	if err != nil {
		return err
	}
	m.accepted, m.acceptedAt = r.Revision, time.Now()
	_, err = e.holder.Offer(r.Document)
	if err == nil {
		_ = e.holder.AwaitReplica(ctx, toucanreplicate.Revision{Path: document, Revision: r.Revision}, time.Second)
	}
	return err
}

const teamTOML = `
[services.redacteur]
kind = "generation"
model = "m"
[endpoints.e1]
service = "redacteur"
address = "10.0.0.1:7000"
failureDomain = "qc-east-a"
`

func edits(t testing.TB, d toucanrevision.Document) []toucanrevision.Edit {
	if d.Revision > 0 {
		return []toucanrevision.Edit{{
			Path:      toucansettings.Path{Document: document, Group: toucansettings.GroupWorkspaces, Name: "dealers"},
			Operation: toucanrevision.OpReplace,
			Body:      fmt.Sprintf("services = [\"redacteur\"]\ntokensPerMinute = %d\n", d.Revision),
		}}
	}
	first, err := toucanrevision.ParseDeclaration("team", document, []byte(teamTOML))
	assert.NilError(t, err)
	out, err := toucanrevision.Diff(d, first)
	assert.NilError(t, err)
	return out
}

// lagging returns the number of live instances that hold less than the last accepted revision.
func (m *mesh) lagging() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lagging int
	for _, n := range append(m.all(m.entries), m.all(m.sidecars)...) {
		if n.holder.RevisionOf(document) < m.accepted {
			lagging++
		}
	}
	return lagging
}

// awaitInForce waits until no instance lags and returns the time since acceptance. It returns false when some
// instance still lags after the bound.
func (m *mesh) awaitInForce(bound time.Duration) (time.Duration, bool) {
	for start := time.Now(); time.Since(start) <= bound; time.Sleep(10 * time.Millisecond) {
		if m.lagging() == 0 {
			return time.Since(m.acceptedAt), true
		}
	}
	return time.Since(m.acceptedAt), false
}

func (m *mesh) stopNode(nodes map[string]*node, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes[name].stop()
	delete(nodes, name)
}

func (m *mesh) close() {
	m.mu.Lock()
	for _, n := range append(m.all(m.entries), m.all(m.sidecars)...) {
		n.stop()
	}
	m.mu.Unlock()
	m.wg.Wait()
}
