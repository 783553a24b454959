package toucanreplicate_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanchange"
	"toucanport/toucanfakestore"
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanstore"
	"toucanport/toucanwatch"
)

// TestWatchStaysWithinCallBudget counts the store calls that one watcher makes in a minute, with and without
// documents, through the client and directly.
func TestWatchStaysWithinCallBudget(t *testing.T) {
	for _, documents := range []int{0, 1} {
		for _, direct := range []bool{true, false} {
			t.Run(fmt.Sprintf("documents=%d,direct=%v", documents, direct), func(t *testing.T) {
				toucanbubble.Test(t, func(t *testing.T) { countCalls(t, documents, direct) })
			})
		}
	}
}

func countCalls(t *testing.T, documents int, direct bool) {
	memory := toucanfakestore.New(toucanfakestore.WithWait(toucanstore.MaxWait))
	var store toucanwatch.Store = memory
	if !direct {
		transport, stop := memory.Pipe()
		defer stop()
		store = toucanstore.NewClient("http://store", toucanstore.WithTransport(transport))
	}
	if documents > 0 {
		putDocument(t, memory, document, 1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := toucanwatch.New(store, toucanchange.KeyPrefix, toucanreplicate.NewHolder(), discardLogger())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(time.Minute)
	counts := memory.Counts()
	const reads = 2
	bound := reads + int64(documents+1)*int64(time.Minute/toucanstore.MaxWait+2)
	assert.Assert(t, counts.Watches+counts.Reads <= bound, "%+v, bound %d", counts, bound)
}

// putDocument writes a valid document with the given revision to the store.
func putDocument(t *testing.T, store *toucanfakestore.Memory, path string, revision uint64) toucanrevision.Document {
	d, err := toucanrevision.ParseDeclaration(path, path, []byte(teamTOML))
	assert.NilError(t, err)
	d.Revision = revision
	body, err := d.Encode()
	assert.NilError(t, err)
	key := toucanchange.Key(path)
	v, _ := store.Get(context.Background(), key)
	_, err = store.CompareAndSwap(context.Background(), key, body, v.Revision)
	assert.NilError(t, err)
	return d
}

// TestSweepFindsChangeOfUnwatchedDocument checks that a watcher without assigned documents and without peers still
// finds a change, by its periodic reads.
func TestSweepFindsChangeOfUnwatchedDocument(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		store := toucanfakestore.New()
		putDocument(t, store, document, 1)
		h := toucanreplicate.NewHolder()
		nothing := toucanwatch.WithAssigned(func(string) bool { return false })
		w := toucanwatch.New(store, toucanchange.KeyPrefix, h, discardLogger(), nothing)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		assert.Equal(t, h.RevisionOf(document), uint64(1))
		putDocument(t, store, document, 2)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, h.RevisionOf(document), uint64(2))
		assert.Equal(t, store.Counts().Watches, int64(0))
		cancel()
		<-done
	})
}

// TestDocumentIsPulledFromOnePeer links an empty holder to three peers that all hold the document. Only one peer
// is sent a request, and the next one takes over when its link closes.
func TestDocumentIsPulledFromOnePeer(t *testing.T) {
	d, err := toucanrevision.ParseDeclaration("team", document, []byte(teamTOML))
	assert.NilError(t, err)
	d.Revision = 1
	fresh := toucanreplicate.NewHolder()
	requests := 0
	var own, theirs []*toucanreplicate.Peer
	for range 3 {
		h := toucanreplicate.NewHolder()
		_, err := h.Offer(d)
		assert.NilError(t, err)
		own, theirs = append(own, toucanreplicate.NewPeer(fresh)), append(theirs, toucanreplicate.NewPeer(h))
	}
	for i := range own {
		if send(t, theirs[i], own[i]) {
			requests++
		}
	}
	assert.Equal(t, requests, 1)
	own[0].Close()
	assert.Assert(t, send(t, theirs[1], own[1]))
	for range 3 {
		send(t, own[1], theirs[1])
		send(t, theirs[1], own[1])
	}
	assert.Equal(t, fresh.RevisionOf(document), uint64(1))
	assert.Equal(t, toucansettings.TeamOf(document), "laval")
}
