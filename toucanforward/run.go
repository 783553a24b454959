package toucanforward

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

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
	// notBefore is when a move that failed may be tried again.
	notBefore time.Time
	// moveFailure is the cause of the last failed move.
	moveFailure string
	// stopping is true from the moment the endpoint was told to stop the run.
	stopping bool
	// unstopped is closed when it turns out that the endpoint did not stop the run.
	unstopped chan struct{}
	ended     bool
	moved     chan handover
}

// progress takes in the events passed on so far and reports whether these are the first.
func (r *run) progress(events int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.events == 0
	if first {
		r.firstEvent = time.Now()
	}
	r.events = events
	return first
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
	r.stopping = false
}

// tokensPerEvent returns how many tokens one event of the run holds.
func (r *run) tokensPerEvent() int {
	if e := r.job.service.Engine; e != nil && e.TokensPerEvent > 0 {
		return e.TokensPerEvent
	}
	return 1
}

const (
	// tokenTime is the forecast time of one token of a run that has made none yet.
	tokenTime = 9 * time.Millisecond
	// overrunShare is the share of what a run has made that is forecast to come when it has passed its forecast.
	overrunShare = 0.25
)

// forMove describes the run to the plan of moves.
func (r *run) forMove(now time.Time) toucanmove.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	made := r.events * r.tokensPerEvent()
	left := max(float64(r.job.demand.Output-made), overrunShare*float64(made))
	pace := tokenTime
	if made > 0 {
		pace = now.Sub(r.firstEvent) / time.Duration(made)
	}
	return toucanmove.Run{
		ID:     xxhash.Sum64String(r.job.ID),
		Tokens: r.job.Prompt + made,
		Left:   time.Duration(left * float64(pace)),
	}
}

// tokens is the memory that the run takes now.
func (r *run) tokens() int { return r.forMove(time.Now()).Tokens }

// runTable holds the generations whose events are being passed on.
type runTable struct {
	mu   sync.Mutex
	runs map[*run]struct{}
}

func (t *runTable) begin(j *job, c *toucanplace.Claim) *run {
	r := &run{job: j, claim: c, moved: make(chan handover, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r] = struct{}{}
	return r
}

func (t *runTable) end(r *run) {
	t.mu.Lock()
	delete(t.runs, r)
	t.mu.Unlock()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	select {
	case h := <-r.moved:
		if h.claim != nil {
			h.claim.Done(time.Now(), toucanplace.OutcomeNeutral)
		}
	default:
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
