package toucanplace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newDrainingPlacer returns one of several equal placers: 8 endpoints drain, one has just joined and is empty, and 20 hold this many tokens.
func newDrainingPlacer(held int) (*Placer, []Endpoint) {
	p := NewPlacer("d1")
	var list, draining []Endpoint
	for i := range 29 {
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "s", FailureDomain: "d1", Slots: 24, MemoryTokens: 27000, Leaving: i < 8}
		list = append(list, e)
		if e.Leaving {
			draining = append(draining, e)
		}
	}
	p.SetEndpoints(list)
	for _, e := range list[:28] {
		p.ReserveForced(e, Demand{Prompt: held, Output: 500})
	}
	return p, draining
}

// TestSourcesDivideTargets checks that entries which move generations off several draining endpoints at the same time copy them to
// different targets, though each would prefer the empty one.
func TestSourcesDivideTargets(t *testing.T) {
	const rounds = 50
	different := 0
	for range rounds {
		targets := make(map[string]bool)
		for i := range 8 {
			p, draining := newDrainingPlacer(9000)
			r, err := p.PlaceCopy(time.Now(), draining[i], Demand{Prompt: 3000, Output: 700, Made: 200}, nil)
			assert.NilError(t, err)
			targets[r.Endpoint.ID] = true
		}
		different += len(targets)
	}
	assert.Assert(t, different > 5*rounds, "%d targets", different)
}

// TestOneSourceTakesTheCheapest checks that the cheapest target is taken if no other endpoint drains.
func TestOneSourceTakesTheCheapest(t *testing.T) {
	p, draining := newDrainingPlacer(9000)
	list := p.Endpoints()
	p.SetEndpoints(append(list, draining[0]))
	r, err := p.PlaceCopy(time.Now(), draining[0], Demand{Prompt: 3000, Output: 700, Made: 200}, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.Endpoint.ID, "e28")
}

// TestFullTargetsAreNotTaken checks that copies are not divided among targets that are nearly full, which would refuse them.
func TestFullTargetsAreNotTaken(t *testing.T) {
	for range 20 {
		p, draining := newDrainingPlacer(20000)
		r, err := p.PlaceCopy(time.Now(), draining[0], Demand{Prompt: 3000, Output: 700, Made: 200}, nil)
		assert.NilError(t, err)
		assert.Equal(t, r.Endpoint.ID, "e28")
	}
}
