// Package toucanrun tracks generations while their events are forwarded, and moves them off leaving endpoints. Moves are
// made one at a time, in an order on which all entries agree. A move copies the memory while the generation continues,
// then stops the generation and copies the rest.
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

// Mover requests copies of running generations' memory from endpoints.
type Mover interface {
	// Copy copies the memory of a run from source to target, both addresses. With last, the source stops the run before
	// the copy. The handle identifies the copy at the source. The error is ErrNoRun, ErrNoRoom or another error. With
	// ErrNoRoom, the handle is set if the run has stopped; after other errors the run may have stopped.
	Copy(ctx context.Context, source, requestID, target string, last bool) (handle string, err error)
	// Drop frees an unused copy.
	Drop(ctx context.Context, source, handle string) error
}

var (
	// ErrNoRun means that the endpoint does not run the request.
	ErrNoRun = errors.New("endpoint does not run the request")
	// ErrNoRoom means that the target has too little memory for the copy or is unreachable from the source.
	ErrNoRoom = errors.New("target has no room for the copy")
)

// Board exchanges planned and running moves with the other entries, so that all agree on the order of moves.
type Board interface {
	// Announce replaces the list of this entry's generations at a leaving endpoint, which is given by its Key.
	Announce(endpoint uint64, runs []toucanmove.Run)
	// Ahead reports whether a peer has announced a generation at the endpoint that precedes r in the order.
	Ahead(now time.Time, endpoint uint64, r toucanmove.Run) bool
	// BeginCopy marks an endpoint as the target of a copy until end is called.
	BeginCopy(endpoint uint64) (end func())
	// Copying reports whether any entry is copying memory to an endpoint.
	Copying(now time.Time, endpoint uint64) bool
	// Blind reports whether the store answers none of the entries, so that updates on leaving endpoints reach none of them.
	Blind(now time.Time) bool
	// Changed returns a channel that is closed at the next change of the peers' generations or copies.
	Changed() <-chan struct{}
}

// Runs holds the generations whose events are being forwarded. It is safe for concurrent use.
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

// Config holds the dependencies of Runs. All fields are required.
type Config struct {
	Book  *toucanplace.Book
	Board Board
	Mover Mover
	Log   *slog.Logger
	Scope tally.Scope
}

// New returns a Runs without generations.
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

// Begin adds a run at the endpoint of a claim. The caller must call End when the generation ends.
func (rs *Runs) Begin(spec Spec, c *toucanplace.Claim) *Run {
	r := &Run{spec: spec, claim: c, estimate: spec.Forecast, handovers: make(chan Handover, 1)}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.runs[r] = struct{}{}
	return r
}

// End removes a run and releases the claim of a Handover that the run did not receive.
func (rs *Runs) End(r *Run) {
	rs.mu.Lock()
	delete(rs.runs, r)
	rs.mu.Unlock()
	if h, ok := r.markEnded(); ok && h.Claim != nil {
		h.Claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
}

// Events returns the number of events that the current runs have forwarded so far.
func (rs *Runs) Events() int {
	n := 0
	for _, r := range rs.filter(func(*Run) bool { return true }) {
		n += r.forwardedEvents()
	}
	return n
}

// filter returns the runs for which f returns true.
func (rs *Runs) filter(f func(*Run) bool) []*Run {
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
