package toucanexplain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestDataFiles runs the logs in testdata: explain shows one request, failures counts the failed ones.
func TestDataFiles(t *testing.T) {
	datadriven.Walk(t, "testdata/requests", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "failures" {
				return summarize(t, d.Input)
			}
			r := NewReader(d.CmdArgs[0].Key)
			assert.NilError(t, r.Read(strings.NewReader(d.Input)))
			s := r.History()
			var b strings.Builder
			for _, l := range s.Lines {
				fmt.Fprintf(&b, "%s %s: %s %v\n", l.Time.Format("05.000"), l.Instance, l.Message, l.Details)
			}
			fmt.Fprintf(&b, "%s (broken %d, dropped %d)\n", s.Ending, s.Broken, s.Dropped)
			return b.String()
		})
	})
}

func summarize(t *testing.T, log string) string {
	c := NewCounter()
	assert.NilError(t, c.Read(strings.NewReader(log)))
	s := c.Summary()
	var b strings.Builder
	for _, cause := range s.Causes {
		fmt.Fprintf(&b, "%d %s (%s)\n", cause.Requests, cause.Name, cause.Example)
	}
	fmt.Fprintf(&b, "failed %d, unexplained %d, late %d, broken %d, dropped %d\n", s.Failed, s.Unexplained, s.Late, s.Broken, s.Dropped)
	return b.String()
}
