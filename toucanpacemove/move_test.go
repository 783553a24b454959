package toucanpacemove

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucangeneration"
	"toucanport/toucanmoveorder"
	"toucanport/toucanpace"
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

// twoPaces forecasts pauses beyond a bound of 180 ms everywhere but at the endpoint quick.
type twoPaces struct{ quick uint64 }

func (p twoPaces) Forecast(_ time.Time, endpoint uint64) (toucanpace.Forecast, bool) {
	if endpoint == p.quick {
		return toucanpace.Forecast{Pause: 80 * time.Millisecond}, true
	}
	return toucanpace.Forecast{Pause: 185 * time.Millisecond}, true
}

// busyPeers is a MoveCoordinator whose peers copy memory to an endpoint from a time on.
type busyPeers struct {
	noPeers
	endpoint uint64
	from     time.Time
}

func (p busyPeers) CopyingByPeer(now time.Time, endpoint uint64) bool {
	return !p.from.IsZero() && !now.Before(p.from) && endpoint == p.endpoint
}

// TestStreamMovesAwayFromPrompts has a slow endpoint read a prompt beside a long stream. The stream moves to the endpoint where prompts do
// it no harm, unless a peer's copy would delay it there: then it goes on where it is.
func TestStreamMovesAwayFromPrompts(t *testing.T) {
	for _, tc := range []struct {
		name string
		// busyAfter is when a peer begins to copy to the target; zero for never.
		busyAfter time.Duration
		moved     bool
	}{
		{"idle link", 0, true},
		{"busy before the first copy", time.Nanosecond, false},
		{"busy before the stop", interval + 150*time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				list := []toucanplace.Endpoint{
					{ID: "slow", Address: "slow", FailureDomain: "d", Service: "s", Slots: 8, MemoryTokens: 27000},
					{ID: "quick", Address: "quick", FailureDomain: "d", Service: "s", Slots: 8, MemoryTokens: 27000},
				}
				placer := toucanplace.NewPlacer("d", toucanplace.WithPaces(twoPaces{list[1].Key()}))
				placer.SetEndpoints(list)
				peers := busyPeers{endpoint: list[1].Key()}
				if tc.busyAfter > 0 {
					peers.from = time.Now().Add(tc.busyAfter)
				}
				mover := &slowMover{copyTime: 200 * time.Millisecond}
				cfg := toucangeneration.Config{Placer: placer, Moves: peers, Mover: mover, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope}
				r := toucangeneration.New(cfg)
				demand := toucanplace.Demand{Prompt: 3000, Output: 700, MaxGap: 180 * time.Millisecond}
				atSlow := func(e toucanplace.Endpoint) bool { return e.ID == "slow" }
				reservation, err := placer.Place(time.Now(), "s", demand, atSlow)
				assert.NilError(t, err)
				engine := &toucantraffic.Engine{Slots: 8, MemoryTokens: 27000, Moves: true, TokensPerEvent: 4}
				g := r.Begin(toucangeneration.Spec{ID: "g", Prompt: 3000, Estimate: 700, Engine: engine, MaxEventGap: demand.MaxGap, Arrived: time.Now()}, reservation)
				reservation.MarkPromptRead()
				g.Progress(1)
				_, err = placer.Place(time.Now(), "s", demand, atSlow)
				assert.NilError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				go New(cfg, r).Run(ctx)
				time.Sleep(interval + 700*time.Millisecond)
				synctest.Wait()
				assert.Equal(t, mover.stopped, tc.moved)
				cancel()
				r.End(g)
				synctest.Wait()
			})
		})
	}
}

// countingMover copies in copyTime and records how many copies were in progress at most.
type countingMover struct {
	copyTime time.Duration

	mu           sync.Mutex
	running, top int
}

// most returns how many copies were in progress at most.
func (m *countingMover) most() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.top
}

// add counts n copies more that are in progress.
func (m *countingMover) add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running += n
	m.top = max(m.top, m.running)
}

func (m *countingMover) Copy(context.Context, string, string, string, bool) (string, error) {
	m.add(1)
	time.Sleep(m.copyTime)
	m.add(-1)
	return "handle", nil
}

func (m *countingMover) Drop(context.Context, string, string) error { return nil }

// TestEndpointDrainsDuringAMoveByPace has the source begin to drain while a stream is copied for its pace. The stream leaves as any other
// one, and its memory is never copied twice at a time, which the endpoint would refuse.
func TestEndpointDrainsDuringAMoveByPace(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		list := []toucanplace.Endpoint{
			{ID: "slow", Address: "slow", FailureDomain: "d", Service: "s", Slots: 8, MemoryTokens: 27000},
			{ID: "quick", Address: "quick", FailureDomain: "d", Service: "s", Slots: 8, MemoryTokens: 27000},
		}
		placer := toucanplace.NewPlacer("d", toucanplace.WithPaces(twoPaces{list[1].Key()}))
		placer.SetEndpoints(list)
		mover := &countingMover{copyTime: 200 * time.Millisecond}
		cfg := toucangeneration.Config{Placer: placer, Moves: noPeers{}, Mover: mover, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope}
		r := toucangeneration.New(cfg)
		demand := toucanplace.Demand{Prompt: 3000, Output: 700, MaxGap: 180 * time.Millisecond}
		atSlow := func(e toucanplace.Endpoint) bool { return e.ID == "slow" }
		reservation, err := placer.Place(time.Now(), "s", demand, atSlow)
		assert.NilError(t, err)
		engine := &toucantraffic.Engine{Slots: 8, MemoryTokens: 27000, Moves: true, TokensPerEvent: 4}
		g := r.Begin(toucangeneration.Spec{ID: "g", Prompt: 3000, Estimate: 700, Engine: engine, MaxEventGap: demand.MaxGap, Arrived: time.Now()}, reservation)
		reservation.MarkPromptRead()
		g.Progress(1)
		_, err = placer.Place(time.Now(), "s", demand, atSlow)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go New(cfg, r).Run(ctx)
		go r.Move(ctx)
		time.Sleep(interval + 100*time.Millisecond)
		leaving := []toucanplace.Endpoint{list[0], list[1]}
		leaving[0].Leaving = true
		placer.SetEndpoints(leaving)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		h, err := g.AwaitHandover(ctx)
		assert.NilError(t, err)
		assert.Equal(t, h.Reservation.Endpoint.ID, "quick")
		assert.Equal(t, mover.most(), 1)
		cancel()
		r.End(g)
		synctest.Wait()
	})
}
