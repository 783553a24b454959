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
	// slotLength is the length of the spans over which event times are averaged. A slow moment fills few of them.
	slotLength = 250 * time.Millisecond
	// slotCount is the number of spans that are kept.
	slotCount = 24
	// minSlotEvents is the least number of events of a span that counts.
	minSlotEvents = 2
	// minSlots is the least number of spans from which a pace is known.
	minSlots = 5
	// maxEvent bounds the time of one event. Longer ones are due to something else.
	maxEvent = 2 * time.Second
	// paceLife is how long a pace is kept without news.
	paceLife = 8 * time.Second
	// derivedMargin is how much longer an event may take than the reading of prompts shows: requests without others before them, or
	// with parts that are kept, are read in less than the usual time.
	derivedMargin = 1.3
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

// Learned is what an entry has learned itself.
type Learned struct {
	Paces []Reported
	// Slowdowns holds how many single events took longer than usual, by steps of slowdownStep.
	Slowdowns []uint32
}

// Learner holds the paces of endpoints, which are given by their Keys. It is safe for concurrent use.
type Learner struct {
	mu        sync.Mutex
	endpoints map[uint64]*endpoint
	slowdowns slowdowns
	// peers holds the slowdowns that each peer has counted, by name.
	peers map[string]heardSlowdowns
	reads reads
	view  view
}

// endpoint holds what is known of an endpoint.
type endpoint struct {
	alone, beside spans
	// peers holds the last word of each peer, by name.
	peers map[string]heard
	// slow tells whether the endpoint is in a slow moment.
	slow moment
	// reads holds the last readings of prompts.
	reads recentReads
	// news is the time of the last event or word, newest the number of the last span with an event or a reading.
	news   time.Time
	newest int64
}

type heardSlowdowns struct {
	at     time.Time
	counts slowdowns
}

type heard struct {
	at   time.Time
	pace Pace
}

// view is an evaluation of all that is known at a time. It is not changed any more.
type view struct {
	at time.Time
	// paces holds the known paces, and readShare the share of reads.
	paces     map[uint64]Pace
	readShare float64
	// forecasts holds the forecast of each endpoint with a known pace.
	forecasts map[uint64]Forecast
	// usual is the median of the forecasts; zero if there is none.
	usual Forecast
}

// Forecast is what to expect of an endpoint.
type Forecast struct {
	// Pause is the longest pause of a stream beside which the endpoint reads a prompt; zero if it is unknown.
	Pause time.Duration
	// Slow is true while events at the endpoint take longer than usual.
	Slow bool
	// ReadTime is the time in which it reads a thousand tokens of prompts; zero if it is unknown.
	ReadTime time.Duration
}

// New returns a Learner that knows of no endpoint.
func New() *Learner {
	return &Learner{endpoints: make(map[uint64]*endpoint), peers: make(map[string]heardSlowdowns)}
}

// Observe records that an endpoint made a number of events of a stream in a time. beside is true if it read a prompt all the while,
// and false if it read none.
func (l *Learner) Observe(now time.Time, key uint64, took time.Duration, events int, beside bool) {
	if events <= 0 || took <= 0 || took > maxEvent {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	e := l.endpoint(key)
	e.news, e.newest = now, spanNumber(now)
	s, usual := &e.alone, l.view.paces[key].Alone
	if beside {
		s, usual = &e.beside, l.view.paces[key].Beside
	}
	if usual > 0 && events == 1 {
		l.slowdowns.add(float64(took) / float64(usual))
		e.slow.observe(now, float64(took)/float64(usual))
	}
	s.add(now, took, events)
}

// ObservePeer records what a peer has learned. A later word of the peer on an endpoint replaces the earlier one, as its counts of
// slowdowns do.
func (l *Learner) ObservePeer(now time.Time, peer string, learned Learned) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(learned.Slowdowns) > 0 {
		l.peers[peer] = heardSlowdowns{at: now, counts: newSlowdowns(learned.Slowdowns)}
	}
	for _, r := range learned.Paces {
		if r.Pace.Alone < 0 || r.Pace.Beside < 0 || r.Pace.Alone > maxEvent || r.Pace.Beside > maxEvent {
			continue
		}
		e := l.endpoint(r.Endpoint)
		e.news = now
		e.peers[peer] = heard{at: now, pace: r.Pace}
	}
}

// Own returns what this entry has learned from events itself, with at most limit paces, the newest ones.
func (l *Learner) Own(now time.Time, limit int) Learned {
	l.mu.Lock()
	defer l.mu.Unlock()
	type dated struct {
		Reported
		at int64
	}
	var list []dated
	for key, e := range l.endpoints {
		if p := e.ownPace(now, 0); p != (Pace{}) {
			list = append(list, dated{Reported{Endpoint: key, Pace: p}, e.newest})
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
	return Learned{Paces: paces, Slowdowns: l.slowdowns.trimmed()}
}

// ObserveRead records the time from the sending of a request to the first event, at an endpoint that then had a number of tokens of
// prompts to read.
func (l *Learner) ObserveRead(now time.Time, key uint64, took time.Duration, tokens int) {
	if tokens < minReadTokens || took <= 0 || took > maxRead {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(key)
	e.news, e.newest = now, spanNumber(now)
	e.reads.add(float64(took) / float64(tokens))
	if beside := e.pace(now, 0).Beside; beside > 0 {
		l.reads.add(float64(took) / float64(beside) / float64(tokens))
	}
}

// Forecast returns what to expect of an endpoint. known is false if its pace is unknown; the forecast is then the usual one, or zero
// if no pace is known.
func (l *Learner) Forecast(now time.Time, key uint64) (f Forecast, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	f, known = l.view.forecasts[key]
	if !known {
		f = l.view.usual
	}
	if e, ok := l.endpoints[key]; ok {
		f.Slow = e.slow.isSlow(now)
	}
	return f, known
}

// refresh evaluates what is known if the view is older than viewInterval. The caller holds l.mu.
func (l *Learner) refresh(now time.Time) {
	if l.view.at.IsZero() || now.Sub(l.view.at) >= viewInterval {
		l.evaluate(now)
	}
}

// evaluate renews the view and forgets endpoints without news. The caller holds l.mu.
func (l *Learner) evaluate(now time.Time) {
	readShare := l.reads.median()
	paces := make(map[uint64]Pace, len(l.endpoints))
	var ratios []float64
	for key, e := range l.endpoints {
		if now.Sub(e.news) > paceLife {
			delete(l.endpoints, key)
			continue
		}
		p := e.pace(now, readShare)
		paces[key] = p
		if p.Alone > 0 && p.Beside > 0 {
			ratios = append(ratios, float64(p.Beside)/float64(p.Alone))
		}
	}
	all := l.allSlowdowns(now)
	besideRatio, slowdown := medianOf(ratios), all.high()
	l.view = view{at: now, paces: paces, readShare: readShare, forecasts: make(map[uint64]Forecast, len(paces))}
	var pauses, readTimes []time.Duration
	for key, p := range paces {
		beside := p.Beside
		if beside == 0 {
			beside = time.Duration(float64(p.Alone) * besideRatio)
		}
		if beside == 0 {
			continue
		}
		f := Forecast{
			Pause:    time.Duration(float64(beside) * slowdown),
			ReadTime: time.Duration(float64(beside) * readShare * readUnit),
		}
		l.view.forecasts[key] = f
		pauses = append(pauses, f.Pause)
		readTimes = append(readTimes, f.ReadTime)
	}
	l.view.usual = Forecast{Pause: medianOf(pauses), ReadTime: medianOf(readTimes)}
}

// pace returns the median of this entry's own pace and those of its peers.
func (e *endpoint) pace(now time.Time, readShare float64) Pace {
	var alone, beside []time.Duration
	add := func(p Pace) {
		if p.Alone > 0 {
			alone = append(alone, p.Alone)
		}
		if p.Beside > 0 {
			beside = append(beside, p.Beside)
		}
	}
	add(e.ownPace(now, readShare))
	for peer, h := range e.peers {
		if now.Sub(h.at) > paceLife {
			delete(e.peers, peer)
			continue
		}
		add(h.pace)
	}
	return Pace{Alone: medianOf(alone), Beside: medianOf(beside)}
}

// ownPace returns this entry's own pace of an endpoint. Until enough events were seen beside prompts, it follows from the reading of
// prompts, of which the reading of one token takes readShare of an event; zero if that is unknown.
func (e *endpoint) ownPace(now time.Time, readShare float64) Pace {
	p := Pace{Alone: e.alone.usual(now), Beside: e.beside.usual(now)}
	if p.Beside == 0 && readShare > 0 {
		p.Beside = time.Duration(derivedMargin * e.reads.usual() / readShare)
	}
	return p
}

// allSlowdowns returns the counts of all entries. The caller holds l.mu.
func (l *Learner) allSlowdowns(now time.Time) slowdowns {
	all := l.slowdowns
	for peer, h := range l.peers {
		if now.Sub(h.at) > paceLife {
			delete(l.peers, peer)
			continue
		}
		all.merge(h.counts)
	}
	return all
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
