package toucangeneration

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
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

// TestMoveOrderHoldsWithStaleAnnouncements gives three entries one generation each, of equal size, at a draining
// endpoint. Each entry compares its own generation with older announcements of the others. If sizes grew after the
// announcement, every entry would wait for the others; exactly one must move its generation first.
func TestMoveOrderHoldsWithStaleAnnouncements(t *testing.T) {
	began := time.Now()
	var generations []*Generation
	for i := range 3 {
		spec := Spec{ID: fmt.Sprint("request", i), Prompt: 10, Engine: &toucantraffic.Engine{}}
		g := &Generation{spec: spec, reservation: &toucanplace.Reservation{Endpoint: toucanplace.Endpoint{ID: "leaving"}}, estimate: 1000}
		g.firstEventAt, g.events = began.Add(-time.Second), 5
		generations = append(generations, g)
	}
	announced := moveRequests(generations)
	for _, g := range generations {
		g.events += 8
	}
	first := 0
	for i, g := range generations {
		ahead := false
		for j := range announced {
			ahead = ahead || j != i && toucanmoveorder.Before(announced[j], g.moveRequest(began.Add(time.Second)))
		}
		if !ahead {
			first++
		}
	}
	assert.Equal(t, first, 1)
	// After a move, the size at the new endpoint counts.
	generations[0].ContinueAt(&toucanplace.Reservation{Endpoint: toucanplace.Endpoint{ID: "next"}})
	assert.Equal(t, generations[0].moveRequest(began.Add(time.Second)).Tokens, 23)
}

// peersAhead is a MoveCoordinator whose peers always have generations that precede the own ones.
type peersAhead struct{ noPeers }

func (peersAhead) Ahead(time.Time, uint64, toucanmoveorder.Generation) bool { return true }

// TestTurnIsAwaitedWhilePeersMakeProgress has a peer move its generations off a draining endpoint for longer than maxTurnWait. The own one
// waits for as long as they leave, so that no two copies share the link, and then for maxTurnWait.
func TestTurnIsAwaitedWhilePeersMakeProgress(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const interval, ahead = maxTurnWait * 2 / 3, 5
		list := []toucanplace.Endpoint{{ID: "a", Address: "a", Service: "s", Slots: 8, MemoryTokens: 27000}, {ID: "b", Address: "b", Service: "s", Slots: 8, MemoryTokens: 27000}}
		placer := toucanplace.NewPlacer("d")
		placer.SetEndpoints(list)
		mover := &countingMover{}
		r := New(Config{Placer: placer, Moves: peersAhead{}, Mover: mover, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		reservation, err := placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 3000, Output: 700}, func(e toucanplace.Endpoint) bool { return e.ID == "a" })
		assert.NilError(t, err)
		g := r.Begin(Spec{ID: "g", Prompt: 3000, Estimate: 700, Engine: &toucantraffic.Engine{Moves: true}, Arrived: time.Now()}, reservation)
		list = append([]toucanplace.Endpoint(nil), list...)
		list[0].Leaving = true
		placer.SetEndpoints(list)
		ctx, cancel := context.WithCancel(t.Context())
		go r.Move(ctx)
		for left := ahead; left > 0; left-- {
			placer.Observe(time.Now(), "peer", map[uint64]toucanplace.Use{list[0].Key(): {Requests: left}})
			time.Sleep(interval)
			synctest.Wait()
			assert.Equal(t, mover.most(), 0)
		}
		time.Sleep(maxTurnWait)
		synctest.Wait()
		assert.Equal(t, mover.most(), 1)
		cancel()
		r.End(g)
		synctest.Wait()
	})
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
