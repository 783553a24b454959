package toucangeneration

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanwait"
)

// SourceState is what is known of a generation at its source after the source was asked to stop it.
type SourceState string

const (
	// SourceStopped means that the source has stopped the generation, and the target has a copy of its memory.
	SourceStopped SourceState = "stopped"
	// SourceKeepsMemory means that the source has stopped the generation and is the only one with its memory.
	SourceKeepsMemory SourceState = "keepsMemory"
	// SourceIdle means that the source does not run the generation, or has ended.
	SourceIdle SourceState = "idle"
	// SourceDeclined means that the source has refused the copy and goes on with the generation.
	SourceDeclined SourceState = "declined"
	// SourceUnreached means that no connection to the source could be opened. It may go on with the generation.
	SourceUnreached SourceState = "unreached"
	// SourceUnknown means that the source was reached and gave no answer that tells. It may go on with the generation.
	SourceUnknown SourceState = "unknown"
)

// minUnreached is how many attempts in a row can't open a connection before the source counts as unreached. One lost
// packet delays a connection for longer than an attempt lasts.
const minUnreached = 2

// maxRetryDelay bounds the time between two attempts.
const maxRetryDelay = 200 * time.Millisecond

// Stop asks a source to stop a generation and to copy its memory to a target. It may be made any number of times.
type Stop struct {
	Mover Mover
	// Source and Target are addresses, ID is the ID of the request.
	Source, ID, Target string
	// AttemptTimeout bounds each attempt. RetryDelay is the time from the end of the first attempt to the second one; it
	// doubles with each attempt, up to maxRetryDelay. No attempt begins after Patience.
	AttemptTimeout, RetryDelay, Patience time.Duration
	// AcceptDecline makes SourceDeclined final, unless a call before it may have stopped the generation.
	AcceptDecline bool
}

// StopResult is the result of a Stop. It is a value that is not changed any more.
type StopResult struct {
	State SourceState
	// Handle identifies the memory at the source; empty unless State is SourceStopped or SourceKeepsMemory.
	Handle string
	// Attempts is the number of attempts that were made.
	Attempts int
	// Unanswered is true if a call whose answer was lost may have stopped the generation before the last answer.
	Unanswered bool
	// Err is the error of the last attempt, for the log; nil for SourceStopped.
	Err error
}

// Run makes attempts until one is answered in a way that tells whether the source still runs the generation, the source
// counts as unreached, Patience is over or ctx ends. It makes at least one attempt.
func (s Stop) Run(ctx context.Context) StopResult {
	until := time.Now().Add(s.Patience)
	var r StopResult
	unreached := 0
	for delay := s.RetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		handle, err := s.attempt(ctx)
		r.Attempts++
		r.State, r.Handle, r.Err = sourceState(handle, err), handle, err
		r.Unanswered = r.Unanswered || errors.Is(err, ErrRepeated)
		unreached++
		if r.State != SourceUnreached {
			unreached = 0
		}
		if r.isFinal(unreached) || r.State == SourceDeclined && s.AcceptDecline && !r.Unanswered {
			return r
		}
		r.Unanswered = r.Unanswered || r.State == SourceUnknown
		if !time.Now().Add(delay).Before(until) || !toucanwait.Sleep(ctx, delay) {
			return r
		}
	}
}

func (s Stop) attempt(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.AttemptTimeout)
	defer cancel()
	return s.Mover.Copy(ctx, s.Source, s.ID, s.Target, true)
}

// isFinal reports whether no further attempt is needed after a number of attempts in a row without a connection.
func (r StopResult) isFinal(unreached int) bool {
	switch r.State {
	case SourceStopped, SourceKeepsMemory, SourceIdle:
		return true
	case SourceUnreached:
		return unreached >= minUnreached
	}
	return false
}

// goesOn reports whether the source certainly did not stop the generation. It may have ended by itself.
func (r StopResult) goesOn() bool {
	if r.Unanswered {
		return false
	}
	return r.State == SourceDeclined || r.State == SourceUnreached || errors.Is(r.Err, ErrNotRunning)
}

// sourceState returns the state that the result of Mover.Copy shows.
func sourceState(handle string, err error) SourceState {
	switch {
	case err == nil:
		return SourceStopped
	case errors.Is(err, ErrNoCapacity) && handle != "":
		return SourceKeepsMemory
	case errors.Is(err, ErrNoCapacity):
		return SourceDeclined
	case errors.Is(err, ErrNotRunning), errors.Is(err, ErrEnded):
		return SourceIdle
	case errors.Is(err, ErrUnreached):
		return SourceUnreached
	}
	return SourceUnknown
}
