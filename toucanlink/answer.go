package toucanlink

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanwire"
)

const (
	// standstill is how late a process notices the end of a wait if it, and not its peer, is taken to have stood still.
	standstill = 200 * time.Millisecond
	// maxAnswerWait bounds the wait for the answer to a heartbeat, whatever else arrives, since the link may carry bytes in one direction only.
	maxAnswerWait = 3 * HeartbeatTimeout
)

// answerWait is the wait for the answer to a heartbeat. A link is not stalled if its peer is only late with the answer, as on a machine with
// too much work, but other bytes of it arrive; nor is it known to be if this process stood still at the end of the wait: the answer may
// have arrived and not be read yet.
type answerWait struct {
	// sent is when the heartbeat was sent.
	sent time.Time
	// until is the end of the wait.
	until time.Time
}

func newAnswerWait(sent time.Time) answerWait {
	return answerWait{sent: sent, until: sent.Add(HeartbeatTimeout)}
}

// prolonged returns the wait after its end was noticed at now, when bytes were last received from the peer at received. It returns false if the
// link is stalled.
func (w answerWait) prolonged(now, received time.Time) (answerWait, bool) {
	last := w.sent.Add(maxAnswerWait)
	next := received.Add(HeartbeatTimeout)
	if now.Sub(w.until) >= standstill {
		// What follows is measured from now, as nothing was read while the process stood still.
		next, last = now.Add(HeartbeatTimeout), now.Add(HeartbeatTimeout)
	}
	if next.After(last) {
		next = last
	}
	if !next.After(now) {
		return w, false
	}
	return answerWait{sent: w.sent, until: next}, true
}

// awaitAnswer waits until the answer to a heartbeat that was just sent begins to arrive. It sets the read deadline by which the rest of it has
// to follow.
func awaitAnswer(stream *toucanwire.Stream, peer *Peer) error {
	wait := newAnswerWait(time.Now())
	for {
		if err := stream.SetReadDeadline(wait.until); err != nil {
			return err
		}
		err := stream.Await()
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
		next, ok := wait.prolonged(time.Now(), peer.LastReceived())
		if !ok {
			return err
		}
		wait = next
	}
}
