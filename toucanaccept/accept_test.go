package toucanaccept

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanrefusal"
	"toucanport/toucantraffic"
)

// newTable returns settings with a route for known callers, one for anyone and one whose service is missing.
func newTable() *toucantraffic.Table {
	route := func(name string, anonymous bool, service string) toucantraffic.Route {
		return toucantraffic.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Anonymous: anonymous, Timeout: time.Minute, Priority: 1,
			Shares: []toucantraffic.Share{{Service: service, Weight: 1}},
		}
	}
	routes := []toucantraffic.Route{route("known", false, "s"), route("anyone", true, "s"), route("missing", true, "none")}
	keys := []toucantraffic.Key{{Secret: "k", Workspace: toucantraffic.Workspace{Name: "w", Priority: 4, Ranked: true}}}
	return toucantraffic.New(1, routes, []toucantraffic.Service{{Name: "s"}}, keys, toucantraffic.Limits{})
}

// TestWhoIsAccepted checks what requests are matched to, and why others are refused.
func TestWhoIsAccepted(t *testing.T) {
	table := newTable()
	for _, tc := range []struct {
		path, key        string
		route, workspace string
		rank             int
		why              toucanrefusal.Reason
	}{
		{path: "/known/x", key: "k", route: "known", workspace: "w", rank: 4},
		{path: "/known/x", key: "no", route: "known", why: toucanrefusal.ReasonUnknownKey},
		{path: "/anyone/x", key: "no", route: "anyone", rank: 1},
		{path: "/anyone/x", key: "k", route: "anyone", workspace: "w", rank: 4},
		{path: "/other/x", key: "k", why: toucanrefusal.ReasonNoRoute},
		{path: "/missing/x", key: "k", route: "missing", workspace: "w", why: toucanrefusal.ReasonNoService},
	} {
		c, refusal := ByKey(table, "host:80", tc.path, tc.key)
		target := Target{}
		if refusal == nil {
			target, refusal = c.Target(table, "id", time.Now(), 0)
		}
		assert.Equal(t, c.Route.Name, tc.route, tc.path)
		assert.Equal(t, c.Workspace.Name, tc.workspace, tc.path)
		assert.Equal(t, target.Rank, tc.rank, tc.path)
		if tc.why == "" {
			assert.Assert(t, refusal == nil, "%s: %v", tc.path, refusal)
			continue
		}
		assert.Equal(t, refusal.Reason, tc.why, tc.path)
	}
	c, refusal := ByWorkspace(table, "host", "/known/x", "w")
	assert.Assert(t, refusal == nil && c.Workspace.Name == "w")
}

// TestDeadlineIsTheEarliestBound checks that each bound on the time of a request holds.
func TestDeadlineIsTheEarliestBound(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, tc := range []struct{ patience, timeout, want time.Duration }{
		{0, 0, maxRequestTime},
		{time.Second, 0, time.Second},
		{time.Second, time.Millisecond, time.Millisecond},
		{time.Hour, time.Hour, maxRequestTime},
	} {
		assert.Equal(t, deadline(arrived, tc.patience, tc.timeout), arrived.Add(tc.want))
	}
}

// TestLongBodiesAreRefused checks the bound on the announced length of a body.
func TestLongBodiesAreRefused(t *testing.T) {
	assert.Assert(t, CheckLength(0, 1<<40) == nil)
	assert.Assert(t, CheckLength(10, 10) == nil)
	assert.Assert(t, CheckLength(10, -1) == nil)
	assert.Equal(t, CheckLength(10, 11).Status, 413)
}
