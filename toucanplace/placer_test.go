package toucanplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDeferredEndpointGetsNothing checks that an endpoint that asked for no requests is not chosen for requests, copies and
// backups until the time has passed, and that a new start at its id has not asked.
func TestDeferredEndpointGetsNothing(t *testing.T) {
	now := time.Now()
	p := NewPlacer("z")
	list := []Endpoint{{ID: "a", Service: "s", Slots: 4, MemoryTokens: 1000, StartMillis: 1}, {ID: "b", Service: "s", Slots: 4, MemoryTokens: 1000, StartMillis: 1}}
	p.SetEndpoints(list)
	p.Defer(now, "a", time.Second)
	for range 3 {
		r, err := p.Place(now, "s", Demand{Prompt: 10}, nil)
		assert.NilError(t, err)
		assert.Equal(t, r.Endpoint.ID, "b")
	}
	_, err := p.Backup(now, list[1], Demand{Prompt: 10})
	assert.ErrorIs(t, err, ErrFull)
	_, err = p.PlaceCopy(now, list[1], Demand{Prompt: 10}, func(e Endpoint) bool { return e.ID != "b" })
	assert.ErrorIs(t, err, ErrDeferred)
	assert.Equal(t, p.DeferredFor(now, "s"), time.Duration(0))
	p.Defer(now, "b", 3*time.Second)
	assert.Equal(t, p.DeferredFor(now, "s"), time.Second)
	_, err = p.Place(now, "s", Demand{}, nil)
	assert.ErrorIs(t, err, ErrDeferred)
	assert.ErrorIs(t, err, ErrFull)
	later := now.Add(1100 * time.Millisecond)
	r, err := p.Place(later, "s", Demand{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.Endpoint.ID, "a")
	list[1].StartMillis = 2
	p.SetEndpoints(list)
	assert.Equal(t, p.DeferredFor(now, "s"), time.Duration(0))
}

// TestShorterDeferralTakesNoLongerOneBack guards against requests to an endpoint in a time for which it wants none (BUDGET): an answer to a
// request in flight names the end of that time in whole seconds, rounded down.
func TestShorterDeferralTakesNoLongerOneBack(t *testing.T) {
	now := time.Now()
	p := NewPlacer("z")
	p.SetEndpoints([]Endpoint{{ID: "a", Service: "s", Slots: 4, MemoryTokens: 1000, StartMillis: 1}})
	p.Defer(now, "a", 20*time.Second)
	p.Defer(now.Add(100*time.Millisecond), "a", 19*time.Second)
	assert.Equal(t, p.DeferredFor(now, "s"), 20*time.Second)
	p.Defer(now.Add(2*time.Second), "a", 20*time.Second)
	assert.Equal(t, p.DeferredFor(now, "s"), 22*time.Second)
}

// TestLeavingWordHoldsForIncarnation checks that an endpoint that said that it drains is not used again when it is listed
// anew, until it starts again.
func TestLeavingWordHoldsForIncarnation(t *testing.T) {
	now := time.Now()
	p := NewPlacer("z")
	list := []Endpoint{{ID: "a", Service: "s", Slots: 4, StartMillis: 1}}
	p.SetEndpoints(list)
	departed := p.Departed()
	assert.Assert(t, p.MarkLeaving(now, "a"))
	assert.Assert(t, !p.MarkLeaving(now, "a"))
	<-departed
	assert.DeepEqual(t, p.SaidLeaving(), []uint64{list[0].Key()})
	p.SetEndpoints(nil)
	p.SetEndpoints(list)
	assert.Assert(t, !p.IsAvailable("a"))
	list[0].StartMillis = 2
	p.SetEndpoints(list)
	assert.Assert(t, p.IsAvailable("a"))
	p.forgetLeaving(now.Add(2 * leavingMemory))
	assert.Equal(t, len(p.saidLeaving), 0)
}
