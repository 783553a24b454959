package toucanpace

import "time"

const (
	// slowRatio is by how much an event takes longer than usual in a slow moment, calmRatio by how much at most outside of one.
	slowRatio = 1.7
	calmRatio = 1.3
	// momentLife is how long an endpoint counts as slow after its last slow event.
	momentLife = 300 * time.Millisecond
)

// moment tells whether an endpoint is in a slow moment.
type moment struct {
	// slowAt is when the last slow event came; zero if a usual one came after it.
	slowAt time.Time
	// peerSlowAt is when a peer last reported the endpoint as slow.
	peerSlowAt time.Time
}

// observe records an event that took ratio times as long as usual.
func (m *moment) observe(now time.Time, ratio float64) {
	switch {
	case ratio >= slowRatio:
		m.slowAt = now
	case ratio <= calmRatio:
		m.slowAt, m.peerSlowAt = time.Time{}, time.Time{}
	}
}

// isOwn reports whether this entry's own streams show a slow moment.
func (m *moment) isOwn(now time.Time) bool {
	return !m.slowAt.IsZero() && now.Sub(m.slowAt) < momentLife
}

func (m *moment) isSlow(now time.Time) bool {
	return m.isOwn(now) || !m.peerSlowAt.IsZero() && now.Sub(m.peerSlowAt) < momentLife
}

// SlowNow returns the endpoints that this entry's own streams show to be slow, at most limit.
func (l *Learner) SlowNow(now time.Time, limit int) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []uint64
	for key, e := range l.endpoints {
		if len(keys) < limit && e.slow.isOwn(now) {
			keys = append(keys, key)
		}
	}
	return keys
}

// ObserveSlow records the endpoints that a peer reports as slow now.
func (l *Learner) ObserveSlow(now time.Time, keys []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		if e, ok := l.endpoints[key]; ok {
			e.slow.peerSlowAt = now
		}
	}
}
