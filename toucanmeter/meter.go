// Package toucanmeter measures rates and keeps recent samples, in constant memory. Its values are not safe for concurrent use. It performs no
// I/O.
package toucanmeter

import (
	"math"
	"time"
)

// Rate measures a rate with an exponentially decaying window.
type Rate struct {
	// Window is the time constant of the decay; it must be positive.
	Window time.Duration
	sum    float64
	at     time.Time
}

// Add adds to what is counted.
func (m *Rate) Add(now time.Time, n float64) {
	m.decay(now)
	m.sum += n
}

// PerSecond returns the rate per second at the given time.
func (m *Rate) PerSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum / m.Window.Seconds()
}

func (m *Rate) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.sum *= math.Exp(-d.Seconds() / m.Window.Seconds())
		m.at = now
	}
}

// History is a ring buffer of recent samples.
type History struct {
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

// Add records a value. It replaces the last one if that is younger than historyInterval.
func (h *History) Add(now time.Time, value float64) {
	last := &h.samples[(h.next+historySamples-1)%historySamples]
	if now.Sub(last.at) < historyInterval {
		last.value = value
		return
	}
	h.samples[h.next] = sample{now, value}
	h.next = (h.next + 1) % historySamples
}

// At returns the newest value recorded at or before t, or false if the history does not reach back that far.
func (h *History) At(t time.Time) (float64, bool) {
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

// BusyRate measures the rate of work over the time in which there is work.
type BusyRate struct {
	// since is the end of the last completed piece of work, or the start of work after an idle period.
	since time.Time
	work  float64
	busy  float64
}

// busyRetention is the factor by which earlier work is discounted for each completed piece of work.
const busyRetention = 0.97

// RecordStart records that a piece of work starts while others are in progress.
func (b *BusyRate) RecordStart(now time.Time, others int) {
	if others == 0 {
		b.since = now
	}
}

// RecordDone records that a piece of work was completed.
func (b *BusyRate) RecordDone(now time.Time, work int) {
	b.work = busyRetention*b.work + float64(work)
	b.busy = busyRetention*b.busy + max(0, now.Sub(b.since).Seconds())
	b.since = now
}

// PerSecond returns the rate per second; zero until the first piece of work is completed.
func (b *BusyRate) PerSecond() float64 {
	if b.busy <= 0 {
		return 0
	}
	return b.work / b.busy
}
