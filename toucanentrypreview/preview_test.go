package toucanentrypreview

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanlimit"
	"toucanport/toucanpreview"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
)

type settings struct{ tree *toucansettings.Tree }

func (s settings) Tree() *toucansettings.Tree { return s.tree }

// newPreviewer returns a previewer of an entry in failure domain a, whose team blue has a model with an endpoint that leaves, one in
// domain b and one in a, and a plain service without endpoints.
func newPreviewer() (*Previewer, *toucanlimit.Shared) {
	tree := toucansettings.NewTree([]toucansettings.Team{{
		Name:     "blue",
		Revision: 7,
		Services: []toucansettings.Service{{Name: "m", Team: "blue", Kind: toucansettings.KindGeneration}, {Name: "p", Team: "blue", Kind: toucansettings.KindPlain}},
		Workspaces: []toucansettings.Workspace{
			{Name: "w", Team: "blue", Services: []string{"m", "p"}, ConcurrentRequests: 1}, {Name: "none", Team: "blue"},
		},
	}})
	router := toucanroute.NewPerService(toucanroute.Config{FailureDomain: "a"})
	now := time.Now()
	var list []toucanroute.Endpoint
	for i, domain := range []string{"a", "b", "a"} {
		list = append(list, toucanroute.Endpoint{
			Name: "blue/e" + string(rune('0'+i)), Service: "blue/m", FailureDomain: domain, Address: netip.MustParseAddrPort("10.0.0.1:1"),
		})
	}
	router.SetEndpoints(now, "blue/m", list)
	for i, e := range list {
		router.Report(now, toucanroute.Load{Endpoint: e.Name, BootID: 1, Sequence: 1, Healthy: true, Leaving: i == 0, TotalBlocks: 100, UsedBlocks: 2, Running: 1})
	}
	limiter := toucanlimit.NewShared(1)
	return New(settings{tree}, router, limiter), limiter
}

// TestPreviewSaysWhatTheEntryWouldDo checks the decision for each kind of request, and that a preview acquires nothing.
func TestPreviewSaysWhatTheEntryWouldDo(t *testing.T) {
	p, limiter := newPreviewer()
	q := toucanpreview.Query{Host: "h", Path: "/v1/chat/completions", Model: "m", Workspace: "blue/w", Prompt: 10, MaxOutput: 20}
	for range 2 {
		out := p.Preview(time.Now(), q)
		assert.Equal(t, out.Decision, toucanpreview.DecisionSend)
		assert.Equal(t, out.SettingsVersion, uint64(7))
		assert.Equal(t, out.Tokens, 30)
		var ids, leftOut []string
		for _, e := range out.Endpoints {
			ids, leftOut = append(ids, e.ID), append(leftOut, e.LeftOut)
			assert.Equal(t, e.Requests, 1)
			assert.Equal(t, e.Costs.Distance > 0, e.FailureDomain == "b")
		}
		assert.DeepEqual(t, ids, []string{"blue/e2", "blue/e1", "blue/e0"})
		assert.DeepEqual(t, leftOut, []string{"", "", "draining"})
	}
	for reason, change := range map[string]func(q *toucanpreview.Query){
		"invalidKey":     func(q *toucanpreview.Query) { q.Workspace = "w" },
		"notFound":       func(q *toucanpreview.Query) { q.Path = "/v1/models" },
		"unknownModel":   func(q *toucanpreview.Query) { q.Model = "p" },
		"unknownService": func(q *toucanpreview.Query) { q.Path, q.Workspace = "/services/p/x", "blue/none" },
		"noEndpoint":     func(q *toucanpreview.Query) { q.Path = "/services/p" },
	} {
		other := q
		change(&other)
		out := p.Preview(time.Now(), other)
		assert.Equal(t, out.Decision, toucanpreview.DecisionReject)
		assert.Equal(t, out.Reason, reason)
		assert.Equal(t, out.RetryAfterMs > 0, out.Status == http.StatusServiceUnavailable)
	}
	_, err := limiter.Acquire(time.Now(), toucanlimit.Workspace{Name: "blue/w", ConcurrentRequests: 1}, 0)
	assert.NilError(t, err)
	assert.Equal(t, p.Preview(time.Now(), q).Reason, "workspaceLimit")
}

// TestPreviewIsAnsweredAsJSON checks the answer over HTTP, and that of a query that can't be read.
func TestPreviewIsAnsweredAsJSON(t *testing.T) {
	p, _ := newPreviewer()
	q := toucanpreview.Query{Host: "h", Path: "/v1/completions", Model: "m", Workspace: "blue/w"}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, q.URL("10.0.0.1:1"), http.NoBody))
	var out toucanpreview.Preview
	assert.NilError(t, json.NewDecoder(w.Body).Decode(&out))
	assert.Equal(t, out.Decision, toucanpreview.DecisionSend)
	w = httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, toucanpreview.Path, http.NoBody))
	assert.Equal(t, w.Code, http.StatusBadRequest)
}
