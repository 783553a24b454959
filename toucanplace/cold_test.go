package toucanplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// fixedEntries are Entries that don't change.
type fixedEntries []string

func (e fixedEntries) Known() []string { return e }

const (
	// coldTestLimit is the limit of the cold endpoint in the tests, among coldTestEntries entries.
	coldTestLimit   = 12
	coldTestEntries = 5
)

// newColdPlacers returns the placers of entries that use the endpoints of one domain.
func newColdPlacers() []*Placer {
	var names fixedEntries
	for i := range coldTestEntries {
		names = append(names, fmt.Sprint("entry", i))
	}
	placers := make([]*Placer, coldTestEntries)
	for i := range placers {
		placers[i] = NewPlacer("d1")
		placers[i].ConnectEntries(names[i], names)
	}
	return placers
}

func listAll(placers []*Placer, list ...Endpoint) {
	for _, p := range placers {
		p.SetEndpoints(list)
	}
}

// sendAll sends requests through all placers until none takes any more, and returns their number.
func sendAll(t *testing.T, placers []*Placer) int {
	sent := 0
	for _, p := range placers {
		for {
			r, err := p.Place(time.Now(), "s", Demand{}, nil)
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrFull))
				break
			}
			r.MarkSent(time.Now())
			r.Done(time.Now(), OutcomeGood)
			if sent++; sent > 100 {
				return sent
			}
		}
	}
	return sent
}

// TestColdEndpointsGetNoMoreThanTheirLimit checks from when and for how long the limit of an endpoint holds for all entries: after it
// appears, after it could not be reached, after it said that it is cold, and after its domain was taken back.
func TestColdEndpointsGetNoMoreThanTheirLimit(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		placers := newColdPlacers()
		old := Endpoint{ID: "old", Service: "other"}
		e := Endpoint{ID: "e", Service: "s", Slots: 100, ColdLimit: coldTestLimit, ColdTime: time.Second}
		isLimited := func() {
			t.Helper()
			n := sendAll(t, placers)
			assert.Assert(t, n > 0 && n <= coldTestLimit, "%d requests", n)
			assert.Equal(t, sendAll(t, placers), 0)
			time.Sleep(1100 * time.Millisecond)
			n = sendAll(t, placers)
			assert.Assert(t, n > 0 && n <= coldTestLimit, "%d requests", n)
		}
		isFree := func() {
			t.Helper()
			time.Sleep(e.ColdTime + coldNotice)
			assert.Assert(t, sendAll(t, placers) > 100)
			time.Sleep(2 * time.Second)
		}
		listAll(placers, old)
		time.Sleep(2 * newcomerTime)
		listAll(placers, old, e)
		isLimited()
		isFree()
		for _, p := range placers {
			p.Suspect(time.Now(), "e")
		}
		isLimited()
		isFree()
		for _, p := range placers {
			p.MarkCold(time.Now(), "e", 1200*time.Millisecond)
		}
		isLimited()
		isFree()
		evacuated := e
		evacuated.Evacuated = true
		listAll(placers, old, evacuated)
		time.Sleep(time.Minute)
		listAll(placers, old, e)
		isLimited()
		isFree()
		assert.Assert(t, placers[0].ColdRefusals() > 0)
	})
}

// TestOnePeerAloneMakesNoEndpointCold has peers report an endpoint as unreachable while others have requests there: only if they are most,
// or nobody reaches it, can the endpoint have started again without notice.
func TestOnePeerAloneMakesNoEndpointCold(t *testing.T) {
	for _, tc := range []struct {
		name            string
		missing, using  int
		answered, isOwn bool
		limited         bool
	}{
		{"one peer is cut off", 1, 2, false, false, false},
		{"one peer, and an answer", 1, 0, true, false, false},
		{"one peer, and an own request", 1, 0, false, true, false},
		{"most peers", 2, 1, false, false, true},
		{"nobody else uses it", 1, 0, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				placers := newColdPlacers()
				p := placers[0]
				e := Endpoint{ID: "e", Service: "s", Slots: 500, ColdLimit: coldTestLimit, ColdTime: time.Second}
				p.SetEndpoints([]Endpoint{e})
				time.Sleep(2 * newcomerTime)
				r, err := p.Place(time.Now(), "s", Demand{}, nil)
				assert.NilError(t, err)
				if !tc.isOwn {
					r.Done(time.Now(), OutcomeNeutral)
				}
				if tc.answered {
					answered, err := p.Place(time.Now(), "s", Demand{}, nil)
					assert.NilError(t, err)
					answered.Done(time.Now(), OutcomeGood)
				}
				for i := range tc.using {
					p.Observe(time.Now(), fmt.Sprint("using", i), map[uint64]Use{e.Key(): {Requests: 1}})
				}
				for i := range tc.missing {
					peer := fmt.Sprint("missing", i)
					p.Observe(time.Now(), peer, map[uint64]Use{e.Key(): {Requests: 1}})
					p.MarkUnreachable(time.Now(), peer, []uint64{e.Key()})
				}
				n := sendAll(t, placers[:1])
				assert.Equal(t, n <= coldTestLimit, tc.limited, "%d requests", n)
			})
		})
	}
}

// TestNewcomerSendsNothingToColdEndpoints checks that an entry that has started leaves endpoints out that say that they are cold, and
// uses them afterwards, and that those of other cells stay left out.
func TestNewcomerSendsNothingToColdEndpoints(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		placers := newColdPlacers()
		warm := time.Now().Add(time.Minute)
		listAll(placers, Endpoint{ID: "e", Service: "s", Slots: 100, ColdLimit: coldTestLimit, Warm: warm})
		assert.Equal(t, sendAll(t, placers), 0)
		time.Sleep(newcomerTime)
		assert.Assert(t, sendAll(t, placers) > 0)
		listAll(placers, Endpoint{ID: "f", Service: "s", Slots: 100, ColdLimit: coldTestLimit, Warm: warm, OtherCell: true})
		assert.Equal(t, sendAll(t, placers), 0)
	})
}

// TestForcedRequestsWaitForTheirTurn checks that a request that must go to a cold endpoint waits until it is within its entry's share,
// and that requests that are given up before they are sent don't count.
func TestForcedRequestsWaitForTheirTurn(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		placers := newColdPlacers()
		e := Endpoint{ID: "e", Service: "s", Slots: 100, ColdLimit: coldTestLimit, Warm: time.Now().Add(time.Minute)}
		listAll(placers, e)
		time.Sleep(newcomerTime)
		for range 3 * coldTestLimit {
			r, err := placers[0].Place(time.Now(), "s", Demand{}, nil)
			assert.NilError(t, err)
			r.Done(time.Now(), OutcomeNeutral)
		}
		sendAll(t, placers)
		r := placers[0].ReserveForced(e, Demand{})
		wait := r.ColdWait(time.Now())
		assert.Assert(t, wait > time.Second && wait < 1200*time.Millisecond, "%s", wait)
		time.Sleep(wait)
		assert.Equal(t, r.ColdWait(time.Now()), time.Duration(0))
	})
}
