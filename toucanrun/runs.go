// Package toucanrun follows generations while their events are passed on, and moves them off endpoints that leave: one
// after the other in an order that all entries agree on, each by a copy of its memory while it goes on and a short one
// after it was stopped.
package toucanrun

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanmove"
	"toucanport/toucanplace"
)

// Mover asks endpoints to copy the memory of running generations.
type Mover interface {
	// Copy copies the memory of a run to another endpoint. With last, the run stops before the copy. The error is
	// ErrNoRun, ErrNoRoom, which brings the handle if the run has stopped, or another one, after which the run may
	// have stopped.
	Copy(ctx context.Context, source, requestID, target string, last bool) (handle string, err error)
	// Drop frees a copy that will not be used.
	Drop(ctx context.Context, source, handle string) error
}

var (
	// ErrNoRun says that the endpoint does not run the request.
	ErrNoRun = errors.New("endpoint does not run the request")
	// ErrNoRoom says that the target has no room for the copy or can't be reached from the source.
	ErrNoRoom = errors.New("target has no room for the copy")
)

// Board is where the entries agree on the order of moves.
type Board interface {
	// Announce replaces this entry's generations at an endpoint that leaves.
	Announce(endpoint uint64, runs []toucanmove.Run)
	// Ahead reports whether a peer has a generation at the endpoint that is moved before r.
	Ahead(now time.Time, endpoint uint64, r toucanmove.Run) bool
	// BeginCopy notes that memory is being copied to an endpoint, until the returned function is called.
	BeginCopy(endpoint uint64) (end func())
	// Copying reports whether any entry has memory copied to an endpoint.
	Copying(now time.Time, endpoint uint64) bool
	// Blind reports whether no entry is told which endpoints leave.
	Blind(now time.Time) bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Runs holds the generations whose events are being passed on. It is safe for concurrent use.
type Runs struct {
	book  *toucanplace.Book
	board Board
	mover Mover
	log   *slog.Logger

	moves     tally.Counter
	moveFails tally.Counter

	mu   sync.Mutex
	runs map[*Run]struct{}
}

// Config holds what Runs works with.
type Config struct {
	Book  *toucanplace.Book
	Board Board
	Mover Mover
	Log   *slog.Logger
	Scope tally.Scope
}

// New returns no runs.
func New(cfg Config) *Runs {
	return &Runs{
		book:      cfg.Book,
		board:     cfg.Board,
		mover:     cfg.Mover,
		log:       cfg.Log,
		moves:     cfg.Scope.Counter("generations_moved"),
		moveFails: cfg.Scope.Counter("generation_moves_failed"),
		runs:      make(map[*Run]struct{}),
	}
}

// Begin adds a run at the endpoint of a claim. Its owner calls End once.
func (rs *Runs) Begin(spec Spec, c *toucanplace.Claim) *Run {
	r := &Run{spec: spec, claim: c, forecast: spec.Forecast, moved: make(chan Handover, 1)}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.runs[r] = struct{}{}
	return r
}

// End removes a run and gives back a place that it was to go on at.
func (rs *Runs) End(r *Run) {
	rs.mu.Lock()
	delete(rs.runs, r)
	rs.mu.Unlock()
	if h, ok := r.finish(); ok && h.Claim != nil {
		h.Claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
}

// Events returns the number of events that the runs have passed on so far.
func (rs *Runs) Events() int {
	n := 0
	for _, r := range rs.all(func(*Run) bool { return true }) {
		n += r.passed()
	}
	return n
}

// all returns the runs for which f holds.
func (rs *Runs) all(f func(*Run) bool) []*Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var found []*Run
	for r := range rs.runs {
		if f(r) {
			found = append(found, r)
		}
	}
	return found
}
