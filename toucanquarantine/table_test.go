package toucanquarantine

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

const service = "s"

var start = time.Unix(1000, 0)

// at returns the time of a script's argument, in seconds from the start.
func at(t *testing.T, d *datadriven.TestData) time.Time {
	t.Helper()
	text := "0"
	d.ScanArgs(t, "at", &text)
	seconds, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// parseRun parses a workspace and its parts, which are hexadecimal numbers.
func parseRun(t *testing.T, text string) Run {
	t.Helper()
	fields := strings.Fields(text)
	r := Run{Workspace: fields[0]}
	for _, id := range fields[1:] {
		n, err := strconv.ParseUint(id, 16, 64)
		assert.NilError(t, err)
		r.Parts = append(r.Parts, Part(n))
	}
	return r
}

// TestCases records ends of engines and answers, and prints which requests are quarantined. Each line of input is a run: its
// workspace, then its parts. lastedMs is how long the runs had lasted at the end.
func TestCases(t *testing.T) {
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		table := New()
		endpoint := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			runs := strings.Split(strings.TrimSpace(d.Input), "\n")
			switch d.Cmd {
			case "end":
				endpoint++
				lasted := 0
				d.MaybeScanArgs(t, "lastedMs", &lasted)
				for _, text := range runs {
					r := parseRun(t, text)
					r.Lasted = time.Duration(lasted) * time.Millisecond
					table.RecordCrash(at(t, d), endpoint, service, r)
				}
			case "answered":
				for _, r := range runs {
					table.RecordSound(at(t, d), service, parseRun(t, r).Parts)
				}
			case "ask":
				for _, text := range runs {
					r := parseRun(t, text)
					fmt.Fprintf(&out, "%s: %t\n", text, table.Quarantined(at(t, d), service, r.Workspace, r.Parts))
				}
			case "verdicts":
				for _, v := range table.Verdicts(at(t, d)) {
					fmt.Fprintf(&out, "parts=%x workspace=%q only=%t ends=%d until=%v\n", v.Parts, v.Workspace, v.OneWorkspace, v.Crashes, v.Until.Sub(start))
				}
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return out.String()
		})
	})
}

// randomEvidence returns ends of engines under runs of two workspaces, and answers in between.
func randomEvidence(rng *rand.Rand) Evidence {
	var e Evidence
	for i := range 12 {
		c := Crash{Endpoint: uint64(i + 1), Service: service, At: start.Add(time.Duration(rng.IntN(20000)) * time.Millisecond)}
		for range 1 + rng.IntN(3) {
			c.Runs = append(c.Runs, Run{Workspace: string(rune('a' + rng.IntN(2))), Parts: []Part{Part(rng.IntN(4)), Part(4 + rng.IntN(8))}, Lasted: time.Duration(rng.IntN(900)) * time.Millisecond})
		}
		e.Crashes = append(e.Crashes, c)
	}
	for range 6 {
		e.Sounds = append(e.Sounds, Sound{Service: service, Part: Part(rng.IntN(12)), At: start.Add(time.Duration(rng.IntN(20000)) * time.Millisecond)})
	}
	return e
}

// TestEntriesWithTheSameEvidenceAgree checks that verdicts do not depend on the order in which evidence arrives, nor on
// repeats.
func TestEntriesWithTheSameEvidenceAgree(t *testing.T) {
	now := start.Add(time.Minute)
	quarantines := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		e := randomEvidence(rng)
		first, second := New(), New()
		first.Apply(now, e)
		for _, i := range rng.Perm(len(e.Crashes)) {
			second.Apply(now, Evidence{Crashes: e.Crashes[i : i+1]})
		}
		second.Apply(now, Evidence{Sounds: e.Sounds})
		second.Apply(now, e)
		// The order of runs within a crash is the order of arrival; it decides nothing.
		assert.DeepEqual(t, first.Verdicts(now), second.Verdicts(now))
		quarantines += len(first.Verdicts(now))
	}
	assert.Assert(t, quarantines > 0)
}

// TestMemoryIsBounded checks that a workspace whose requests end engines all the time cannot fill the memory.
func TestMemoryIsBounded(t *testing.T) {
	table := New()
	for i := range 2 * maxCrashes {
		for j := range maxRuns + 4 {
			table.RecordCrash(start.Add(time.Duration(i)*time.Second), uint64(i+1), service, Run{Workspace: "a", Parts: []Part{Part(i), Part(j)}})
		}
	}
	e := table.Evidence()
	assert.Equal(t, len(e.Crashes), maxCrashes)
	for _, c := range e.Crashes {
		assert.Equal(t, len(c.Runs), maxRuns)
	}
}

// TestOldEvidenceIsDropped checks that evidence is forgotten after evidenceLife.
func TestOldEvidenceIsDropped(t *testing.T) {
	table := New()
	table.RecordCrash(start, 1, service, Run{Parts: []Part{1}})
	table.RecordSound(start.Add(time.Second), service, []Part{1})
	assert.Equal(t, len(table.Evidence().Sounds), 1)
	table.RecordCrash(start.Add(evidenceLife+time.Minute), 2, service, Run{Parts: []Part{2}})
	e := table.Evidence()
	assert.Equal(t, len(e.Crashes), 1)
	assert.Equal(t, len(e.Sounds), 0)
}

// TestNewsOnlyOnOwnEvidence checks that a table signals what this entry found, once, and not what peers told.
func TestNewsOnlyOnOwnEvidence(t *testing.T) {
	table := New()
	hasNews := func() bool {
		select {
		case <-table.News():
			return true
		default:
			return false
		}
	}
	crash := Crash{Endpoint: 1, Service: service, At: start, Runs: []Run{{Parts: []Part{1}}}}
	table.Apply(start, Evidence{Crashes: []Crash{crash}})
	assert.Assert(t, !hasNews())
	table.RecordCrash(start, 1, service, crash.Runs[0])
	assert.Assert(t, !hasNews())
	table.RecordSound(start.Add(time.Second), service, []Part{1, 2})
	assert.Assert(t, hasNews())
	table.RecordSound(start.Add(2*time.Second), service, []Part{1, 2})
	assert.Assert(t, !hasNews())
	table.RecordCrash(start.Add(3*time.Second), 2, service, Run{Parts: []Part{3}})
	assert.Assert(t, hasNews())
}
