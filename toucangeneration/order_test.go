package toucangeneration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
