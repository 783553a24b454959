package toucangeneration

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanmoveorder"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

// slowMover copies in copyTime and records whether a generation was stopped.
type slowMover struct {
	copyTime time.Duration
	stopped  bool
}

func (m *slowMover) Copy(ctx context.Context, _, _, _ string, last bool) (string, error) {
	m.stopped = m.stopped || last
	select {
	case <-time.After(m.copyTime):
		return "handle", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (m *slowMover) Drop(context.Context, string, string) error { return nil }

// noPeers is a MoveCoordinator of the only entry.
type noPeers struct{}

func (noPeers) Announce(uint64, []toucanmoveorder.Generation) {}
func (noPeers) Ahead(time.Time, uint64, toucanmoveorder.Generation) bool {
	return false
}
func (noPeers) BeginCopy(uint64) func()        { return func() {} }
func (noPeers) Copying(time.Time, uint64) bool { return false }
func (noPeers) CopyingByPeer(time.Time, uint64) bool {
	return false
}
func (noPeers) StoreUnreachable(time.Time) bool { return false }
func (noPeers) Changed() <-chan struct{}        { return nil }

// TestGenerationIsNotStoppedForAMoveThatOutlastsTheProcess guards against a stream that a stopping entry has stopped at its engine for a move
// and cuts before it goes on (LOST).
func TestGenerationIsNotStoppedForAMoveThatOutlastsTheProcess(t *testing.T) {
	const copyTime = copyTimeout / 2
	for _, tc := range []struct {
		name string
		// left is the time that is left when the endpoint begins to drain; zero for an entry that does not stop.
		left    time.Duration
		stopped bool
	}{
		{"no stop", 0, true},
		{"time for the move", 2 * copyTimeout, true},
		{"no time for the move", copyTimeout / 2, false},
		{"no time to go on", copyTimeout + resumeTime/2, false},
		{"no time left after the first copy", copyTimeout + resumeTime + copyTime/2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				placer := toucanplace.NewPlacer("d1")
				engine := &toucantraffic.Engine{Slots: 4, MemoryTokens: 1000, Moves: true}
				mover := &slowMover{copyTime: copyTime}
				r := New(Config{Placer: placer, Moves: noPeers{}, Mover: mover, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
				endpoints := func(leaving bool) {
					placer.SetEndpoints([]toucanplace.Endpoint{
						{ID: "a", Address: "a", FailureDomain: "d1", Service: "s", Slots: 4, MemoryTokens: 1000, Leaving: leaving},
						{ID: "b", Address: "b", FailureDomain: "d1", Service: "s", Slots: 4, MemoryTokens: 1000},
					})
				}
				endpoints(false)
				reservation, err := placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 10, Output: 10}, func(e toucanplace.Endpoint) bool { return e.ID == "a" })
				assert.NilError(t, err)
				g := r.Begin(Spec{ID: "g", Prompt: 10, Estimate: 10, Engine: engine}, reservation)
				g.Progress(1)
				if tc.left > 0 {
					r.SetEnd(time.Now().Add(tc.left))
				}
				ctx, cancel := context.WithTimeout(t.Context(), 4*copyTimeout)
				defer cancel()
				endpoints(true)
				done := make(chan struct{})
				go func() {
					defer close(done)
					r.Move(ctx)
				}()
				time.Sleep(2 * copyTimeout)
				r.End(g)
				cancel()
				<-done
				synctest.Wait()
				assert.Equal(t, mover.stopped, tc.stopped)
			})
		})
	}
}
