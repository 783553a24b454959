package toucanrun

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanmove"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

// TestOrderOfMovesStaysAgreed has three entries with one run each of the same size at an endpoint that leaves. Each knows
// how far the others' runs were a while ago; one of them must still go first.
func TestOrderOfMovesStaysAgreed(t *testing.T) {
	began := time.Now()
	var runs []*Run
	for i := range 3 {
		spec := Spec{ID: fmt.Sprint("request", i), Prompt: 10, Engine: &toucantraffic.Engine{}}
		r := &Run{spec: spec, claim: &toucanplace.Claim{Endpoint: toucanplace.Endpoint{ID: "leaving"}}, forecast: 1000}
		r.firstEvent, r.events = began.Add(-time.Second), 5
		runs = append(runs, r)
	}
	told := plans(runs)
	for _, r := range runs {
		r.events += 8
	}
	first := 0
	for i, r := range runs {
		ahead := false
		for j := range told {
			ahead = ahead || j != i && toucanmove.Before(told[j], r.forMove(began.Add(time.Second)))
		}
		if !ahead {
			first++
		}
	}
	assert.Equal(t, first, 1)
	// At the next endpoint the size of then counts.
	runs[0].MoveTo(&toucanplace.Claim{Endpoint: toucanplace.Endpoint{ID: "next"}})
	assert.Equal(t, runs[0].forMove(began.Add(time.Second)).Tokens, 23)
}
