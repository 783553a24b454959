// Package toucangeneration tracks generations while their events are forwarded, and moves them off draining endpoints. Moves off an endpoint are made one at a time, in an order on which all entries agree. A move copies the memory while the generation
// continues, then stops the generation and copies the rest.
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
	// Copy copies the memory of a generation from source to target, both addresses. With last, the source stops the
	// generation before the copy. The handle identifies the copy at the source. The error is ErrNotRunning, ErrEnded,
	// ErrUnreached, ErrNoCapacity or another error. With ErrNoCapacity, the handle is set if the generation has stopped;
	// after other errors the generation may have stopped. If the error wraps ErrRepeated too, it may have stopped in any
	// case. A copy can be requested again.
	Copy(ctx context.Context, source, requestID, target string, last bool) (handle string, err error)
	// Drop frees an unused copy.
	Drop(ctx context.Context, source, handle string) error
}

var (
	// ErrNotRunning means that the endpoint does not run the request.
	ErrNotRunning = errors.New("endpoint does not run the request")
	// ErrEnded means that nothing listens at the endpoint's address any more.
	ErrEnded = errors.New("endpoint has ended")
	// ErrUnreached means that no connection to the endpoint could be opened, and it got nothing.
	ErrUnreached = errors.New("endpoint was not reached")
	// ErrRepeated means that a call was made a second time because its first answer was lost. The endpoint may have carried
	// out the first one, about which the second answer says nothing.
	ErrRepeated = errors.New("call was repeated")
	// ErrNoTime means that the generation could not go on at a target before all generations end.
	ErrNoTime = errors.New("no time is left for a move")
	// ErrTargetEvacuated means that the failure domain of a move's target was evacuated while memory was copied to it.
	ErrTargetEvacuated = errors.New("target's failure domain was evacuated")
	// ErrNoCapacity means that the target has too little memory for the copy or is unreachable from the source.
	ErrNoCapacity = errors.New("target has no capacity for the copy")
)

// MoveCoordinator exchanges planned and running moves with the other entries, so that all agree on the order of moves.
type MoveCoordinator interface {
	// Announce replaces the list of this entry's generations at a draining endpoint, which is given by its Key.
	Announce(endpoint uint64, generations []toucanmoveorder.Generation)
	// Ahead reports whether a peer has announced a generation at the endpoint that precedes g in the order.
	Ahead(now time.Time, endpoint uint64, g toucanmoveorder.Generation) bool
	// BeginCopy marks an endpoint as the target of a copy until end is called.
	BeginCopy(endpoint uint64) (end func())
	// Copying reports whether any entry is copying memory to an endpoint.
	Copying(now time.Time, endpoint uint64) bool
	// CopyingByPeer reports whether another entry is copying memory to an endpoint.
	CopyingByPeer(now time.Time, endpoint uint64) bool
	// StoreUnreachable reports whether the store answers none of the entries, so that updates on draining endpoints
	// reach none of them.
	StoreUnreachable(now time.Time) bool
	// Changed returns a channel that is closed at the next change of the peers' generations or copies.
	Changed() <-chan struct{}
}

// Registry holds the generations whose events are being forwarded. It is safe for concurrent use.
type Registry struct {
	placer      *toucanplace.Placer
	coordinator MoveCoordinator
	mover       Mover
	log         *slog.Logger

	moves     tally.Counter
	moveFails tally.Counter

	mu          sync.Mutex
	generations map[*Generation]struct{}
	// end is when all generations end with their process; zero for never.
	end time.Time
}

// Config holds the dependencies of a Registry. All fields are required.
type Config struct {
	Placer *toucanplace.Placer
	Moves  MoveCoordinator
	Mover  Mover
	Log    *slog.Logger
	Scope  tally.Scope
}

// New returns a Registry without generations.
func New(cfg Config) *Registry {
	return &Registry{
		placer:      cfg.Placer,
		coordinator: cfg.Moves,
		mover:       cfg.Mover,
		log:         cfg.Log,
		moves:       cfg.Scope.Counter("generations_moved"),
		moveFails:   cfg.Scope.Counter("generation_moves_failed"),
		generations: make(map[*Generation]struct{}),
	}
}

// Begin adds a generation at the endpoint of a reservation. The caller must call End when the generation ends.
func (r *Registry) Begin(spec Spec, reservation *toucanplace.Reservation) *Generation {
	g := &Generation{spec: spec, reservation: reservation, estimate: spec.Estimate, handovers: make(chan Handover, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generations[g] = struct{}{}
	return g
}

// End removes a generation and releases the reservation of a Handover that the generation did not receive.
func (r *Registry) End(g *Generation) {
	r.mu.Lock()
	delete(r.generations, g)
	r.mu.Unlock()
	if h, ok := g.markEnded(); ok && h.Reservation != nil {
		h.Reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
}

// SetEnd sets when all generations end with their process. A move that may not be complete by then is not begun: a generation that its
// endpoint has stopped could not go on.
func (r *Registry) SetEnd(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = end
}

// canStop reports whether a generation that is stopped for a move at a time can go on elsewhere before all end.
func (r *Registry) canStop(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end.IsZero() || now.Add(copyTimeout+resumeTime).Before(r.end)
}

// Events returns the number of events that the current generations have forwarded so far.
func (r *Registry) Events() int {
	n := 0
	for _, g := range r.filter(func(*Generation) bool { return true }) {
		n += g.forwardedEvents()
	}
	return n
}

// filter returns the generations for which f returns true.
func (r *Registry) filter(f func(*Generation) bool) []*Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*Generation
	for g := range r.generations {
		if f(g) {
			found = append(found, g)
		}
	}
	return found
}
