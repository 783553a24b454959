// Package toucanpace learns how long each endpoint takes for one event of a stream, from the events themselves, and forecasts the
// longest pause of a stream beside which the endpoint reads a prompt. It answers a load of long streams and short questions at
// endpoints that differ in speed and are slow for moments. Entries share what they have learned. It performs no I/O.
package toucanpace

import (
	"slices"
	"sync"
	"time"
)

const (
	// slotLength is the length of the spans over which event times are averaged. It is about as long as a slow moment, so that one
	// falls into few spans.
	slotLength = 500 * time.Millisecond
	// slotCount is the number of spans that are kept.
	slotCount = 16
	// minSlotEvents is the least number of events of a span that counts.
	minSlotEvents = 2
	// minSlots is the least number of spans from which a pace is known: one slow moment can fill two of them.
	minSlots = 4
	// maxEvent bounds the time of one event. Longer ones are due to something else.
	maxEvent = 2 * time.Second
	// paceLife is how long a pace is kept without news.
	paceLife = 8 * time.Second
	// viewInterval is the time between two evaluations.
	viewInterval = 250 * time.Millisecond
)

// Pace is the time that an endpoint usually takes for one event. It is immutable.
type Pace struct {
	// Alone is the time while no prompt is read beside the stream, Beside that while one is; zero if it is unknown.
	Alone, Beside time.Duration
}

// Reported is a peer's Pace of an endpoint, which is given by its Key.
type Reported struct {
	Endpoint uint64
	Pace     Pace
}

// Learner holds the paces of endpoints, which are given by their Keys. It is safe for concurrent use.
type Learner struct {
	mu        sync.Mutex
	endpoints map[uint64]*endpoint
	slowdowns slowdowns
	view      view
}

// endpoint holds what is known of an endpoint.
type endpoint struct {
	alone, beside spans
	// peers holds the last word of each peer, by name.
	peers map[string]heard
	// news is the time of the last event or word.
	news time.Time
}

type heard struct {
	at   time.Time
	pace Pace
}

// view is an evaluation of all that is known at a time. It is not changed any more.
type view struct {
	at time.Time
	// pauses holds the forecast of each endpoint with a known pace.
	pauses map[uint64]time.Duration
	// usual is the median of pauses; zero if there is none.
	usual time.Duration
}

// New returns a Learner that knows of no endpoint.
func New() *Learner {
	return &Learner{endpoints: make(map[uint64]*endpoint)}
}

// Observe records that an endpoint made a number of events of a stream in a time. beside is true if it read a prompt all the while,
// and false if it read none.
func (l *Learner) Observe(now time.Time, key uint64, took time.Duration, events int, beside bool) {
	if events <= 0 || took <= 0 || took > maxEvent {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(key)
	e.news = now
	s := &e.alone
	if beside {
		s = &e.beside
	}
	if usual := s.median(now); usual > 0 && events == 1 {
		l.slowdowns.add(float64(took) / float64(usual))
	}
	s.add(now, took, events)
}

// ObservePeer records what a peer has learned. A later word of the peer on an endpoint replaces the earlier one.
func (l *Learner) ObservePeer(now time.Time, peer string, paces []Reported) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range paces {
		if r.Pace.Alone < 0 || r.Pace.Beside < 0 || r.Pace.Alone > maxEvent || r.Pace.Beside > maxEvent {
			continue
		}
		e := l.endpoint(r.Endpoint)
		e.news = now
		e.peers[peer] = heard{at: now, pace: r.Pace}
	}
}

// Own returns the paces that this entry has learned itself, the newest first, and at most limit.
func (l *Learner) Own(now time.Time, limit int) []Reported {
	l.mu.Lock()
	defer l.mu.Unlock()
	type dated struct {
		Reported
		at int64
	}
	var list []dated
	for key, e := range l.endpoints {
		p := Pace{Alone: e.alone.median(now), Beside: e.beside.median(now)}
		if p != (Pace{}) {
			list = append(list, dated{Reported{Endpoint: key, Pace: p}, max(e.alone.last, e.beside.last)})
		}
	}
	slices.SortFunc(list, func(x, y dated) int {
		if x.at != y.at {
			return int(y.at - x.at)
		}
		if x.Endpoint < y.Endpoint {
			return -1
		}
		return 1
	})
	paces := make([]Reported, 0, min(len(list), limit))
	for _, d := range list[:min(len(list), limit)] {
		paces = append(paces, d.Reported)
	}
	return paces
}

// Pause returns the longest pause to expect of a stream at an endpoint that reads a prompt beside it. known is false if the pace of
// the endpoint is unknown; the pause is then the usual one, or zero if no pace is known.
func (l *Learner) Pause(now time.Time, key uint64) (pause time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view.at.IsZero() || now.Sub(l.view.at) >= viewInterval {
		l.evaluate(now)
	}
	if pause, known = l.view.pauses[key]; known {
		return pause, true
	}
	return l.view.usual, false
}

// evaluate renews the view and forgets endpoints without news. The caller holds l.mu.
func (l *Learner) evaluate(now time.Time) {
	paces := make(map[uint64]Pace, len(l.endpoints))
	var ratios []float64
	for key, e := range l.endpoints {
		if now.Sub(e.news) > paceLife {
			delete(l.endpoints, key)
			continue
		}
		p := e.pace(now)
		paces[key] = p
		if p.Alone > 0 && p.Beside > 0 {
			ratios = append(ratios, float64(p.Beside)/float64(p.Alone))
		}
	}
	besideRatio, slowdown := medianOf(ratios), l.slowdowns.high()
	l.view = view{at: now, pauses: make(map[uint64]time.Duration, len(paces))}
	var all []time.Duration
	for key, p := range paces {
		beside := p.Beside
		if beside == 0 {
			beside = time.Duration(float64(p.Alone) * besideRatio)
		}
		if beside == 0 {
			continue
		}
		pause := time.Duration(float64(beside) * slowdown)
		l.view.pauses[key] = pause
		all = append(all, pause)
	}
	l.view.usual = medianOf(all)
}

// pace returns the median of this entry's own pace and those of its peers.
func (e *endpoint) pace(now time.Time) Pace {
	var alone, beside []time.Duration
	add := func(p Pace) {
		if p.Alone > 0 {
			alone = append(alone, p.Alone)
		}
		if p.Beside > 0 {
			beside = append(beside, p.Beside)
		}
	}
	add(Pace{Alone: e.alone.median(now), Beside: e.beside.median(now)})
	for peer, h := range e.peers {
		if now.Sub(h.at) > paceLife {
			delete(e.peers, peer)
			continue
		}
		add(h.pace)
	}
	return Pace{Alone: medianOf(alone), Beside: medianOf(beside)}
}

// endpoint returns what is known of an endpoint. The caller holds l.mu.
func (l *Learner) endpoint(key uint64) *endpoint {
	e, ok := l.endpoints[key]
	if !ok {
		e = &endpoint{peers: make(map[string]heard)}
		l.endpoints[key] = e
	}
	return e
}

// medianOf returns the lower median of a list, which it sorts; zero for an empty one.
func medianOf[T int64 | float64 | time.Duration](list []T) T {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
