package toucanforward

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanmove"
	"toucanport/toucanplace"
)

var (
	errNotMoved = errors.New("generation was not moved")
	// errNotStopped says that a stream ended by itself while its move was under way.
	errNotStopped = errors.New("generation was not stopped")
)

// handover says where a stopped generation goes on.
type handover struct {
	claim *toucanplace.Claim
	// source is the address that the memory comes from.
	source    string
	handle    string
	stoppedAt time.Time
	// backup is true when the memory is a backup's.
	backup bool
	err    error
}

// run is one generation whose events are being passed on.
type run struct {
	job *job

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
	moved     chan handover
}

// progress takes in the events passed on so far. first is true when these are the first; otherwise gap is the time since
// those before.
func (r *run) progress(events int) (first bool, gap time.Duration) {
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

// late reports whether the caller has waited longer for the first event, or between two, than the route asks for.
func (r *run) late() bool {
	route := r.job.route
	r.mu.Lock()
	defer r.mu.Unlock()
	return route.Goal > 0 && r.firstEvent.Sub(r.job.arrived) > route.Goal || route.Gap > 0 && r.longestGap > route.Gap
}

// reforecast is the number of events between two forecasts of a run's length.
const reforecast = 24

// grow makes a new forecast from time to time and tells the book of it.
func (r *run) grow(l *lengths) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events-r.forecastAt < reforecast {
		return
	}
	r.forecastAt = r.events
	r.forecast = l.forecast(r.job.route.Name, r.job.Request, r.events*r.tokensPerEvent())
	r.claim.Resize(r.job.Prompt + r.forecast)
}

// logArgs describe the course of the run.
func (r *run) logArgs() []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []any{
		toucanlog.PlacedMs, r.job.placed.Sub(r.job.arrived).Milliseconds(),
		toucanlog.FirstEventMs, r.firstEvent.Sub(r.job.arrived).Milliseconds(),
		toucanlog.LongestGapMs, r.longestGap.Milliseconds(),
		toucanlog.Events, r.events,
		toucanlog.Moves, r.moves,
		toucanlog.ForecastTokens, r.job.demand.Output,
		toucanlog.MadeTokens, r.events * r.tokensPerEvent(),
		toucanlog.PromptTokens, r.job.Prompt,
	}
}

// stopped reports whether the endpoint was told to stop the run.
func (r *run) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// awaitHandover waits for the place where a stopped run goes on.
func (r *run) awaitHandover(ctx context.Context) (handover, error) {
	r.mu.Lock()
	stopping, unstopped := r.stopping, r.unstopped
	r.mu.Unlock()
	if !stopping {
		return handover{}, errNotMoved
	}
	timer := time.NewTimer(handoverWait)
	defer timer.Stop()
	select {
	case h := <-r.moved:
		return h, h.err
	case <-unstopped:
		return handover{}, errNotStopped
	case <-timer.C:
		return handover{}, errors.Wrap(errNotMoved, "move takes too long")
	case <-ctx.Done():
		return handover{}, ctx.Err()
	}
}

// moveTo notes where the run goes on.
func (r *run) moveTo(c *toucanplace.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claim = c
	r.moves++
	r.planned = 0
	r.stopping = false
}

// tokensPerEvent returns how many tokens one event of the run holds.
func (r *run) tokensPerEvent() int {
	if e := r.job.service.Engine; e != nil && e.TokensPerEvent > 0 {
		return e.TokensPerEvent
	}
	return 1
}

// tokenTime is the forecast time of one token of a run that has made none yet.
const tokenTime = 9 * time.Millisecond

// forMove describes the run to the plan of moves. Its size stays what it was when the run was first planned for at its
// endpoint: entries compare their own runs with what the others told of theirs a while ago, and would each take the
// others to be ahead if all sizes grew meanwhile.
func (r *run) forMove(now time.Time) toucanmove.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	made := r.events * r.tokensPerEvent()
	if r.planned == 0 {
		r.planned = r.job.Prompt + made
	}
	left := float64(max(r.forecast-made, 0))
	pace := tokenTime
	if made > 0 {
		pace = now.Sub(r.firstEvent) / time.Duration(made)
	}
	return toucanmove.Run{
		ID:     xxhash.Sum64String(r.job.ID),
		Tokens: r.planned,
		Left:   time.Duration(left * float64(pace)),
	}
}

// demand is what the run takes of an endpoint by its last forecast.
func (r *run) demand() toucanplace.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toucanplace.Demand{Prompt: r.job.Prompt, Output: r.forecast}
}

// made returns the tokens made so far.
func (r *run) made() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events * r.tokensPerEvent()
}

// tokens is the memory that the run takes now.
func (r *run) tokens() int { return r.job.Prompt + r.made() }

// runTable holds the generations whose events are being passed on.
type runTable struct {
	mu   sync.Mutex
	runs map[*run]struct{}
}

func (t *runTable) begin(j *job, c *toucanplace.Claim) *run {
	r := &run{job: j, claim: c, forecast: j.demand.Output, moved: make(chan handover, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r] = struct{}{}
	return r
}

func (t *runTable) end(r *run) {
	t.mu.Lock()
	delete(t.runs, r)
	t.mu.Unlock()
	if h, ok := r.finish(); ok && h.claim != nil {
		h.claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
}

// hand tells the run where it goes on. It returns false when the run has ended, so that the place is not needed.
func (r *run) hand(h handover) bool {
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

// finish notes that the run has ended and returns a handover that nobody took.
func (r *run) finish() (handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	select {
	case h := <-r.moved:
		return h, true
	default:
		return handover{}, false
	}
}

// all returns the runs for which f holds.
func (t *runTable) all(f func(*run) bool) []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*run
	for r := range t.runs {
		if f(r) {
			found = append(found, r)
		}
	}
	return found
}
