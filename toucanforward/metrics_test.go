package toucanforward

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"toucanport/toucanrefusal"
	"toucanport/toucantraffic"
)

// TestSeriesAreBounded checks that the number of time series stays bounded with many workspaces, statuses and reasons.
func TestSeriesAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(Metrics{Scope: scope})
	kinds := []toucantraffic.Kind{toucantraffic.Idempotent, toucantraffic.AtMostOnce, toucantraffic.Stream}
	for i := range 2000 {
		workspace := fmt.Sprint("w", i)
		m.answered(kinds[i%len(kinds)], workspace, 100+i%500, time.Millisecond)
		m.refused(toucanrefusal.ReasonFull, workspace)
	}
	snapshot := scope.Snapshot()
	assert.Equal(t, len(m.workspaces), maxWorkspaces+1)
	const (
		outcomes = 3
		// others bounds the series for kinds, classes and reasons.
		others = 60
	)
	n := len(snapshot.Counters()) + len(snapshot.Gauges()) + len(snapshot.Histograms())
	assert.Assert(t, n <= (maxWorkspaces+1)*outcomes+others, "%d series", n)
	other := snapshot.Counters()["workspace_requests+outcome=refused,workspace=other"]
	assert.Equal(t, other.Value(), int64(2000-maxWorkspaces))
}
