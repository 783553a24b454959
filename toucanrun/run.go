package toucanrun

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanmove"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

var (
	errNotMoved = errors.New("generation was not moved")
	// ErrNotStopped says that a stream ended by itself while its move was under way.
	ErrNotStopped = errors.New("generation was not stopped")
)

// Handover says where a stopped generation goes on.
type Handover struct {
	Claim *toucanplace.Claim
	// Source is the address that the memory comes from, and Handle its name there.
	Source, Handle string
	StoppedAt      time.Time
	// Backup is true when the memory is a backup's.
	Backup bool
	err    error
}

// Spec is what is known of a generation when it begins. It is immutable.
type Spec struct {
	// ID is the request's.
	ID string
	// Prompt is the tokens of the prompt, and Forecast those that are expected of the answer.
	Prompt, Forecast int
	// Engine is nil for services without model engines.
	Engine *toucantraffic.Engine
	// Goal is the time to the first event, and Gap that between two, beyond which the answer is late; zero for no bound.
	Goal, Gap time.Duration
	// Arrived is when the request came, and Placed when its endpoint was claimed.
	Arrived, Placed time.Time
}

// Run is one generation whose events are being passed on.
type Run struct {
	spec Spec

	mu     sync.Mutex
	claim  *toucanplace.Claim
	events int
	// firstEvent is when the first events were passed on.
	firstEvent time.Time
	// lastEvent is when events were last passed on, and longestGap the longest time between two times.
	lastEvent  time.Time
	longestGap time.Duration
	// moves counts the endpoints that the run was taken on by after its first.
	moves int
	// planned is the run's size in tokens when it was first planned for at its present endpoint; zero before.
	planned int
	// notBefore is when a move that failed may be tried again.
	notBefore time.Time
	// moveFailure is the cause of the last failed move.
	moveFailure string
	// forecast is the expected length of the answer in tokens, and forecastAt the events at which it was made.
	forecast, forecastAt int
	// stopping is true from the moment the endpoint was told to stop the run.
	stopping bool
	// unstopped is closed when it turns out that the endpoint did not stop the run.
	unstopped chan struct{}
	ended     bool
	moved     chan Handover
}

// Progress takes in the events passed on so far. first is true when these are the first; otherwise gap is the time since
// those before.
func (r *Run) Progress(events int) (first bool, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	first = r.events == 0
	if first {
		r.firstEvent = now
	} else {
		gap = now.Sub(r.lastEvent)
		r.longestGap = max(r.longestGap, gap)
	}
	r.lastEvent = now
	r.events = events
	return first, gap
}

// Late reports whether the caller has waited longer for the first event, or between two, than the route asks for.
func (r *Run) Late() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spec.Goal > 0 && r.firstEvent.Sub(r.spec.Arrived) > r.spec.Goal || r.spec.Gap > 0 && r.longestGap > r.spec.Gap
}

// reforecast is the number of events between two forecasts of a run's length.
const reforecast = 24

// Grow makes a new forecast from time to time and tells the book of it. forecast returns the expected tokens of an answer
// that has made some already.
func (r *Run) Grow(forecast func(made int) int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events-r.forecastAt < reforecast {
		return
	}
	r.forecastAt = r.events
	r.forecast = forecast(r.events * r.tokensPerEvent())
	r.claim.Resize(r.spec.Prompt + r.forecast)
}

// LogArgs describe the course of the run.
func (r *Run) LogArgs() []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []any{
		toucanlog.PlacedMs, r.spec.Placed.Sub(r.spec.Arrived).Milliseconds(),
		toucanlog.FirstEventMs, r.firstEvent.Sub(r.spec.Arrived).Milliseconds(),
		toucanlog.LongestGapMs, r.longestGap.Milliseconds(),
		toucanlog.Events, r.events,
		toucanlog.Moves, r.moves,
		toucanlog.ForecastTokens, r.spec.Forecast,
		toucanlog.MadeTokens, r.events * r.tokensPerEvent(),
		toucanlog.PromptTokens, r.spec.Prompt,
	}
}

// Stopped reports whether the endpoint was told to stop the run.
func (r *Run) Stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// handoverWait is how long a stream that was stopped for a move waits for the place where it goes on.
const handoverWait = 3 * time.Second

// AwaitHandover waits for the place where a stopped run goes on.
func (r *Run) AwaitHandover(ctx context.Context) (Handover, error) {
	r.mu.Lock()
	stopping, unstopped := r.stopping, r.unstopped
	r.mu.Unlock()
	if !stopping {
		return Handover{}, errNotMoved
	}
	timer := time.NewTimer(handoverWait)
	defer timer.Stop()
	select {
	case h := <-r.moved:
		return h, h.err
	case <-unstopped:
		return Handover{}, ErrNotStopped
	case <-timer.C:
		return Handover{}, errors.Wrap(errNotMoved, "move takes too long")
	case <-ctx.Done():
		return Handover{}, ctx.Err()
	}
}

// MoveTo notes where the run goes on.
func (r *Run) MoveTo(c *toucanplace.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claim = c
	r.moves++
	r.planned = 0
	r.stopping = false
}

// tokensPerEvent returns how many tokens one event of the run holds.
func (r *Run) tokensPerEvent() int {
	if e := r.spec.Engine; e != nil && e.TokensPerEvent > 0 {
		return e.TokensPerEvent
	}
	return 1
}

// tokenTime is the forecast time of one token of a run that has made none yet.
const tokenTime = 9 * time.Millisecond

// forMove describes the run to the plan of moves. Its size stays what it was when the run was first planned for at its
// endpoint: entries compare their own runs with what the others told of theirs a while ago, and would each take the
// others to be ahead if all sizes grew meanwhile.
func (r *Run) forMove(now time.Time) toucanmove.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	made := r.events * r.tokensPerEvent()
	if r.planned == 0 {
		r.planned = r.spec.Prompt + made
	}
	left := float64(max(r.forecast-made, 0))
	pace := tokenTime
	if made > 0 {
		pace = now.Sub(r.firstEvent) / time.Duration(made)
	}
	return toucanmove.Run{
		ID:     xxhash.Sum64String(r.spec.ID),
		Tokens: r.planned,
		Left:   time.Duration(left * float64(pace)),
	}
}

// Demand is what the run takes of an endpoint by its last forecast.
func (r *Run) Demand() toucanplace.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toucanplace.Demand{Prompt: r.spec.Prompt, Output: r.forecast}
}

// passed returns the number of events passed on so far.
func (r *Run) passed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// Made returns the tokens made so far.
func (r *Run) Made() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events * r.tokensPerEvent()
}

// tokens is the memory that the run takes now.
func (r *Run) tokens() int { return r.spec.Prompt + r.Made() }

// hand tells the run where it goes on. It returns false when the run has ended, so that the place is not needed.
func (r *Run) hand(h Handover) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	select {
	case r.moved <- h:
		return true
	default:
		return false
	}
}

// finish notes that the run has ended and returns a Handover that nobody took.
func (r *Run) finish() (Handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	select {
	case h := <-r.moved:
		return h, true
	default:
		return Handover{}, false
	}
}
