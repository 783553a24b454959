package toucankeepalive

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// answerTime is how long an acknowledgement may take after a probe.
	answerTime = 500 * time.Millisecond
	// writeGap is the least time between two writes that are recorded, and maxWrites the number of those that are.
	writeGap  = 200 * time.Millisecond
	maxWrites = 8
	// clockSlack is by how much the kernel's times may be off.
	clockSlack = 10 * time.Millisecond
	// maxBackoff bounds the exponent of the time between two probes, so that it doesn't overflow.
	maxBackoff = 16
)

// writes holds when bytes were written lately, the latest last. Of the writes within writeGap, it holds the first.
type writes []time.Time

// with returns the times with one more. The writes of more than maxWrites times are forgotten.
func (w writes) with(now time.Time) writes {
	if n := len(w); n > 0 && now.Sub(w[n-1]) < writeGap {
		return w
	}
	if len(w) == maxWrites {
		w = append(w[:0], w[1:]...)
	}
	return append(w, now)
}

// after returns the first write after a time; the zero time if there is none.
func (w writes) after(t time.Time) time.Time {
	for _, at := range w {
		if at.After(t) {
			return at
		}
	}
	return time.Time{}
}

// silence is how long a peer has owed an acknowledgement, and how long it may.
type silence struct {
	since time.Time
	limit time.Duration
	// windowClosed is true if the peer takes no bytes, so that the kernel sends only probes.
	windowClosed bool
}

// limits are what silence is judged by.
type limits struct {
	// timeout is how long a peer may owe an acknowledgement of what was sent to it.
	timeout time.Duration
	// probeInterval is the longest time that the kernel lets pass between two probes.
	probeInterval time.Duration
}

// silence returns the silence of a peer with bytes in flight.
func (l limits) silence(now time.Time, info *unix.TCPInfo, w writes) silence {
	acked := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	s := silence{since: acked, windowClosed: info.Unacked == 0}
	if first := w.after(acked.Add(clockSlack)); !first.IsZero() {
		s.since = first
	}
	next := time.Duration(info.Rto) * time.Microsecond
	if s.windowClosed {
		next <<= min(info.Backoff, maxBackoff)
	}
	next = min(next, l.probeInterval)
	if s.windowClosed && info.Total_retrans > 0 {
		next += l.probeInterval // The path loses segments, and may have lost a probe or its answer.
	}
	s.limit = max(l.timeout, next+answerTime)
	return s
}

// over reports whether the peer is dead.
func (s silence) over(now time.Time) bool { return now.Sub(s.since) >= s.limit }

// end returns when the peer is dead unless it acknowledges.
func (s silence) end() time.Time { return s.since.Add(s.limit) }
