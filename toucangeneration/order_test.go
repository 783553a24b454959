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

// TestMoveOrderHoldsWithStaleAnnouncements gives three entries one run each, of equal size, at a leaving endpoint. Each
// entry compares its own run with older announcements of the others. If sizes grew after the announcement, every entry
// would wait for the others; exactly one must move its run first.
func TestMoveOrderHoldsWithStaleAnnouncements(t *testing.T) {
	began := time.Now()
	var runs []*Generation
	for i := range 3 {
		spec := Spec{ID: fmt.Sprint("request", i), Prompt: 10, Engine: &toucantraffic.Engine{}}
		r := &Generation{spec: spec, claim: &toucanplace.Reservation{Endpoint: toucanplace.Endpoint{ID: "leaving"}}, estimate: 1000}
		r.firstEventAt, r.events = began.Add(-time.Second), 5
		runs = append(runs, r)
	}
	announced := moveRequests(runs)
	for _, r := range runs {
		r.events += 8
	}
	first := 0
	for i, r := range runs {
		ahead := false
		for j := range announced {
			ahead = ahead || j != i && toucanmoveorder.Before(announced[j], r.moveRequest(began.Add(time.Second)))
		}
		if !ahead {
			first++
		}
	}
	assert.Equal(t, first, 1)
	// After a move, the size at the new endpoint counts.
	runs[0].ContinueAt(&toucanplace.Reservation{Endpoint: toucanplace.Endpoint{ID: "next"}})
	assert.Equal(t, runs[0].moveRequest(began.Add(time.Second)).Tokens, 23)
}
