package toucanforward

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanlogtest"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

// TestWaitingRequestIsRejectedWhenAllIsEvacuated checks that a request that waits for a full endpoint is rejected when the
// endpoint's failure domain is evacuated.
func TestWaitingRequestIsRejectedWhenAllIsEvacuated(t *testing.T) {
	sc := &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}
	sc.settings(&datadriven.TestData{CmdArgs: []datadriven.CmdArg{{Key: "kind", Vals: []string{"stream"}}}})
	sc.startEndpoints(&datadriven.TestData{Input: "a"})
	full, err := sc.placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 90000}, nil)
	assert.NilError(t, err)
	defer full.Done(time.Now(), toucanplace.OutcomeNeutral)
	got := make(chan string, 1)
	go func() {
		got <- sc.request(t.Context(), &datadriven.TestData{CmdArgs: []datadriven.CmdArg{{Key: "tokens", Vals: []string{"40000"}}}})
	}()
	held := sc.normalize(sc.log.Next(t, 1))
	assert.Assert(t, strings.Contains(held, "request held"), "%s", held)
	sc.evacuate(&datadriven.TestData{CmdArgs: []datadriven.CmdArg{{Key: "a"}}})
	assert.Equal(t, <-got, "503 later \na: \n")
	assert.Assert(t, strings.Contains(sc.log.All(), `"reason":"evacuated"`), "%s", sc.log.All())
}
