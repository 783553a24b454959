package toucanplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// TestWaitForASlotIsNoService guards against plain requests that are rejected as late since an earlier one waited before it was sent, for its
// slot at an endpoint that takes only so many a second.
func TestWaitForASlotIsNoService(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		p := NewPlacer("d1")
		p.SetEndpoints([]Endpoint{{ID: "a", Service: "s", Slots: 1}})
		r, err := p.Place(time.Now(), "s", Demand{}, nil)
		assert.NilError(t, err)
		time.Sleep(500 * time.Millisecond)
		r.MarkSent(time.Now())
		time.Sleep(10 * time.Millisecond)
		r.Done(time.Now(), OutcomeGood)
		assert.Equal(t, p.PlainEnd(time.Now(), "s", nil), 10*time.Millisecond)
		for range 2 {
			_, err = p.Place(time.Now(), "s", Demand{Left: 100 * time.Millisecond}, nil)
			assert.NilError(t, err)
		}
	})
}

// TestRequestsThatLeaveBeforeTheSendAreNotAhead checks that a request is not taken to have waited at its endpoint for those that had ended
// when it was sent.
func TestRequestsThatLeaveBeforeTheSendAreNotAhead(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		p := NewPlacer("d1")
		p.SetEndpoints([]Endpoint{{ID: "a", Service: "s", Slots: 1}})
		first, err := p.Place(time.Now(), "s", Demand{}, nil)
		assert.NilError(t, err)
		second, err := p.Place(time.Now(), "s", Demand{}, nil)
		assert.NilError(t, err)
		first.Done(time.Now(), OutcomeNeutral)
		second.MarkSent(time.Now())
		time.Sleep(10 * time.Millisecond)
		second.Done(time.Now(), OutcomeGood)
		assert.Equal(t, p.PlainEnd(time.Now(), "s", nil), 10*time.Millisecond)
	})
}

// TestPlainEndIgnoresTriedEndpoints checks that the time after which a rejected request comes back is not that of an endpoint which it may not
// use, such as one that refuses connections and so has nothing to do.
func TestPlainEndIgnoresTriedEndpoints(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		p := NewPlacer("d1")
		p.SetEndpoints([]Endpoint{{ID: "a", Service: "s", Slots: 1}, {ID: "b", Service: "s", Slots: 1}})
		only := func(id string) Filter { return func(e Endpoint) bool { return e.ID == id } }
		for _, id := range []string{"a", "b"} {
			r, err := p.Place(time.Now(), "s", Demand{}, only(id))
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			r.Done(time.Now(), OutcomeGood)
		}
		for range 3 {
			_, err := p.Place(time.Now(), "s", Demand{}, only("b"))
			assert.NilError(t, err)
		}
		assert.Equal(t, p.PlainEnd(time.Now(), "s", nil), 100*time.Millisecond)
		assert.Equal(t, p.PlainEnd(time.Now(), "s", only("b")), 400*time.Millisecond)
	})
}
