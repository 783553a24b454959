package toucanadmit

import (
	"math"
	"time"
)

// meter measures a rate over an exponential window.
type meter struct {
	window time.Duration
	sum    float64
	at     time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.fade(now)
	m.sum += n
}

// perSecond returns the rate.
func (m *meter) perSecond(now time.Time) float64 {
	m.fade(now)
	return m.sum / m.window.Seconds()
}

func (m *meter) fade(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.sum *= math.Exp(-d.Seconds() / m.window.Seconds())
		m.at = now
	}
}

// history remembers recent values, oldest overwritten.
type history struct {
	samples [historySamples]sample
	next    int
}

type sample struct {
	at    time.Time
	value float64
}

const (
	historySamples = 256
	historyEvery   = 10 * time.Millisecond
)

func (h *history) add(now time.Time, value float64) {
	last := &h.samples[(h.next+historySamples-1)%historySamples]
	if now.Sub(last.at) < historyEvery {
		last.value = value
		return
	}
	h.samples[h.next] = sample{now, value}
	h.next = (h.next + 1) % historySamples
}

// at returns the newest value not after a time; false when the history does not reach back so far.
func (h *history) at(t time.Time) (float64, bool) {
	for i := 1; i <= historySamples; i++ {
		s := h.samples[(h.next-i+historySamples)%historySamples]
		if s.at.IsZero() {
			return 0, false
		}
		if !s.at.After(t) {
			return s.value, true
		}
	}
	return 0, false
}

// busyRate measures how fast work gets done while there is some.
type busyRate struct {
	// since is when the present work was last accounted.
	since time.Time
	work  float64
	busy  float64
}

// busyMemory is how much of the past weighs after one more piece of work.
const busyMemory = 0.97

// start says that work begins now, with some other work at hand.
func (b *busyRate) start(now time.Time, others int) {
	if others == 0 {
		b.since = now
	}
}

// done says that a piece of work was finished.
func (b *busyRate) done(now time.Time, work int) {
	b.work = busyMemory*b.work + float64(work)
	b.busy = busyMemory*b.busy + max(0, now.Sub(b.since).Seconds())
	b.since = now
}

// perSecond returns the rate; zero until work was done.
func (b *busyRate) perSecond() float64 {
	if b.busy <= 0 {
		return 0
	}
	return b.work / b.busy
}
