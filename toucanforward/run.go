package toucanforward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanplace"
)

var errNotMoved = errors.New("generation was not moved")

// handover says where a stopped generation goes on.
type handover struct {
	claim *toucanplace.Claim
	// source is the address that the memory comes from.
	source    string
	handle    string
	stoppedAt time.Time
	err       error
}

// run is one generation whose events are being passed on.
type run struct {
	job *job

	mu     sync.Mutex
	claim  *toucanplace.Claim
	events int
	// moving is true while a move is under way, so that there is one at a time.
	moving bool
	// stopping is true from the moment the endpoint was told to stop the run.
	stopping bool
	ended    bool
	moved    chan handover
}

// progress takes in the events passed on so far and reports whether these are the first.
func (r *run) progress(events int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.events == 0
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
	if !r.stopped() {
		return handover{}, errNotMoved
	}
	timer := time.NewTimer(handoverWait)
	defer timer.Stop()
	select {
	case h := <-r.moved:
		return h, h.err
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
	r.moving = false
	r.stopping = false
}

// tokens is the memory that the run takes now.
func (r *run) tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	perEvent := 1
	if e := r.job.service.Engine; e != nil && e.TokensPerEvent > 0 {
		perEvent = e.TokensPerEvent
	}
	return r.job.Prompt + r.events*perEvent
}

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
