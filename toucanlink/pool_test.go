package toucanlink_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakenet"
	"toucanport/toucanlink"
	"toucanport/toucanreplicate"
	"toucanport/toucanwire"
)

const (
	sidecarAddress = "10.0.1.1:7000"
	// stallBound is the maximum time in which a stall must be detected.
	stallBound = 2 * time.Second
)

// discardHandler ignores load reports and reports no use.
type discardHandler struct{}

func (discardHandler) Report(*toucanwire.Hello, *toucanwire.LoadReport) {}
func (discardHandler) Uses(string) []*toucanwire.EntryUse               { return nil }
func (discardHandler) ApplyUses([]*toucanwire.EntryUse)                 {}

// serveSidecar accepts one link and serves each of its streams.
func serveSidecar(ln net.Listener, serve func(*toucanwire.Stream)) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	link, err := toucanwire.Accept(context.Background(), conn, &toucanwire.Hello{Role: "sidecar", Instance: "s1", BootId: 1})
	if err != nil {
		return
	}
	for {
		stream, err := link.AcceptStream()
		if err != nil {
			return
		}
		go serve(stream)
	}
}

// answerHeartbeats answers heartbeats and leaves every other request unanswered.
func answerHeartbeats(stream *toucanwire.Stream) {
	open := &toucanwire.Open{}
	if stream.Receive(open) != nil || open.GetControl() == nil {
		return
	}
	for {
		beat := &toucanwire.Heartbeat{}
		if stream.Receive(beat) != nil || stream.Send(&toucanwire.Heartbeat{Sequence: beat.Sequence}) != nil {
			return
		}
	}
}

// TestLinkOfABusyPeerIsKept guards against streams that are cut since the sidecar answers heartbeats late, while their own bytes arrive. Before
// answerWait, the link was closed after HeartbeatTimeout.
func TestLinkOfABusyPeerIsKept(t *testing.T) {
	const answerDelay = toucanlink.HeartbeatTimeout + 500*time.Millisecond
	const eventInterval = 100 * time.Millisecond
	runtime.GC() // As in TestStalledLinkIsDetected.
	runtime.GC()
	toucanbubble.Test(t, func(t *testing.T) {
		network := toucanfakenet.NewNetwork()
		ln, err := network.Listen(sidecarAddress)
		assert.NilError(t, err)
		go serveSidecar(ln, func(stream *toucanwire.Stream) { serveBusily(stream, answerDelay, eventInterval) })
		pool := newPool(network, func(int) time.Duration { return 500 * time.Millisecond })
		peer, err := pool.Get(context.Background(), sidecarAddress)
		assert.NilError(t, err)
		stream, err := peer.Open(&toucanwire.Open{Request: &toucanwire.Open_Cancel{Cancel: &toucanwire.Cancel{}}})
		assert.NilError(t, err)
		for began := time.Now(); time.Since(began) < time.Minute; {
			assert.NilError(t, stream.Receive(&toucanwire.Event{}))
		}
		pool.CloseAll()
		network.Close()
		ln.Close()
		time.Sleep(time.Minute)
	})
}

// serveBusily answers heartbeats late, and sends events on every other stream.
func serveBusily(stream *toucanwire.Stream, answerDelay, eventInterval time.Duration) {
	open := &toucanwire.Open{}
	if stream.Receive(open) != nil {
		return
	}
	if open.GetControl() == nil {
		for stream.Send(&toucanwire.Event{}) == nil {
			time.Sleep(eventInterval)
		}
		return
	}
	for {
		beat := &toucanwire.Heartbeat{}
		if stream.Receive(beat) != nil {
			return
		}
		time.Sleep(answerDelay)
		if stream.Send(&toucanwire.Heartbeat{Sequence: beat.Sequence}) != nil {
			return
		}
	}
}

// newPool returns a pool of links in a network.
func newPool(network *toucanfakenet.Network, interval func(int) time.Duration) *toucanlink.Pool {
	return toucanlink.NewPool(toucanlink.Config{
		Dial:     network.Dialer("10.0.0.1"),
		Hello:    &toucanwire.Hello{Role: "entry", Instance: "n1", BootId: 2},
		Replica:  toucanreplicate.NewHolder(),
		Handler:  discardHandler{},
		Interval: interval,
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func TestStalledLinkIsDetected(t *testing.T) {
	for _, tc := range []struct {
		name string
		// interval is the time between heartbeats; it grows with the number of links.
		interval time.Duration
		busy     bool
		within   time.Duration
	}{
		{name: "few links", interval: 500 * time.Millisecond, within: stallBound},
		{name: "many links, open request", interval: 2500 * time.Millisecond, busy: true, within: stallBound},
		{name: "many links, no request", interval: 2500 * time.Millisecond, within: 2500*time.Millisecond + toucanlink.HeartbeatTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// Yamux keeps timers in a global sync.Pool. A timer of one synctest bubble must not be used in another
			// one; two garbage collections empty the pool.
			runtime.GC()
			runtime.GC()
			toucanbubble.Test(t, func(t *testing.T) {
				network := toucanfakenet.NewNetwork()
				ln, err := network.Listen(sidecarAddress)
				assert.NilError(t, err)
				go serveSidecar(ln, answerHeartbeats)
				pool := newPool(network, func(int) time.Duration { return tc.interval })
				peer, err := pool.Get(context.Background(), sidecarAddress)
				assert.NilError(t, err)
				if tc.busy {
					_, err := peer.Open(&toucanwire.Open{Request: &toucanwire.Open_Cancel{Cancel: &toucanwire.Cancel{}}})
					assert.NilError(t, err)
				}
				// The stall begins right after a heartbeat, the worst case for its detection.
				time.Sleep(10*tc.interval + 10*time.Millisecond)
				stalled := time.Now()
				link := toucanfakenet.LinkName{From: "10.0.0.1", To: sidecarAddress}
				network.Set(link, toucanfakenet.LinkState{RequestsStalled: true, RepliesStalled: true})
				<-peer.Done()
				assert.Assert(t, time.Since(stalled) <= tc.within, "%s", time.Since(stalled))
				pool.CloseAll()
				network.Set(link, toucanfakenet.LinkState{})
				network.Close()
				ln.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
