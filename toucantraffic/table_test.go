package toucantraffic

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func table(version uint64, routes ...Route) *Table {
	return New(version, routes, []Service{{Name: "s"}}, []Key{{Secret: "k", Workspace: Workspace{Name: "w"}}}, Limits{})
}

// TestLongestPrefixMatches checks that the route with the longest matching prefix is chosen, and only among the host's
// routes.
func TestLongestPrefixMatches(t *testing.T) {
	tb := table(1,
		Route{Name: "root", Host: "a.example", Prefix: "/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", "root"},
		{"A.example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := tb.Route(tc.host, tc.path)
		assert.Equal(t, ok, tc.want != "", "%s%s", tc.host, tc.path)
		assert.Equal(t, r.Name, tc.want, "%s%s", tc.host, tc.path)
	}
}

// TestSharesFollowWeights checks that a request id always maps to the same service, and that requests are distributed
// by weight.
func TestSharesFollowWeights(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := make(map[string]int)
	const requests = 20000
	for i := range requests {
		id := fmt.Sprint("request", i)
		assert.Equal(t, r.Service(id), r.Service(id))
		count[r.Service(id)]++
	}
	share := float64(count["b"]) / requests
	assert.Assert(t, share > 0.09 && share < 0.11, "share of b: %v", share)
}

// TestCurrentNeverGoesBack checks that the current version never decreases when several goroutines offer tables.
func TestCurrentNeverGoesBack(t *testing.T) {
	var c Current
	assert.Assert(t, c.Table() == nil)
	var wg sync.WaitGroup
	for offset := range 4 {
		wg.Go(func() {
			for v := uint64(1 + offset); v < 200; v += 4 {
				before := uint64(0)
				if held := c.Table(); held != nil {
					before = held.Version
				}
				c.Offer(table(v))
				assert.Check(t, c.Table().Version >= before)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, c.Table().Version, uint64(199))
	assert.Assert(t, !c.Offer(table(199)))
}
