package toucanplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestDoubtfulEndpointIsLeftOut checks that a request which can't be sent again does not get the only endpoint with room if that
// could not be reached, that one which can does, and that doubt of many endpoints counts for nothing.
func TestDoubtfulEndpointIsLeftOut(t *testing.T) {
	now := time.Now()
	p := NewPlacer("d1")
	var list []Endpoint
	for i := range 10 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: 1, MemoryTokens: 10000})
	}
	p.SetEndpoints(list)
	for _, e := range list[4:] {
		p.ReserveForced(e, Demand{Prompt: 5000, Output: 100})
	}
	for _, e := range list[1:4] {
		p.ReserveForced(e, Demand{Prompt: 5000, Output: 100})
	}
	p.MarkUnreachable(now, []uint64{list[0].Key()})
	d := Demand{Prompt: 3000, Output: 100}
	_, err := p.Place(now, "s", d, nil, WithoutDoubtful())
	assert.Assert(t, errors.Is(err, ErrFull), "%v", err)
	r, err := p.Place(now, "s", d, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.Endpoint.ID, "e0")
	r.Done(now, OutcomeNeutral)
	p.MarkUnreachable(now, []uint64{list[1].Key(), list[2].Key(), list[3].Key()})
	r, err = p.Place(now, "s", d, nil, WithoutDoubtful())
	assert.NilError(t, err)
	assert.Equal(t, r.Endpoint.ID, "e0")
	r.Done(now, OutcomeNeutral)
	later := now.Add(2 * peerSuspectDuration)
	r, err = p.Place(later, "s", d, nil, WithoutDoubtful())
	assert.NilError(t, err, "doubt ends")
	assert.Equal(t, r.Endpoint.ID, "e0")
}
