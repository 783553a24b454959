package toucanpace_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanpace"
)

var start = time.Unix(1_700_000_000, 0)

const (
	fast, slow = uint64(1), uint64(2)
	// Event times of the endpoints, alone and beside a prompt.
	fastAlone, fastBeside = 18 * time.Millisecond, 34 * time.Millisecond
	slowAlone, slowBeside = 39 * time.Millisecond, 74 * time.Millisecond
	// noise is by how much an event is longer in a slow moment.
	noise = 2.5
)

// feed has an endpoint make events of one stream for a time, in turn alone and beside a prompt. slowed says in which moments it is
// slow.
func feed(l *toucanpace.Learner, from time.Time, d time.Duration, key uint64, alone, beside time.Duration, slowed func(time.Duration) bool) {
	for at := time.Duration(0); at < d; {
		isBeside := at/(400*time.Millisecond)%2 == 1
		took := alone
		if isBeside {
			took = beside
		}
		if slowed(at) {
			took = time.Duration(noise * float64(took))
		}
		at += took
		l.Observe(from.Add(at), key, took, 1, isBeside)
	}
}

func never(time.Duration) bool { return false }

// aSeventh is true for 600 of 4,000 ms.
func aSeventh(at time.Duration) bool { return at%(4*time.Second) >= 3400*time.Millisecond }

func TestForecastTellsUnevenEndpointsApart(t *testing.T) {
	l := toucanpace.New()
	feed(l, start, 12*time.Second, fast, fastAlone, fastBeside, aSeventh)
	feed(l, start, 12*time.Second, slow, slowAlone, slowBeside, aSeventh)
	now := start.Add(12600 * time.Millisecond)
	f, known := l.Forecast(now, fast)
	assert.Assert(t, known)
	assert.Assert(t, f.Pause > 70*time.Millisecond && f.Pause < 100*time.Millisecond, "%v", f.Pause)
	f, known = l.Forecast(now, slow)
	assert.Assert(t, known)
	assert.Assert(t, f.Pause > 160*time.Millisecond && f.Pause < 210*time.Millisecond, "%v", f.Pause)
}

func TestUnknownEndpointHasTheUsualForecast(t *testing.T) {
	l := toucanpace.New()
	f, known := l.Forecast(start, fast)
	assert.Assert(t, !known)
	assert.Equal(t, f, toucanpace.Forecast{})
	feed(l, start, 12*time.Second, slow, slowAlone, slowBeside, aSeventh)
	now := start.Add(12600 * time.Millisecond)
	usual, _ := l.Forecast(now, slow)
	f, known = l.Forecast(now, fast)
	assert.Assert(t, !known)
	assert.Equal(t, f, usual)
}

// TestOneSlowMomentChangesNothing shows that an endpoint's pace stays what it is when its newest events are all from a slow moment.
func TestOneSlowMomentChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := time.Duration(rapid.IntRange(100, 600).Draw(t, "length")) * time.Millisecond
		begin := time.Duration(rapid.IntRange(2500, 5000).Draw(t, "begin")) * time.Millisecond
		calm, noisy := toucanpace.New(), toucanpace.New()
		feed(calm, start, begin+length, fast, fastAlone, fastBeside, never)
		feed(noisy, start, begin+length, fast, fastAlone, fastBeside, func(at time.Duration) bool { return at >= begin })
		now := start.Add(begin + length + 300*time.Millisecond)
		for i, p := range noisy.Own(now, 1).Paces {
			want := calm.Own(now, 1).Paces[i].Pace
			assert.Assert(t, p.Pace.Alone <= want.Alone*11/10, "%v, want %v", p.Pace, want)
			assert.Assert(t, p.Pace.Beside <= want.Beside*11/10, "%v, want %v", p.Pace, want)
		}
	})
}

func TestPaceIsForgottenWithoutNews(t *testing.T) {
	l := toucanpace.New()
	feed(l, start, 5*time.Second, fast, fastAlone, fastBeside, never)
	_, known := l.Forecast(start.Add(6*time.Second), fast)
	assert.Assert(t, known)
	_, known = l.Forecast(start.Add(15*time.Second), fast)
	assert.Assert(t, !known)
}

// TestOrderOfReportsIsIrrelevant has peers report in any order, some reports twice: the forecasts are the same.
func TestOrderOfReportsIsIrrelevant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			peer    string
			learned toucanpace.Learned
		}
		var reports []report
		for _, peer := range []string{"a", "b", "c", "d"} {
			micros := rapid.IntRange(10_000, 100_000).Draw(t, peer)
			beside := time.Duration(micros) * time.Microsecond
			reports = append(reports, report{peer, toucanpace.Learned{
				Paces:     []toucanpace.Reported{{Endpoint: fast, Pace: toucanpace.Pace{Alone: beside / 2, Beside: beside}}},
				Slowdowns: []uint32{uint32(micros / 100), 5, uint32(micros % 50)},
			}})
		}
		forecast := func(order []report) toucanpace.Forecast {
			l := toucanpace.New()
			for _, r := range order {
				l.ObservePeer(start, r.peer, r.learned)
			}
			f, known := l.Forecast(start, fast)
			assert.Assert(t, known)
			return f
		}
		want := forecast(reports)
		seed := rapid.Uint64().Draw(t, "seed")
		shuffled := append(slices.Clone(reports), reports[rapid.IntRange(0, 3).Draw(t, "twice")])
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(t, forecast(shuffled), want)
	})
}

// TestOddReportsAreHarmless has a peer report what no endpoint can have.
func TestOddReportsAreHarmless(t *testing.T) {
	l := toucanpace.New()
	feed(l, start, 12*time.Second, fast, fastAlone, fastBeside, aSeventh)
	now := start.Add(12600 * time.Millisecond)
	want, _ := l.Forecast(now, fast)
	l.ObservePeer(now, "odd", toucanpace.Learned{
		Paces: []toucanpace.Reported{
			{Endpoint: fast, Pace: toucanpace.Pace{Beside: time.Hour}},
			{Endpoint: fast, Pace: toucanpace.Pace{Alone: -1}},
			{Endpoint: 99},
		},
		Slowdowns: make([]uint32, 1000),
	})
	l.Observe(now, fast, -time.Second, 1, true)
	l.Observe(now, fast, time.Hour, 1, true)
	l.Observe(now, fast, time.Second, 0, true)
	l.ObserveRead(now, fast, time.Second, 0)
	got, known := l.Forecast(now.Add(300*time.Millisecond), fast)
	assert.Assert(t, known)
	assert.Equal(t, got.Pause.Round(time.Millisecond), want.Pause.Round(time.Millisecond))
	_, known = l.Forecast(now.Add(300*time.Millisecond), 99)
	assert.Assert(t, !known)
}

// TestReadingShowsThePaceOfANewEndpoint has an endpoint that has made no long stream read prompts at half of a known one's speed.
func TestReadingShowsThePaceOfANewEndpoint(t *testing.T) {
	const newcomer = uint64(3)
	l := toucanpace.New()
	feed(l, start, 6*time.Second, fast, fastAlone, fastBeside, never)
	now := start.Add(6300 * time.Millisecond)
	for range 10 {
		l.ObserveRead(now, fast, 300*time.Millisecond, 3000)
	}
	l.ObserveRead(now, newcomer, 600*time.Millisecond, 3000)
	now = now.Add(300 * time.Millisecond)
	f, known := l.Forecast(now, newcomer)
	assert.Assert(t, known)
	of, _ := l.Forecast(now, fast)
	assert.Assert(t, f.Pause > 2*of.Pause && f.Pause < 3*of.Pause, "%v, known one %v", f.Pause, of.Pause)
	assert.Assert(t, f.ReadTime > of.ReadTime)
}

func TestOwnIsBounded(t *testing.T) {
	l := toucanpace.New()
	for key := range uint64(50) {
		feed(l, start.Add(time.Duration(key)*10*time.Millisecond), 4*time.Second, key, fastAlone, fastBeside, aSeventh)
	}
	own := l.Own(start.Add(5*time.Second), 8)
	assert.Equal(t, len(own.Paces), 8)
	assert.Assert(t, len(own.Slowdowns) <= 32)
}

// TestSlowMomentIsSeenAndEnds has an endpoint with a known pace become slow and usual again, as seen by its own entry and by a peer.
func TestSlowMomentIsSeenAndEnds(t *testing.T) {
	l, peer := toucanpace.New(), toucanpace.New()
	feed(l, start, 6*time.Second, fast, fastAlone, fastAlone, never)
	feed(peer, start, 6*time.Second, fast, fastAlone, fastAlone, never)
	now := start.Add(6300 * time.Millisecond)
	isSlow := func(l *toucanpace.Learner, now time.Time) bool {
		f, _ := l.Forecast(now, fast)
		return f.Slow
	}
	assert.Assert(t, !isSlow(l, now))
	l.Observe(now, fast, 5*fastAlone/2, 1, false)
	assert.Assert(t, isSlow(l, now))
	peer.ObserveSlow(now, l.SlowNow(now, 8))
	assert.Assert(t, isSlow(peer, now))
	assert.Equal(t, len(peer.SlowNow(now, 8)), 0, "what a peer said is not passed on")
	assert.Assert(t, !isSlow(peer, now.Add(time.Second)), "a report that is not repeated expires")
	l.Observe(now.Add(20*time.Millisecond), fast, fastAlone, 1, false)
	assert.Assert(t, !isSlow(l, now.Add(20*time.Millisecond)))
}
