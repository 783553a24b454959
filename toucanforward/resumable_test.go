package toucanforward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanlogtest"
	"toucanport/toucantraffic"
)

// streamEvents is the number of events of the streams of TestCallerGetsTheRestOrSeesTheBreak.
const streamEvents = 6

// TestCallerGetsTheRestOrSeesTheBreak plays resumable streams at endpoints that break them at random events, inside and between them, that
// ignore the caller's last event, refuse, fail or are lost, and that tell different things when they are asked to stop. The caller gets
// exactly the events after its last one, each once, or sees that the answer is not whole.
func TestCallerGetsTheRestOrSeesTheBreak(t *testing.T) {
	parent := t
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		// Endpoints of an earlier case may still read its body.
		sc := &deployment{t: parent, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}
		sc.settings(command("kind=stream", "resumable", "attempts=3", "timeout=1s"))
		sc.startEndpoints(&datadriven.TestData{Input: "a b c"})
		last := rapid.IntRange(0, streamEvents).Draw(t, "last")
		for _, e := range sc.endpoints {
			e.script(strings.Join(rapid.SliceOfN(rapid.Custom(drawStep), 2, 3).Draw(t, e.name), "\n"))
		}
		sc.mover.outcomes = rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "notRunning", "ended", "noCapacityStopped", "lost"}), 1, 3).Draw(t, "moves")
		got, _, _ := strings.Cut(sc.request(parent.Context(), command(fmt.Sprint("last=", last), "tokens=10")), "\n")
		sc.front.Close()
		rest, answered := strings.CutPrefix(got, "200 ")
		if !answered {
			outcomes["refused"]++
			return
		}
		want := eventTexts(last+1, streamEvents)
		text, cut := strings.CutSuffix(rest, " (cut)")
		if cut {
			outcomes["cut"]++
			assert.Assert(t, strings.HasPrefix(want+" ", strings.TrimSpace(text)+" ") || text == "", "after %d: %q", last, got)
			return
		}
		outcomes["whole"]++
		assert.Equal(t, text, want, "after %d", last)
	})
	t.Logf("outcomes: %v", outcomes)
	assert.Assert(t, outcomes["whole"] > 0)
}

// command returns a command of a script with arguments of the form name or name=value.
func command(args ...string) *datadriven.TestData {
	d := &datadriven.TestData{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		a := datadriven.CmdArg{Key: name}
		if ok {
			a.Vals = []string{value}
		}
		d.CmdArgs = append(d.CmdArgs, a)
	}
	return d
}

// drawStep returns a random step of an endpoint's script.
func drawStep(t *rapid.T) string {
	to := rapid.IntRange(0, streamEvents).Draw(t, "to")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return "notRun"
	case 1:
		return "reset"
	case 2:
		return "status 500 broken"
	case 3:
		return "garbage"
	case 4:
		return fmt.Sprintf("events 1 %d end", streamEvents)
	case 5:
		return fmt.Sprintf("events 1 %d cut", to)
	case 6:
		return fmt.Sprintf("rest %d cutInside", to)
	case 7:
		return fmt.Sprintf("rest %d cut", to)
	}
	return fmt.Sprintf("rest %d end", streamEvents)
}

// eventTexts returns the events from one number to another as deployment.request shows them.
func eventTexts(from, to int) string {
	var list []string
	for i := from; i <= to; i++ {
		list = append(list, fmt.Sprintf("id: %d|data: t%d", i, i))
	}
	return strings.Join(list, " ")
}
