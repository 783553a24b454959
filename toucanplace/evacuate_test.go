package toucanplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEvacuatedEndpointsAreNoRoom checks that the endpoints of an evacuated failure domain count neither as room nor as uneven, and that a
// stream there is not moved for its pace: if its move fails, it could not go on there.
func TestEvacuatedEndpointsAreNoRoom(t *testing.T) {
	now := time.Now()
	p, list := unevenPlacer(soundPause, brokenPause, brokenPause)
	d := Demand{Prompt: 3000, Output: 700, MaxGap: testGap}
	r, err := p.Place(now, "s", d, func(e Endpoint) bool { return e.ID == "e1" })
	assert.NilError(t, err)
	assert.Equal(t, p.Available("s"), 3)
	assert.Assert(t, p.IsUneven(now, "s"))
	list[1].Evacuated = true
	p.SetEndpoints(list)
	assert.Equal(t, p.Available("s"), 2)
	assert.Assert(t, p.PlaceBetter(now, r.Endpoint, d, nil) == nil)
	list[0].Evacuated = true
	p.SetEndpoints(list)
	assert.Assert(t, !p.IsUneven(now, "s"))
}
