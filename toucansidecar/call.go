package toucansidecar

import (
	"context"
	"time"

	"toucanport/toucanwire"
)

func (s *Sidecar) serveCall(ctx context.Context, stream *toucanwire.Stream, c *toucanwire.Call) {
	if !s.beginCall() {
		s.refuse(stream, refusal(codeLeaving, ranNo, "the endpoint is leaving"))
		return
	}
	defer s.inProgress.done()
	defer awaitStreamClose(stream)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.calls, cancel)
	defer stop()
	if c.DeadlineUnixMillis != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.UnixMilli(c.DeadlineUnixMillis))
		defer cancel()
	}
	response, ref := s.dispatcher.Dispatch(ctx, c)
	if ref != nil {
		s.refuse(stream, ref)
		return
	}
	_ = s.send(stream, &toucanwire.Event{Event: &toucanwire.Event_Response{Response: response}, Load: s.answerReport()})
}

// beginCall counts a call as work in progress. It returns false if the endpoint accepts no new work.
func (s *Sidecar) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesNewWork() {
		return false
	}
	s.inProgress.add()
	return true
}

// awaitStreamClose waits until the entry closes the stream, which it does once it has received the answer, or until
// endTimeout has passed.
func awaitStreamClose(stream *toucanwire.Stream) {
	stream.SetReadDeadline(time.Now().Add(endTimeout))
	_ = stream.AwaitClose()
}
