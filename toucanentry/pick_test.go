package toucanentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanroute"
)

// TestRetryWaitsForEndpointsThatFailedTogether guards against a request that is refused although its deadline is far, because all endpoints
// failed at the same moment, as after a stall of their links, and are ejected for 0.2 s.
func TestRetryWaitsForEndpointsThatFailedTogether(t *testing.T) {
	const service = "s"
	cases := []struct {
		name     string
		exclude  []string
		patience time.Duration
		picked   string
		wait     time.Duration
	}{
		{"retry", []string{"a"}, time.Minute, "b", 250 * time.Millisecond},
		{"retry that has tried all", []string{"a", "b"}, time.Minute, "any", 250 * time.Millisecond},
		{"retry whose deadline is near", []string{"a"}, 100 * time.Millisecond, "", 100 * time.Millisecond},
		{"first attempt", nil, time.Minute, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				e := &Entry{cfg: Config{Router: toucanroute.NewToucan(toucanroute.Config{})}}
				endpoints := []toucanroute.Endpoint{{Name: "a", Service: service}, {Name: "b", Service: service}}
				q := toucanroute.Query{Service: service}
				e.cfg.Router.SetEndpoints(time.Now(), service, endpoints)
				for _, ep := range endpoints {
					e.cfg.Router.RecordSent(time.Now(), ep.Name, q)
					e.cfg.Router.RecordOutcome(time.Now(), ep.Name, q, toucanroute.Failed, 0)
				}
				began := time.Now()
				q.Exclude = c.exclude
				ep, err := e.pick(t.Context(), q, began.Add(c.patience))
				assert.Assert(t, time.Since(began) <= c.wait, "after %s", time.Since(began))
				if c.picked == "" {
					assert.ErrorIs(t, err, toucanroute.ErrNoEndpoint)
					return
				}
				assert.NilError(t, err)
				assert.Assert(t, c.picked == "any" || c.picked == ep.Name, ep.Name)
			})
		})
	}
}
