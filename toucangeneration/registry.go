// Package toucangeneration tracks generations while their events are forwarded, and moves them off leaving endpoints. Moves are
// made one at a time, in an order on which all entries agree. A move copies the memory while the generation continues,
// then stops the generation and copies the rest.
package toucangeneration

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanmoveorder"
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
	// ErrNotRunning means that the endpoint does not run the request.
	ErrNotRunning = errors.New("endpoint does not run the request")
	// ErrNoCapacity means that the target has too little memory for the copy or is unreachable from the source.
	ErrNoCapacity = errors.New("target has no room for the copy")
)

// MoveCoordinator exchanges planned and running moves with the other entries, so that all agree on the order of moves.
type MoveCoordinator interface {
	// Announce replaces the list of this entry's generations at a leaving endpoint, which is given by its Key.
	Announce(endpoint uint64, runs []toucanmoveorder.Generation)
	// Ahead reports whether a peer has announced a generation at the endpoint that precedes r in the order.
	Ahead(now time.Time, endpoint uint64, r toucanmoveorder.Generation) bool
	// BeginCopy marks an endpoint as the target of a copy until end is called.
	BeginCopy(endpoint uint64) (end func())
	// Copying reports whether any entry is copying memory to an endpoint.
	Copying(now time.Time, endpoint uint64) bool
	// StoreUnreachable reports whether the store answers none of the entries, so that updates on leaving endpoints reach none of them.
	StoreUnreachable(now time.Time) bool
	// Changed returns a channel that is closed at the next change of the peers' generations or copies.
	Changed() <-chan struct{}
}

// Registry holds the generations whose events are being forwarded. It is safe for concurrent use.
type Registry struct {
	book  *toucanplace.Placer
	board MoveCoordinator
	mover Mover
	log   *slog.Logger

	moves     tally.Counter
	moveFails tally.Counter

	mu   sync.Mutex
	runs map[*Generation]struct{}
}

// Config holds the dependencies of Runs. All fields are required.
type Config struct {
	Placer *toucanplace.Placer
	Moves  MoveCoordinator
	Mover  Mover
	Log    *slog.Logger
	Scope  tally.Scope
}

// New returns a Runs without generations.
func New(cfg Config) *Registry {
	return &Registry{
		book:      cfg.Placer,
		board:     cfg.Moves,
		mover:     cfg.Mover,
		log:       cfg.Log,
		moves:     cfg.Scope.Counter("generations_moved"),
		moveFails: cfg.Scope.Counter("generation_moves_failed"),
		runs:      make(map[*Generation]struct{}),
	}
}

// Begin adds a run at the endpoint of a claim. The caller must call End when the generation ends.
func (rs *Registry) Begin(spec Spec, c *toucanplace.Reservation) *Generation {
	r := &Generation{spec: spec, claim: c, estimate: spec.Estimate, handovers: make(chan Handover, 1)}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.runs[r] = struct{}{}
	return r
}

// End removes a run and releases the claim of a Handover that the run did not receive.
func (rs *Registry) End(r *Generation) {
	rs.mu.Lock()
	delete(rs.runs, r)
	rs.mu.Unlock()
	if h, ok := r.markEnded(); ok && h.Claim != nil {
		h.Claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
}

// Events returns the number of events that the current runs have forwarded so far.
func (rs *Registry) Events() int {
	n := 0
	for _, r := range rs.filter(func(*Generation) bool { return true }) {
		n += r.forwardedEvents()
	}
	return n
}

// filter returns the runs for which f returns true.
func (rs *Registry) filter(f func(*Generation) bool) []*Generation {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var found []*Generation
	for r := range rs.runs {
		if f(r) {
			found = append(found, r)
		}
	}
	return found
}
