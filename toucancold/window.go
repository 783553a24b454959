package toucancold

import "time"

// span is the length of a Window. It exceeds one second by the time for which a process may stand still between its decision
// and the send.
const span = time.Second + 50*time.Millisecond

// Window counts the requests that one entry sends to an endpoint. A request counts from its reservation until span after it
// was sent. The zero Window is empty. It is not safe for concurrent use.
type Window struct {
	// reserved is the number of requests that are to be sent.
	reserved int
	// sent holds the times of the last sends, in order.
	sent []time.Time
}

// Allows reports whether one more request stays within a share.
func (w *Window) Allows(now time.Time, share int) bool {
	w.prune(now)
	return w.reserved+len(w.sent) < share
}

// Wait returns how long a request that is reserved has to wait until it is within a share; at most span.
func (w *Window) Wait(now time.Time, share int) time.Duration {
	w.prune(now)
	excess := w.reserved + len(w.sent) - share
	if excess <= 0 || len(w.sent) == 0 {
		return 0
	}
	return w.sent[min(excess, len(w.sent))-1].Add(span).Sub(now)
}

// Reserve counts a request that is to be sent.
func (w *Window) Reserve() { w.reserved++ }

// Release drops a reserved request that was not sent.
func (w *Window) Release() { w.reserved-- }

// Send records that a reserved request is sent.
func (w *Window) Send(now time.Time) {
	w.reserved--
	w.Repeat(now)
}

// Repeat records that a request is sent once more.
func (w *Window) Repeat(now time.Time) {
	w.prune(now)
	w.sent = append(w.sent, now)
}

// prune drops the sends that no longer count.
func (w *Window) prune(now time.Time) {
	n := 0
	for n < len(w.sent) && now.Sub(w.sent[n]) >= span {
		n++
	}
	w.sent = append(w.sent[:0], w.sent[n:]...)
}
