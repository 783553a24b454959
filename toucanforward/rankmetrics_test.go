package toucanforward

import (
	"testing"

	"toucanport/toucanrefusal"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// TestRankMetricsAreBounded checks that odd ranks share the instruments of the last label.
func TestRankMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newRankMetrics(scope)
	for rank := range 1000 {
		m.rejected(rank, toucanrefusal.ReasonFull)
		m.rejected(rank, toucanrefusal.ReasonMalformed)
	}
	assert.Equal(t, len(m.ranks), maxRankLabel+1)
	last := scope.Snapshot().Counters()["rank_requests_rejected+rank=9,reason=full"]
	assert.Equal(t, last.Value(), int64(1000-maxRankLabel))
}
