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
	// ErrNotStopped means that a stream ended although the endpoint did not stop the generation for a move.
	ErrNotStopped = errors.New("generation was not stopped")
)

// Handover describes where and from which memory a stopped generation continues.
type Handover struct {
	// Reservation is the capacity reserved at the endpoint that continues the generation.
	Reservation *toucanplace.Reservation
	// Source is the address of the endpoint from which the memory was copied, and Handle identifies the copy there.
	Source, Handle string
	// StoppedAt is the time just before the endpoint was asked to stop the generation.
	StoppedAt time.Time
	// Backup is true if the memory is that of a backup.
	Backup bool
	// err is set if the move failed and the generation may have stopped.
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
	// MaxFirstEventTime bounds the time to the first event and MaxEventGap the time between two events. An answer that
	// exceeds one of them is late. Zero means no bound.
	MaxFirstEventTime, MaxEventGap time.Duration
	// Arrived is the time at which the request arrived, Placed that at which its endpoint was reserved.
	Arrived, Placed time.Time
	// SentOnce is true if the request can't be sent again, so that the generation can't be moved.
	SentOnce bool
}

// Generation is a generation whose events are being forwarded to the caller.
type Generation struct {
	spec Spec

	mu          sync.Mutex
	reservation *toucanplace.Reservation
	// events is the number of events forwarded so far.
	events int
	// firstEventAt is the time at which the first events were forwarded.
	firstEventAt time.Time
	// lastEventAt is the time at which events were last forwarded, longestGap the longest time between two such times.
	lastEventAt time.Time
	longestGap  time.Duration
	// moves counts the endpoints that continued the generation after its first one.
	moves int
	// announcedTokens is the generation's memory in tokens when it was first described by moveRequest at its current
	// endpoint; zero before.
	announcedTokens int
	// retryMoveAt is the earliest time for another attempt after a failed move.
	retryMoveAt time.Time
	// paceMoveAt is the earliest time for another move for the pace.
	paceMoveAt time.Time
	// movedByPace is true while it is moved for its pace.
	movedByPace bool
	// moveFailure is the cause of the last failed move.
	moveFailure string
	// estimate is the estimated length of the output in tokens, estimatedAtEvents the value of events when it was made.
	estimate, estimatedAtEvents int
	// stopping is true from just before the endpoint is asked to stop the generation until the generation continues.
	stopping bool
	// notStopped is closed if the endpoint did not stop the generation.
	notStopped chan struct{}
	ended      bool
	// handovers has a buffer of one: a generation has at most one pending Handover.
	handovers chan Handover
}

// ID returns the ID of the request.
func (g *Generation) ID() string { return g.spec.ID }

// Progress records the total number of events forwarded so far. first is true if none had been forwarded before;
// otherwise gap is the time since the previous call.
func (g *Generation) Progress(events int) (first bool, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	first = g.events == 0
	if first {
		g.firstEventAt = now
	} else {
		gap = now.Sub(g.lastEventAt)
		g.longestGap = max(g.longestGap, gap)
	}
	g.lastEventAt = now
	g.events = events
	return first, gap
}

// Late reports whether the first event or the gap between two events took longer than MaxFirstEventTime or MaxEventGap
// allows.
func (g *Generation) Late() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isLate()
}

// isLate is Late for callers that hold g.mu.
func (g *Generation) isLate() bool {
	return g.spec.MaxFirstEventTime > 0 && g.firstEventAt.Sub(g.spec.Arrived) > g.spec.MaxFirstEventTime || g.spec.MaxEventGap > 0 && g.longestGap > g.spec.MaxEventGap
}

// estimateInterval is the number of events between two estimates of a generation's length.
const estimateInterval = 12

// UpdateEstimate updates the estimated length every estimateInterval events and resizes the generation's reservation.
// lengthGiven returns the estimated length, in tokens, of an output with made tokens so far.
func (g *Generation) UpdateEstimate(lengthGiven func(made int) int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.events-g.estimatedAtEvents < estimateInterval {
		return
	}
	g.estimatedAtEvents = g.events
	g.estimate = lengthGiven(g.events * g.tokensPerEvent())
	g.reservation.Resize(g.spec.Prompt+g.events*g.tokensPerEvent(), g.spec.Prompt+g.estimate)
	if g.isLate() {
		g.reservation.MarkSafe()
	}
}

// LogArgs returns key-value pairs for the log that describe the timing and size of the generation.
func (g *Generation) LogArgs() []any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return []any{
		toucanlog.PlacedMs, g.spec.Placed.Sub(g.spec.Arrived).Milliseconds(),
		toucanlog.FirstEventMs, g.firstEventAt.Sub(g.spec.Arrived).Milliseconds(),
		toucanlog.LongestGapMs, g.longestGap.Milliseconds(),
		toucanlog.Events, g.events,
		toucanlog.Moves, g.moves,
		toucanlog.ForecastTokens, g.spec.Estimate,
		toucanlog.MadeTokens, g.events * g.tokensPerEvent(),
		toucanlog.PromptTokens, g.spec.Prompt,
	}
}

// StopRequested reports whether the endpoint was asked to stop the generation.
func (g *Generation) StopRequested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// handoverTimeout is how long a stream that was stopped for a move waits for its Handover.
const handoverTimeout = 3 * time.Second

// AwaitHandover waits for the Handover of a stopped generation. It returns ErrNotStopped if the endpoint did not stop
// the generation, and an error if no move is in progress or the Handover takes longer than handoverTimeout.
func (g *Generation) AwaitHandover(ctx context.Context) (Handover, error) {
	g.mu.Lock()
	stopping, notStopped := g.stopping, g.notStopped
	g.mu.Unlock()
	if !stopping {
		return Handover{}, errNotMoved
	}
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	select {
	case h := <-g.handovers:
		return h, h.err
	case <-notStopped:
		return Handover{}, ErrNotStopped
	case <-timer.C:
		return Handover{}, errors.Wrap(errNotMoved, "move takes too long")
	case <-ctx.Done():
		return Handover{}, ctx.Err()
	}
}

// ContinueAt records the endpoint that continues the generation.
func (g *Generation) ContinueAt(reservation *toucanplace.Reservation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case late := <-g.handovers:
		// The stream broke and went on elsewhere before its move was complete.
		if late.Reservation != nil {
			late.Reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		}
	default:
	}
	g.reservation = reservation
	g.moves++
	g.announcedTokens = 0
	g.stopping = false
}

// tokensPerEvent returns the number of tokens in one event of the generation.
func (g *Generation) tokensPerEvent() int {
	if e := g.spec.Engine; e != nil && e.TokensPerEvent > 0 {
		return e.TokensPerEvent
	}
	return 1
}

// defaultTokenTime is the estimated time per token of a generation that has generated none yet.
const defaultTokenTime = 9 * time.Millisecond

// moveRequest describes the generation for the order of moves. Its size is fixed at the first call for each endpoint:
// entries compare their own generations with older announcements of their peers. If sizes grew in between, every entry
// would consider the generations of the others to be ahead.
func (g *Generation) moveRequest(now time.Time) toucanmoveorder.Generation {
	g.mu.Lock()
	defer g.mu.Unlock()
	made := g.events * g.tokensPerEvent()
	if g.announcedTokens == 0 {
		g.announcedTokens = g.spec.Prompt + made
	}
	remaining := float64(max(g.estimate-made, 0))
	tokenTime := defaultTokenTime
	if made > 0 {
		tokenTime = now.Sub(g.firstEventAt) / time.Duration(made)
	}
	return toucanmoveorder.Generation{
		ID:        xxhash.Sum64String(g.spec.ID),
		Tokens:    g.announcedTokens,
		Remaining: time.Duration(remaining * float64(tokenTime)),
	}
}

// Demand returns the generation's token usage by its last estimate.
func (g *Generation) Demand() toucanplace.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := toucanplace.Demand{Prompt: g.spec.Prompt, Output: g.estimate, Made: g.events * g.tokensPerEvent()}
	if !g.isLate() {
		d.MaxGap = g.spec.MaxEventGap
	}
	return d
}

// heldDemand returns the memory that the generation uses now, without what it will still generate.
func (g *Generation) heldDemand() toucanplace.Demand {
	d := g.Demand()
	return toucanplace.Demand{Prompt: d.Prompt, Output: d.Made, Made: d.Made}
}

// forwardedEvents returns the number of events forwarded so far.
func (g *Generation) forwardedEvents() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events
}

// GeneratedTokens returns the number of tokens generated so far.
func (g *Generation) GeneratedTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events * g.tokensPerEvent()
}

// memoryTokens returns the memory that the generation uses now, in tokens.
func (g *Generation) memoryTokens() int { return g.spec.Prompt + g.GeneratedTokens() }

// deliverHandover delivers h to the generation's stream. It returns false if the generation has ended, has gone on at another endpoint than source, or a Handover is
// already pending; the caller then releases h's reservation.
func (g *Generation) deliverHandover(source string, h Handover) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.reservation.Endpoint.ID != source {
		return false
	}
	select {
	case g.handovers <- h:
		return true
	default:
		return false
	}
}

// markEnded marks the generation as ended and returns a Handover that was delivered but not received, if any.
func (g *Generation) markEnded() (Handover, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	select {
	case h := <-g.handovers:
		return h, true
	default:
		return Handover{}, false
	}
}
