package toucanforward

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanplace"
	"toucanport/toucanpreview"
	"toucanport/toucantraffic"
)

// TestPreviewNamesTheDecision checks the decision on a request that is not sent against what Place does then, and that nothing is reserved.
func TestPreviewNamesTheDecision(t *testing.T) {
	chat := toucanpreview.Query{Host: "h.example", Path: "/chat/x", Workspace: "w", Prompt: 3000, MaxOutput: 400, Patience: 39 * time.Second}
	for _, test := range []struct {
		name   string
		change func(*toucanplace.Placer)
		query  func(toucanpreview.Query) toucanpreview.Query
		// want is the decision, the reason of a rejection, and why the endpoints a and b are left out.
		want toucanpreview.Decision
		why  string
		out  [2]string
	}{
		{name: "idle", want: toucanpreview.DecisionSend},
		{name: "one drains", change: func(p *toucanplace.Placer) { p.MarkLeaving(time.Now(), "a") }, want: toucanpreview.DecisionSend, out: [2]string{"draining", ""}},
		{name: "all deferred", change: func(p *toucanplace.Placer) { p.Defer(time.Now(), "a", time.Hour); p.Defer(time.Now(), "b", time.Hour) },
			want: toucanpreview.DecisionReject, why: "deferred", out: [2]string{"deferred", "deferred"}},
		{name: "full", change: fill, want: toucanpreview.DecisionWait, out: [2]string{"full", "full"}},
		{name: "too large", query: func(q toucanpreview.Query) toucanpreview.Query { q.Prompt = 90000; return q },
			want: toucanpreview.DecisionReject, why: "tooLarge", out: [2]string{"tooSmall", "tooSmall"}},
		{name: "no route", query: func(q toucanpreview.Query) toucanpreview.Query { q.Path = "/x/"; return q }, want: toucanpreview.DecisionReject, why: "noRoute"},
		{name: "no workspace", query: func(q toucanpreview.Query) toucanpreview.Query { q.Workspace = "v"; return q }, want: toucanpreview.DecisionReject, why: "unknownKey"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newPreviewServer()
			if test.change != nil {
				test.change(s.placer)
			}
			query := chat
			if test.query != nil {
				query = test.query(query)
			}
			before := s.placer.OwnUse()
			p := s.Preview(query)
			assert.DeepEqual(t, s.placer.OwnUse(), before)
			assert.Equal(t, p.Decision, test.want, "%+v", p)
			assert.Equal(t, p.Reason, test.why, "%+v", p)
			for _, e := range p.Endpoints {
				assert.Equal(t, e.LeftOut, test.out[e.ID[0]-'a'], "%+v", e)
			}
			if p.Decision == toucanpreview.DecisionSend {
				r, err := s.placer.Place(time.Now(), "s", toucanplace.Demand{Prompt: 3000, Output: p.Tokens - 3000}, nil)
				assert.NilError(t, err)
				assert.Equal(t, p.Endpoints[0].ID, r.Endpoint.ID)
				assert.Equal(t, p.Endpoints[0].Costs.Total, roundCost(r.Choice.Cost))
			}
		})
	}
}

// newPreviewServer returns a server before two endpoints, a in its own failure domain and b in another one.
func newPreviewServer(opts ...toucanplace.Option) *Server {
	s := New(Config{Placer: toucanplace.NewPlacer("d1", opts...), Traffic: &toucantraffic.Current{}, Log: slog.New(slog.DiscardHandler)})
	s.placer.SetEndpoints([]toucanplace.Endpoint{
		{ID: "a", Service: "s", FailureDomain: "d1", Slots: 8, MemoryTokens: 30000},
		{ID: "b", Service: "s", FailureDomain: "d2", Slots: 8, MemoryTokens: 30000},
	})
	route := toucantraffic.Route{
		Name: "chat", Host: "h.example", Prefix: "/chat/", Kind: toucantraffic.Stream, Goal: 2 * time.Second, MaxAttempts: 1,
		Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
	}
	engine := &toucantraffic.Engine{Slots: 8, MemoryTokens: 30000, TokensPerEvent: 4}
	keys := []toucantraffic.Key{{Secret: "k", Workspace: toucantraffic.Workspace{Name: "w"}}}
	s.traffic.Offer(toucantraffic.New(1, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s", Engine: engine}}, keys, toucantraffic.Limits{}))
	return s
}

// fill takes the memory of both endpoints.
func fill(p *toucanplace.Placer) {
	for range 2 {
		_, _ = p.Place(time.Now(), "s", toucanplace.Demand{Prompt: 28000}, nil) // One that does not fit leaves the other full.
	}
}

// slowLimits are the limits of endpoints whose next slot begins after a time.
type slowLimits time.Duration

// Wait implements toucanplace.RateLimits.
func (l slowLimits) Wait(time.Time, uint64) (time.Duration, bool) { return time.Duration(l), true }

// Limit implements toucanplace.RateLimits.
func (slowLimits) Limit(uint64) (float64, bool) { return 1, true }

// TestPreviewWaitsForSlots checks that a request which would wait for its slot at an endpoint with a limit is not said to be rejected, and that
// one which has no time for that is.
func TestPreviewWaitsForSlots(t *testing.T) {
	for patience, want := range map[time.Duration]toucanpreview.Decision{
		30 * time.Second: toucanpreview.DecisionSend, 100 * time.Millisecond: toucanpreview.DecisionReject,
	} {
		s := newPreviewServer(toucanplace.WithRateLimits(slowLimits(500 * time.Millisecond)))
		p := s.Preview(toucanpreview.Query{Host: "h.example", Path: "/chat/x", Workspace: "w", Prompt: 3000, MaxOutput: 400, Patience: patience})
		assert.Equal(t, p.Decision, want, "%+v", p)
	}
}

// TestPreviewsDelayNoCaller guards against callers that are told to come back later since others asked for previews.
func TestPreviewsDelayNoCaller(t *testing.T) {
	s := newPreviewServer(toucanplace.WithRateLimits(slowLimits(time.Hour)))
	query := toucanpreview.Query{Host: "h.example", Path: "/chat/x", Workspace: "w", Prompt: 3000, MaxOutput: 400}
	first := s.Preview(query)
	assert.Equal(t, first.Reason, "limited")
	for range 100 {
		p := s.Preview(query)
		assert.Assert(t, p.RetryAfterMs <= first.RetryAfterMs, "%d ms", p.RetryAfterMs)
	}
	j, _ := s.previewJob(time.Now(), query)
	assert.Assert(t, s.delayFor(j, toucanplace.ErrLimited).Milliseconds() <= first.RetryAfterMs)
}
