package toucanforward

import (
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanbubble"
	"toucanport/toucanplace"
	"toucanport/toucanrefusal"
	"toucanport/toucantraffic"
)

// TestPlainRequestWithoutTimeIsRejected checks that a plain request that would end after its deadline behind those at the endpoint is
// rejected at once as not run, and that one with more time is placed behind them.
func TestPlainRequestWithoutTimeIsRejected(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		s := New(Config{Placer: toucanplace.NewPlacer("d1"), Log: slog.New(slog.DiscardHandler)})
		s.placer.SetEndpoints([]toucanplace.Endpoint{{ID: "a", Service: "s", Slots: 1}})
		first, err := s.placer.Place(time.Now(), "s", toucanplace.Demand{}, nil)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		first.Done(time.Now(), toucanplace.OutcomeGood)
		newJob := func(left time.Duration) *job {
			now := time.Now()
			return &job{
				route: toucantraffic.Route{Name: "r", Goal: 100 * time.Millisecond}, service: toucantraffic.Service{Name: "s"},
				arrived: now, deadline: now.Add(left), body: &toucanbody.Body{},
			}
		}
		for range 3 {
			_, err := s.place(t.Context(), newJob(2*time.Second))
			assert.NilError(t, err)
		}
		short := newJob(300 * time.Millisecond)
		_, err = s.place(t.Context(), short)
		assert.Assert(t, errors.Is(err, toucanplace.ErrNoTime), "%v", err)
		assert.Equal(t, time.Since(short.arrived), time.Duration(0))
		r := toucanrefusal.OfPlacement(t.Context(), err, false, s.delayFor(short, err))
		assert.Equal(t, r.Status, 503)
		assert.Equal(t, r.Reason, toucanrefusal.ReasonHopeless)
		assert.Assert(t, r.RetryAfter >= 10*time.Millisecond && r.RetryAfter <= 100*time.Millisecond, "come back after %v", r.RetryAfter)
		assert.Equal(t, toucanrefusal.OfPlacement(t.Context(), err, true, 0).Status, 504, "a request that may have run is not said not to have")
		_, err = s.place(t.Context(), newJob(2*time.Second))
		assert.NilError(t, err)
	})
}
