package toucangeneration

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"toucanport/toucanplace"
)

// TestMoveThatComesTooLateChangesNothing guards against a move that acts on a stream which broke meanwhile and goes on at another endpoint:
// the stream must not be stopped for it, and the reservation of its target must not be kept until the stream ends.
func TestMoveThatComesTooLateChangesNothing(t *testing.T) {
	placer := toucanplace.NewPlacer("d1")
	placer.SetEndpoints([]toucanplace.Endpoint{
		{ID: "a", Service: "s", Slots: 4, MemoryTokens: 1000}, {ID: "b", Service: "s", Slots: 4, MemoryTokens: 1000}, {ID: "c", Service: "s", Slots: 4, MemoryTokens: 1000},
	})
	place := func(id string) *toucanplace.Reservation {
		r, err := placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 10, Output: 10}, func(e toucanplace.Endpoint) bool { return e.ID == id })
		assert.NilError(t, err)
		return r
	}
	r := New(Config{Placer: placer, Moves: noPeers{}, Mover: &slowMover{}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	g := r.Begin(Spec{ID: "g", Prompt: 10, Estimate: 10}, place("a"))
	late := place("c")
	assert.Assert(t, g.deliverHandover("a", Handover{Reservation: late}))
	g.ContinueAt(place("b"))
	_, kept := placer.OwnUse()[late.Endpoint.Key()]
	assert.Assert(t, !kept)
	assert.Assert(t, !g.markStopping("a"))
	assert.Assert(t, !g.deliverHandover("a", Handover{}))
	assert.Assert(t, g.markStopping("b"))
}
