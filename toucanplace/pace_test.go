package toucanplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanpace"
)

const (
	testGap     = 180 * time.Millisecond
	soundPause  = 85 * time.Millisecond
	brokenPause = 185 * time.Millisecond
)

// fixedPaces holds the forecasts of endpoints by Key.
type fixedPaces map[uint64]toucanpace.Forecast

func (f fixedPaces) Forecast(_ time.Time, key uint64) (toucanpace.Forecast, bool) {
	forecast, known := f[key]
	return forecast, known
}

// unevenPlacer returns a placer with endpoints whose longest pauses beside a prompt are given, with IDs e0, e1 and so on.
func unevenPlacer(pauses ...time.Duration) (*Placer, []Endpoint) {
	paces := make(fixedPaces)
	var list []Endpoint
	for i, pause := range pauses {
		e := Endpoint{ID: fmt.Sprint("e", i), Service: "s", FailureDomain: "d", Slots: 24, MemoryTokens: 27000}
		list = append(list, e)
		paces[e.Key()] = toucanpace.Forecast{Pause: pause, ReadTime: pause}
	}
	p := NewPlacer("d", WithPaces(paces))
	p.SetEndpoints(list)
	return p, list
}

var (
	longDemand  = Demand{Prompt: 3000, Output: 740, MaxGap: testGap}
	shortDemand = Demand{Prompt: 2500, Output: 12, MaxGap: testGap}
)

func only(id string) Filter { return func(e Endpoint) bool { return e.ID == id } }

func placeAt(t *testing.T, p *Placer, now time.Time, d Demand, id string) *Reservation {
	t.Helper()
	r, err := p.Place(now, "s", d, only(id))
	assert.NilError(t, err)
	return r
}

// TestPromptsAvoidStreamsThatTheyMakeLate has long streams at slow endpoints: short requests go to where they harm none.
func TestPromptsAvoidStreamsThatTheyMakeLate(t *testing.T) {
	now := time.Now()
	p, _ := unevenPlacer(brokenPause, brokenPause, soundPause)
	placeAt(t, p, now, longDemand, "e0").MarkPromptRead()
	for range 3 {
		r, err := p.Place(now, "s", shortDemand, nil)
		assert.NilError(t, err)
		assert.Assert(t, r.Endpoint.ID != "e0")
	}
}

// TestPromptsAvoidSlowMoments has the same number of long streams at two slow endpoints, of which one is slow right now.
func TestPromptsAvoidSlowMoments(t *testing.T) {
	now := time.Now()
	p, list := unevenPlacer(brokenPause, brokenPause, soundPause)
	paces := p.paces.(fixedPaces)
	for _, slow := range []int{0, 1} {
		for i := range 2 {
			f := paces[list[i].Key()]
			f.Slow = i == slow
			paces[list[i].Key()] = f
		}
		p.Observe(now, "peer", map[uint64]Use{
			list[0].Key(): {Requests: 2, Tokens: 7000, Held: 7000, Exposed: 2},
			list[1].Key(): {Requests: 2, Tokens: 7000, Held: 7000, Exposed: 2},
		})
		r, err := p.Place(now, "s", shortDemand, func(e Endpoint) bool { return e.ID != "e2" })
		assert.NilError(t, err)
		assert.Equal(t, r.Endpoint.ID, list[1-slow].ID)
		r.Done(now, OutcomeNeutral)
	}
}

// TestLateStreamsNeedNoProtection has a stream that is late already: it keeps no prompts away.
func TestLateStreamsNeedNoProtection(t *testing.T) {
	now := time.Now()
	p, _ := unevenPlacer(brokenPause, brokenPause, soundPause)
	r := placeAt(t, p, now, longDemand, "e0")
	r.MarkPromptRead()
	assert.Equal(t, p.LoadOf(now, "e0").Exposed, 1)
	r.MarkSafe()
	r.MarkSafe()
	assert.Equal(t, p.LoadOf(now, "e0").Exposed, 0)
	r.Done(now, OutcomeGood)
	assert.Equal(t, p.LoadOf(now, "e0"), Use{})
}

// TestEqualEndpointsAreChosenAsBefore compares placements at endpoints that are all fast or all slow with those of a placer that knows
// no paces, under random loads.
func TestEqualEndpointsAreChosenAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pause := rapid.SampledFrom([]time.Duration{0, soundPause, brokenPause}).Draw(t, "pause")
		with, list := unevenPlacer(pause, pause, pause, pause)
		without := NewPlacer("d")
		without.SetEndpoints(list)
		now := time.Now()
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			d := rapid.SampledFrom([]Demand{longDemand, shortDemand}).Draw(t, "demand")
			x, xErr := with.Place(now, "s", d, nil)
			y, yErr := without.Place(now, "s", d, nil)
			assert.Equal(t, xErr == nil, yErr == nil)
			if xErr != nil {
				return
			}
			assert.Equal(t, x.Endpoint.ID, y.Endpoint.ID)
			assert.Assert(t, !x.Choice.Pace.Uneven)
			if rapid.Bool().Draw(t, "read") {
				x.MarkPromptRead()
				y.MarkPromptRead()
			}
		}
	})
}

// TestChoiceHarmsFewestStreams compares the choice with all others: at equal load, none would make fewer streams late.
func TestChoiceHarmsFewestStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 5
		pauses := make([]time.Duration, count)
		for i := range pauses {
			pauses[i] = rapid.SampledFrom([]time.Duration{soundPause, brokenPause}).Draw(t, "pause")
		}
		p, list := unevenPlacer(pauses...)
		now := time.Now()
		uses := make(map[uint64]Use)
		exposed := make(map[string]int)
		for _, e := range list {
			exposed[e.ID] = rapid.IntRange(0, 4).Draw(t, e.ID)
			uses[e.Key()] = Use{Requests: 4, Tokens: 12000, Held: 10000, Exposed: exposed[e.ID]}
		}
		p.Observe(now, "peer", uses)
		harm := func(id string, pause time.Duration) int {
			if pause == soundPause {
				return 0
			}
			return exposed[id]
		}
		r, err := p.Place(now, "s", shortDemand, nil)
		assert.NilError(t, err)
		if !r.Choice.Pace.Uneven {
			return
		}
		least, chosen := math.MaxInt, 0
		for i, e := range list {
			least = min(least, harm(e.ID, pauses[i]))
			if e.ID == r.Endpoint.ID {
				chosen = harm(e.ID, pauses[i])
			}
		}
		assert.Equal(t, chosen, least)
	})
}

// TestLongStreamsAvoidAFirstEventThatIsLate has unread prompts at the fast endpoint, so that the first event would be late there.
func TestLongStreamsAvoidAFirstEventThatIsLate(t *testing.T) {
	now := time.Now()
	p, list := unevenPlacer(brokenPause, soundPause)
	d := longDemand
	d.Goal = time.Second
	r, err := p.Place(now, "s", d, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.Endpoint.ID, "e1")
	p.Observe(now, "peer", map[uint64]Use{list[1].Key(): {Requests: 3, Tokens: 9000, Unread: 9000}})
	r, err = p.Place(now, "s", d, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.Endpoint.ID, "e0")
}

// TestBoundOfFormerStreamsIsForgotten has streams with a bound that endpoints break, and an hour later only such with a longer one, which
// none breaks.
func TestBoundOfFormerStreamsIsForgotten(t *testing.T) {
	now := time.Now()
	p, _ := unevenPlacer(brokenPause, soundPause)
	placeAt(t, p, now, longDemand, "e0").Done(now, OutcomeGood)
	assert.Assert(t, p.IsUneven(now, "s"))
	now = now.Add(time.Hour)
	patient := longDemand
	patient.MaxGap = time.Second
	placeAt(t, p, now, patient, "e0").Done(now, OutcomeGood)
	assert.Assert(t, !p.IsUneven(now, "s"))
}

// TestStreamsMoveAwayFromPrompts has a long stream at a slow endpoint that begins to read a prompt, and another one that reads none.
func TestStreamsMoveAwayFromPrompts(t *testing.T) {
	now := time.Now()
	p, list := unevenPlacer(brokenPause, brokenPause, soundPause)
	placeAt(t, p, now, longDemand, "e1").MarkPromptRead()
	placeAt(t, p, now, longDemand, "e0").MarkPromptRead()
	d := longDemand
	d.Made = 100
	others := func(e Endpoint) bool { return e.ID != "e0" }
	assert.Assert(t, p.PlaceBetter(now, list[0], d, others) == nil)
	placeAt(t, p, now, shortDemand, "e0")
	r := p.PlaceBetter(now, list[0], d, others)
	assert.Assert(t, r != nil)
	assert.Assert(t, r.Choice.Cost < r.Choice.Pace.Stay)
	r.Done(now, OutcomeNeutral)
	d.Made = d.Output - 199
	assert.Assert(t, p.PlaceBetter(now, list[0], d, others) == nil, "a stream that ends soon is not moved")
	d.Made, d.MaxGap = 100, 0
	assert.Assert(t, p.PlaceBetter(now, list[0], d, others) == nil, "a late stream is not moved")
}

// modelStream is a stream of the engine model of TestUnevenLoad.
type modelStream struct {
	r       *Reservation
	long    bool
	unread  float64 // tokens
	left    float64 // events
	arrived int     // ms
	late    bool
}

// TestUnevenLoad plays long and short streams on endpoints of two speeds with slow moments, each reading prompts one after the other at
// a speed that does not depend on the streams beside them. With the forecasts, fewer long streams have an event beside a prompt in
// a slow moment of a slow endpoint.
func TestUnevenLoad(t *testing.T) {
	without, withoutFirst := playLoad(t, false)
	with, withFirst := playLoad(t, true)
	t.Logf("of all long streams late by a pause: %.2f without, %.2f with the forecasts; late first events: %.2f, %.2f", without, with, withoutFirst, withFirst)
	assert.Assert(t, with < without/2, "%.2f, without the forecasts %.2f", with, without)
	assert.Assert(t, withFirst < 0.1, "%.2f", withFirst)
}

// playLoad returns the share of the long streams that are late by a pause, and of all streams that are late by their first event.
func playLoad(t *testing.T, usePaces bool) (latePauses, lateFirst float64) {
	const (
		endpoints, fastOnes = 16, 4
		stepMs              = 20
		lastMs              = 60_000
		goalMs              = 1500
		fastRead, slowRead  = 11.0, 5.0 // tokens a ms
		fastPace, slowPace  = 22.0, 45.0
	)
	pauses := make([]time.Duration, endpoints)
	for i := range pauses {
		pauses[i] = brokenPause
		if i < fastOnes {
			pauses[i] = soundPause
		}
	}
	p, list := unevenPlacer(pauses...)
	if !usePaces {
		p.paces = noPaces{}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	slowUntil := make([]int, endpoints)
	running := make([][]*modelStream, endpoints)
	streams, longs, late, first := 0, 0, 0, 0
	begin := time.Now()
	for ms := 0; ms < lastMs; ms += stepMs {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		for _, long := range []bool{true, false} {
			if rng.Float64() > 6.0*stepMs/1000 {
				continue
			}
			d := shortDemand
			s := &modelStream{arrived: ms, left: 3}
			if long {
				d, s.long, s.left = longDemand, true, 186
			}
			d.Goal = goalMs * time.Millisecond
			r, err := p.Place(now, "s", d, nil)
			if err != nil {
				continue
			}
			s.r, s.unread = r, float64(d.Prompt)
			for i := range list {
				if list[i].ID == r.Endpoint.ID {
					running[i] = append(running[i], s)
				}
			}
			streams++
			if long {
				longs++
			}
		}
		for i := range list {
			if ms >= slowUntil[i] && rng.Float64() < 0.006 {
				slowUntil[i] = ms + 600
			}
			read, pace := slowRead, slowPace
			if i < fastOnes {
				read, pace = fastRead, fastPace
			}
			isSlow := ms < slowUntil[i]
			if isSlow {
				read, pace = read/2.5, pace*2.5
			}
			reading := false
			var rest []*modelStream
			for _, s := range running[i] {
				switch {
				case s.unread > 0 && !reading:
					reading = true
					if s.unread -= read * stepMs; s.unread <= 0 {
						s.r.MarkPromptRead()
						if ms-s.arrived > goalMs {
							first++
						}
					}
				case s.unread <= 0:
					s.left -= stepMs / pace
				}
				rest = append(rest, s)
			}
			running[i] = rest[:0]
			for _, s := range rest {
				if s.unread <= 0 && reading && isSlow && i >= fastOnes && s.long && !s.late {
					s.late = true
					late++
					s.r.MarkSafe()
				}
				if s.left <= 0 {
					s.r.Done(now, OutcomeGood)
					continue
				}
				running[i] = append(running[i], s)
			}
		}
	}
	return float64(late) / float64(longs), float64(first) / float64(streams)
}
