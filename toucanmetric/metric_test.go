package toucanmetric

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// countDurations returns the number of durations recorded in a histogram, over all workspaces and classes.
func countDurations(scope tally.TestScope, name string) int64 {
	n := int64(0)
	for _, h := range scope.Snapshot().Histograms() {
		if h.Name() != name {
			continue
		}
		for _, count := range h.Durations() {
			n += count
		}
	}
	return n
}

func TestGenerationRecordsFirstTokenGapsAndStall(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	start := time.Unix(0, 0)
	g := NewCallers(scope).Series("sales", "plan").Begin(start)
	g.Tokens(start.Add(300*time.Millisecond), 1)
	g.Tokens(start.Add(350*time.Millisecond), 2)
	g.Tokens(start.Add(2350*time.Millisecond), 1)
	g.End(start.Add(2400*time.Millisecond), true)

	assert.Equal(t, countDurations(scope, "time_to_first_token_seconds"), int64(1))
	assert.Equal(t, countDurations(scope, "inter_token_latency_seconds"), int64(2))
	for _, h := range scope.Snapshot().Histograms() {
		if h.Name() == "stall_time_seconds" {
			assert.Equal(t, h.Durations()[2500*time.Millisecond], int64(1), "the longest wait is 2 s")
		}
	}
}

func TestWorkspacesAreBounded(t *testing.T) {
	c := NewCallers(tally.NoopScope)
	for i := range 2 * maxWorkspaces {
		c.Series(fmt.Sprintf("w%d", i), "brief")
	}
	assert.Equal(t, len(c.series), maxWorkspaces+1)
}
