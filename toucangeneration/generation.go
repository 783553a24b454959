package toucangeneration

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanmoveorder"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

var (
	errNotMoved = errors.New("generation was not moved")
	// ErrNotStopped means that a stream ended although the endpoint did not stop the run for a move.
	ErrNotStopped = errors.New("generation was not stopped")
)

// Handover tells the stream of a stopped generation at which endpoint to continue.
type Handover struct {
	// Claim is the capacity reserved at the endpoint that continues the generation.
	Claim *toucanplace.Reservation
	// Source is the address of the endpoint from which the memory was copied, and Handle identifies the copy there.
	Source, Handle string
	// StoppedAt is the time just before the endpoint was asked to stop the generation.
	StoppedAt time.Time
	// Backup is true if the memory is that of a backup.
	Backup bool
	// err is set if the move failed and the run may have stopped.
	err error
}

// Spec holds the properties of a generation that are known at its start. It is immutable.
type Spec struct {
	// ID is the ID of the request.
	ID string
	// Prompt is the length of the prompt and Estimate the estimated length of the output, both in tokens.
	Prompt, Estimate int
	// Engine is nil for services without model engines.
	Engine *toucantraffic.Engine
	// MaxFirstEventTime bounds the time to the first event and MaxEventGap the time between two events. An answer that exceeds one of them is
	// late. Zero means no bound.
	MaxFirstEventTime, MaxEventGap time.Duration
	// Arrived is the time at which the request arrived, Placed that at which its endpoint was reserved.
	Arrived, Placed time.Time
}

// Generation is a generation whose events are being forwarded to the caller.
type Generation struct {
	spec Spec

	mu    sync.Mutex
	claim *toucanplace.Reservation
	// events is the number of events forwarded so far.
	events int
	// firstEventAt is the time at which the first events were forwarded.
	firstEventAt time.Time
	// lastEventAt is the time at which events were last forwarded, longestGap the longest time between two such times.
	lastEventAt time.Time
	longestGap  time.Duration
	// moves counts the endpoints that continued the run after its first one.
	moves int
	// announcedTokens is the run's memory in tokens when it was first described by moveRequest at its current endpoint;
	// zero before.
	announcedTokens int
	// retryMoveAt is the earliest time for another attempt after a failed move.
	retryMoveAt time.Time
	// moveFailure is the cause of the last failed move.
	moveFailure string
	// estimate is the estimated length of the output in tokens, estimatedAtEvents the value of events when it was made.
	estimate, estimatedAtEvents int
	// stopping is true from just before the endpoint is asked to stop the run until the run continues.
	stopping bool
	// notStopped is closed if the endpoint did not stop the run.
	notStopped chan struct{}
	ended      bool
	// handovers has a buffer of one: a run has at most one pending Handover.
	handovers chan Handover
}

// Progress records the total number of events forwarded so far. first is true if none had been forwarded before;
// otherwise gap is the time since the previous call.
func (r *Generation) Progress(events int) (first bool, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	first = r.events == 0
	if first {
		r.firstEventAt = now
	} else {
		gap = now.Sub(r.lastEventAt)
		r.longestGap = max(r.longestGap, gap)
	}
	r.lastEventAt = now
	r.events = events
	return first, gap
}

// Late reports whether the first event or the gap between two events took longer than Goal or Gap allow.
func (r *Generation) Late() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spec.MaxFirstEventTime > 0 && r.firstEventAt.Sub(r.spec.Arrived) > r.spec.MaxFirstEventTime || r.spec.MaxEventGap > 0 && r.longestGap > r.spec.MaxEventGap
}

// estimateInterval is the number of events between two estimates of a run's length.
const estimateInterval = 24

// UpdateEstimate updates the estimated length every estimateInterval events and resizes the run's claim. lengthGiven returns the
// estimated length, in tokens, of an output with made tokens so far.
func (r *Generation) UpdateEstimate(lengthGiven func(made int) int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events-r.estimatedAtEvents < estimateInterval {
		return
	}
	r.estimatedAtEvents = r.events
	r.estimate = lengthGiven(r.events * r.tokensPerEvent())
	r.claim.Resize(r.spec.Prompt + r.estimate)
}

// LogArgs returns key-value pairs for the log that describe the timing and size of the run.
func (r *Generation) LogArgs() []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []any{
		toucanlog.PlacedMs, r.spec.Placed.Sub(r.spec.Arrived).Milliseconds(),
		toucanlog.FirstEventMs, r.firstEventAt.Sub(r.spec.Arrived).Milliseconds(),
		toucanlog.LongestGapMs, r.longestGap.Milliseconds(),
		toucanlog.Events, r.events,
		toucanlog.Moves, r.moves,
		toucanlog.ForecastTokens, r.spec.Estimate,
		toucanlog.MadeTokens, r.events * r.tokensPerEvent(),
		toucanlog.PromptTokens, r.spec.Prompt,
	}
}

// StopRequested reports whether the endpoint was asked to stop the run.
func (r *Generation) StopRequested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// handoverTimeout is how long a stream that was stopped for a move waits for its Handover.
const handoverTimeout = 3 * time.Second

// AwaitHandover waits for the Handover of a stopped run. It returns ErrNotStopped if the endpoint did not stop the run,
// and an error if no move is in progress or the Handover takes longer than handoverTimeout.
func (r *Generation) AwaitHandover(ctx context.Context) (Handover, error) {
	r.mu.Lock()
	stopping, notStopped := r.stopping, r.notStopped
	r.mu.Unlock()
	if !stopping {
		return Handover{}, errNotMoved
	}
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	select {
	case h := <-r.handovers:
		return h, h.err
	case <-notStopped:
		return Handover{}, ErrNotStopped
	case <-timer.C:
		return Handover{}, errors.Wrap(errNotMoved, "move takes too long")
	case <-ctx.Done():
		return Handover{}, ctx.Err()
	}
}

// ContinueAt records the endpoint that continues the run.
func (r *Generation) ContinueAt(c *toucanplace.Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claim = c
	r.moves++
	r.announcedTokens = 0
	r.stopping = false
}

// tokensPerEvent returns the number of tokens in one event of the run.
func (r *Generation) tokensPerEvent() int {
	if e := r.spec.Engine; e != nil && e.TokensPerEvent > 0 {
		return e.TokensPerEvent
	}
	return 1
}

// defaultTokenTime is the estimated time per token of a run that has generated none yet.
const defaultTokenTime = 9 * time.Millisecond

// moveRequest describes the run for the order of moves. Its size is fixed at the first call for each endpoint: entries
// compare their own runs with older announcements of their peers. If sizes grew in between, every entry would consider
// the runs of the others to be ahead.
func (r *Generation) moveRequest(now time.Time) toucanmoveorder.Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	made := r.events * r.tokensPerEvent()
	if r.announcedTokens == 0 {
		r.announcedTokens = r.spec.Prompt + made
	}
	left := float64(max(r.estimate-made, 0))
	pace := defaultTokenTime
	if made > 0 {
		pace = now.Sub(r.firstEventAt) / time.Duration(made)
	}
	return toucanmoveorder.Generation{
		ID:        xxhash.Sum64String(r.spec.ID),
		Tokens:    r.announcedTokens,
		Remaining: time.Duration(left * float64(pace)),
	}
}

// Demand returns the run's token usage by its last estimate.
func (r *Generation) Demand() toucanplace.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toucanplace.Demand{Prompt: r.spec.Prompt, Output: r.estimate}
}

// forwardedEvents returns the number of events forwarded so far.
func (r *Generation) forwardedEvents() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// GeneratedTokens returns the number of tokens generated so far.
func (r *Generation) GeneratedTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events * r.tokensPerEvent()
}

// memoryTokens returns the memory that the run uses now, in tokens.
func (r *Generation) memoryTokens() int { return r.spec.Prompt + r.GeneratedTokens() }

// deliverHandover delivers h to the run's stream. It returns false if the run has ended or a Handover is already
// pending; the caller then releases h's claim.
func (r *Generation) deliverHandover(h Handover) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	select {
	case r.handovers <- h:
		return true
	default:
		return false
	}
}

// markEnded marks the run as ended and returns a Handover that was delivered but not received, if any.
func (r *Generation) markEnded() (Handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	select {
	case h := <-r.handovers:
		return h, true
	default:
		return Handover{}, false
	}
}
