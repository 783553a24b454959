package toucantraffic

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRank(t *testing.T) {
	r := Route{Priority: 2}
	assert.Equal(t, r.Rank(Workspace{}), 2)
	assert.Equal(t, r.Rank(Workspace{Ranked: true}), 0, "the workspace's priority goes first")
	assert.Equal(t, r.Rank(Workspace{Priority: 1}), 2, "a workspace that is not ranked has none")
	assert.Equal(t, r.Rank(Workspace{Ranked: true, Priority: -5}), 0)
	assert.Equal(t, Route{Priority: -1}.Rank(Workspace{}), 0)
}

func TestMixed(t *testing.T) {
	share := []Share{{Service: "s", Weight: 1}}
	short := Route{Name: "short", Prefix: "/a/", Goal: time.Second, Shares: share}
	long := Route{Name: "long", Prefix: "/b/", Goal: 4 * time.Second, Shares: share}
	urgent := Route{Name: "urgent", Prefix: "/c/", Goal: time.Second, Priority: 1, Shares: share}
	ranked := []Key{{Secret: "a", Workspace: Workspace{Name: "a"}}, {Secret: "b", Workspace: Workspace{Name: "b", Ranked: true, Priority: 1}}}
	mixed := func(routes []Route, keys []Key) bool { return New(1, routes, nil, keys, Limits{}).Mixed("s") }
	assert.Assert(t, !mixed([]Route{short}, nil))
	assert.Assert(t, !mixed([]Route{short, short}, ranked[:1]))
	assert.Assert(t, mixed([]Route{short, long}, nil))
	assert.Assert(t, mixed([]Route{short, urgent}, nil))
	assert.Assert(t, mixed([]Route{short}, ranked))
	assert.Assert(t, !New(1, []Route{short, long}, nil, nil, Limits{}).Mixed("other"))
}
