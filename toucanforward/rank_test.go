package toucanforward

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanbubble"
	"toucanport/toucanplace"
	"toucanport/toucanrank"
	"toucanport/toucanrefusal"
	"toucanport/toucantraffic"
)

var (
	rankService = toucantraffic.Service{Name: "s", Engine: &toucantraffic.Engine{Slots: 24, MemoryTokens: 10000}}
	shortRoute  = toucantraffic.Route{Name: "short", Goal: time.Second}
	longRoute   = toucantraffic.Route{Name: "long", Goal: 4 * time.Second}
)

// newRankServer returns a server with one endpoint, of whose memory 4,000 tokens are taken, that knows of 1 short request a second
// and of long ones.
func newRankServer() (*Server, *toucanrank.Table) {
	ranks := toucanrank.NewTable()
	s := New(Config{Placer: toucanplace.NewPlacer("d1"), Log: slog.New(slog.DiscardHandler), Ranks: ranks})
	s.placer.SetEndpoints([]toucanplace.Endpoint{{ID: "a", Service: "s", Slots: 24, MemoryTokens: 10000}})
	running, err := s.placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 2000, Output: 2000}, nil)
	if err != nil {
		panic(err)
	}
	running.MarkPromptRead()
	short, long := newRankJob(shortRoute, 2000, 10), newRankJob(longRoute, 3000, 1000)
	for range 2 {
		s.rooms.Arrived(short.room())
	}
	s.rooms.Ended(short.room(), toucanrank.Times{Work: 300 * time.Millisecond, Hold: 500 * time.Millisecond})
	s.rooms.Arrived(long.room())
	s.rooms.Ended(long.room(), toucanrank.Times{Work: time.Second, Hold: 8 * time.Second})
	time.Sleep(100 * time.Millisecond) // The sums of flows are some ms old.
	return s, ranks
}

func newRankJob(route toucantraffic.Route, prompt, output int) *job {
	now := time.Now()
	return &job{
		Request: Request{ID: fmt.Sprint(route.Name, now), Prompt: prompt}, route: route, service: rankService, mixed: true, arrived: now,
		deadline: now.Add(39 * time.Second), demand: toucanplace.Demand{Prompt: prompt, Output: output}, body: &toucanbody.Body{},
	}
}

// TestLongRequestLeavesRoom checks that a long request waits while a short one gets the room, and is placed in time for its goal.
func TestLongRequestLeavesRoom(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s, _ := newRankServer()
		long := newRankJob(longRoute, 4000, 1000)
		placed := make(chan error, 1)
		go func() {
			_, err := s.place(t.Context(), long)
			placed <- err
		}()
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(placed), 0, "the long request takes the room")
		short := newRankJob(shortRoute, 2000, 10)
		reservation, err := s.place(t.Context(), short)
		assert.NilError(t, err)
		assert.Equal(t, short.placed, short.arrived, "the short request waits")
		reservation.Done(time.Now(), toucanplace.OutcomeGood)
		assert.NilError(t, <-placed)
		held := time.Since(long.arrived)
		assert.Assert(t, held > time.Second && held < longRoute.Goal, "held for %v", held)
	})
}

// TestHopelessRequestIsRejected checks that a request is rejected at once if the work that waits before it takes longer than it may
// wait, and that its caller is told to come back within a third of its time.
func TestHopelessRequestIsRejected(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s, ranks := newRankServer()
		ranks.Observe(time.Now(), "peer", []toucanrank.Row{{Service: toucanrank.Key("s"), Flow: toucanrank.Flow{
			Route: toucanrank.Key("long"), PerSecond: 10, Tokens: 5000, Hold: 8 * time.Second, Goal: 4 * time.Second,
			Waiting: 40, WaitingTokens: 200000, Oldest: 5 * time.Second,
		}}})
		time.Sleep(100 * time.Millisecond)
		long := newRankJob(longRoute, 4000, 1000)
		_, err := s.place(t.Context(), long)
		assert.Assert(t, errors.Is(err, toucanrefusal.ErrNoRoomInTime), "%v", err)
		assert.Equal(t, time.Since(long.arrived), time.Duration(0))
		r := toucanrefusal.OfPlacement(t.Context(), err, false, s.delayFor(long, err))
		assert.Equal(t, r.Status, 503)
		assert.Equal(t, r.Reason, toucanrefusal.ReasonHopeless)
		assert.Assert(t, r.RetryAfter > toucanrefusal.RetryAfterFull && r.RetryAfter <= 13*time.Second, "come back after %v", r.RetryAfter)
	})
}

// TestRequestsOfOneKindAreServedAsBefore checks that a long request takes the room at once where the requests of the service don't
// differ.
func TestRequestsOfOneKindAreServedAsBefore(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s, _ := newRankServer()
		long := newRankJob(longRoute, 4000, 1000)
		long.mixed = false
		_, err := s.place(t.Context(), long)
		assert.NilError(t, err)
		assert.Equal(t, long.placed, long.arrived)
	})
}
