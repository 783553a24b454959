package toucanlink_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanfakenet"
	"toucanport/toucanlink"
	"toucanport/toucanspread"
	"toucanport/toucanwire"
)

const (
	sidecarAddress = "10.0.1.1:7000"
	// stallBound is the time within which a stalled link must be found.
	stallBound = 2 * time.Second
)

// deaf takes heartbeats and tells nothing.
type deaf struct{}

func (deaf) Report(*toucanwire.Hello, *toucanwire.LoadReport) {}
func (deaf) Uses(string) []*toucanwire.EntryUse               { return nil }
func (deaf) TakeUses([]*toucanwire.EntryUse)                  {}

// serve answers the heartbeats of one link and leaves every other request open.
func serve(ln net.Listener) {
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
		go answer(stream)
	}
}

func answer(stream *toucanwire.Stream) {
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

func TestStalledLinkIsFound(t *testing.T) {
	for _, tc := range []struct {
		name string
		// interval is the time between heartbeats, as it is with so many links.
		interval time.Duration
		busy     bool
		within   time.Duration
	}{
		{name: "few links", interval: 500 * time.Millisecond, within: stallBound},
		{name: "many links, open request", interval: 2500 * time.Millisecond, busy: true, within: stallBound},
		{name: "many links, no request", interval: 2500 * time.Millisecond, within: 2500*time.Millisecond + toucanlink.HeartbeatTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// Yamux keeps timers in a pool of the whole process; two collections empty it between bubbles.
			runtime.GC()
			runtime.GC()
			synctest.Test(t, func(t *testing.T) {
				network := toucanfakenet.NewNetwork()
				ln, err := network.Listen(sidecarAddress)
				assert.NilError(t, err)
				go serve(ln)
				pool := toucanlink.NewPool(toucanlink.Config{
					Dial:     network.Dialer("10.0.0.1"),
					Hello:    &toucanwire.Hello{Role: "entry", Instance: "n1", BootId: 2},
					Spread:   toucanspread.NewHolder(),
					Handler:  deaf{},
					Interval: func(int) time.Duration { return tc.interval },
					Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
				})
				peer, err := pool.Get(context.Background(), sidecarAddress)
				assert.NilError(t, err)
				if tc.busy {
					_, err := peer.Open(&toucanwire.Open{Request: &toucanwire.Open_Cancel{Cancel: &toucanwire.Cancel{}}})
					assert.NilError(t, err)
				}
				// The stall begins right behind a heartbeat, when the next one is farthest.
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
