package toucanadmit

import (
	"math"
	"time"
)

// rateMeter measures a rate with an exponentially decaying window.
type rateMeter struct {
	window time.Duration
	sum    float64
	at     time.Time
}

func (m *rateMeter) add(now time.Time, n float64) {
	m.decay(now)
	m.sum += n
}

// perSecond returns the rate per second at the given time.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum / m.window.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.sum *= math.Exp(-d.Seconds() / m.window.Seconds())
		m.at = now
	}
}

// history is a ring buffer of recent samples.
type history struct {
	samples [historySamples]sample
	next    int
}

type sample struct {
	at    time.Time
	value float64
}

const (
	historySamples  = 256
	historyInterval = 10 * time.Millisecond
)

func (h *history) add(now time.Time, value float64) {
	last := &h.samples[(h.next+historySamples-1)%historySamples]
	if now.Sub(last.at) < historyInterval {
		last.value = value
		return
	}
	h.samples[h.next] = sample{now, value}
	h.next = (h.next + 1) % historySamples
}

// at returns the newest value recorded at or before t, or false if the history does not reach back that far.
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

// busyRate measures the rate of work over the time in which there is work.
type busyRate struct {
	// since is the end of the last completed piece of work, or the start of work after an idle period.
	since time.Time
	work  float64
	busy  float64
}

// busyRetention is the factor by which earlier work is discounted for each completed piece of work.
const busyRetention = 0.97

// recordStart records that a piece of work starts while others are in progress.
func (b *busyRate) recordStart(now time.Time, others int) {
	if others == 0 {
		b.since = now
	}
}

// recordDone records that a piece of work was completed.
func (b *busyRate) recordDone(now time.Time, work int) {
	b.work = busyRetention*b.work + float64(work)
	b.busy = busyRetention*b.busy + max(0, now.Sub(b.since).Seconds())
	b.since = now
}

// perSecond returns the rate per second; zero until the first piece of work is completed.
func (b *busyRate) perSecond() float64 {
	if b.busy <= 0 {
		return 0
	}
	return b.work / b.busy
}
