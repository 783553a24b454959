package toucanmember_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanmember"
)

// TestTableCases runs the scripts in testdata/table, each against its own Table.
func TestTableCases(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		table := toucanmember.NewTable()
		now := time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			now = step(t, table, now, strings.Fields(line), &out)
		}
		return out.String()
	})
}

func step(t *testing.T, table *toucanmember.Table, now time.Time, words []string, out *strings.Builder) time.Time {
	switch words[0] {
	case "list":
		table.ApplyList(now, parseList(words[1:]))
	case "report":
		var boot, sequence uint64
		_, err := fmt.Sscan(words[2]+" "+words[3], &boot, &sequence)
		assert.NilError(t, err)
		report := toucanmember.Report{Instance: words[1], BootID: boot, Sequence: sequence, Leaving: len(words) > 4}
		if !table.ApplyReport(now, report) {
			fmt.Fprintf(out, "%s: no news\n", strings.Join(words, " "))
		}
	case "wait":
		d, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		return now.Add(d)
	case "show":
		for _, m := range table.Members(now, "") {
			fmt.Fprintf(out, "%s boot=%d live=%v leaving=%v\n", m.Instance, m.BootID, m.Live, m.Leaving)
		}
	default:
		t.Fatalf("unknown step %q", words[0])
	}
	return now
}

// parseList parses instance names. A trailing minus marks an instance as leaving.
func parseList(words []string) []toucanmember.Listed {
	var list []toucanmember.Listed
	for _, w := range words {
		name, leaving := strings.CutSuffix(w, "-")
		l := toucanmember.Listed{Instance: name, Role: toucanmember.RoleSidecar, State: toucanmember.StateLive}
		if leaving {
			l.State = toucanmember.StateLeaving
		}
		list = append(list, l)
	}
	return list
}

// TestReportsOfEarlierBootsAreIgnored delivers delayed reports of several boots in random order: after the first report
// of a newer boot, reports of earlier ones have no effect.
func TestReportsOfEarlierBootsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := toucanmember.NewTable()
		now := time.Unix(1000, 0)
		boots := rapid.IntRange(1, 6).Draw(t, "boots")
		for boot := 1; boot <= boots; boot++ {
			table.ApplyReport(now, toucanmember.Report{Instance: "i", BootID: uint64(boot), Sequence: 1})
			for range rapid.IntRange(0, 5).Draw(t, "late") {
				late := toucanmember.Report{
					Instance: "i",
					BootID:   uint64(rapid.IntRange(1, boot).Draw(t, "of")),
					Sequence: uint64(rapid.IntRange(1, 9).Draw(t, "sequence")),
					Leaving:  true,
				}
				if late.BootID == uint64(boot) {
					late.Leaving = false
				}
				table.ApplyReport(now, late)
			}
			m, _ := table.Member(now, "i")
			assert.Equal(t, m.BootID, uint64(boot))
			assert.Assert(t, !m.Leaving)
		}
	})
}

func TestHeartbeatIntervalStaysWithinBudget(t *testing.T) {
	assert.Equal(t, toucanmember.HeartbeatInterval(45), 1600*time.Millisecond)
	assert.Equal(t, toucanmember.HeartbeatInterval(3), toucanmember.MinHeartbeatInterval)
	assert.Equal(t, toucanmember.HeartbeatInterval(1000), toucanmember.MaxHeartbeatInterval)
}
