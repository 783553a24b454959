package toucanoperate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanreplicate"
)

func revisions(n uint64) []toucanreplicate.Revision {
	return []toucanreplicate.Revision{{Path: "/operators", Revision: 1}, {Path: "/teams/laval", Revision: n}}
}

func instance(name string, at int64, n uint64) Instance {
	return Instance{Instance: name, Documents: revisions(n), LastReceivedAt: time.Unix(at, 0), Answers: true}
}

func TestCompactStatusExpandsToOriginal(t *testing.T) {
	status := Status{Self: instance("entry", 1, 5), Peers: []Instance{instance("a", 1, 5), instance("b", 1, 4)}}
	compacted := status.compact()
	assert.Equal(t, len(compacted.Peers[0].Documents), 0)
	assert.Equal(t, len(compacted.Peers[1].Documents), 2)
	assert.DeepEqual(t, compacted.expand(), status)
}

// TestMergeKeepsLatestReportOfEachInstance merges the statuses of two entries that received reports from the same
// sidecar at different times.
func TestMergeKeepsLatestReportOfEachInstance(t *testing.T) {
	one := Status{Self: instance("entry1", 10, 5), Peers: []Instance{instance("a", 3, 4), instance("b", 9, 4)}}
	two := Status{Self: instance("entry2", 10, 5), Peers: []Instance{instance("a", 8, 5)}, StoreAnswers: true}
	fleet := mergeStatuses([]Status{one, two}, []string{"10.0.0.9:8081"})
	assert.Equal(t, len(fleet.Instances), 5)
	assert.DeepEqual(t, fleet.Newest, revisions(5))
	assert.Assert(t, fleet.StoreAnswers)
	lagging := fleet.Lagging("/teams/laval")
	assert.Equal(t, len(lagging), 1)
	assert.Equal(t, lagging[0].Instance, "b")
}
