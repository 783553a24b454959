// Package toucanpacemove moves generations that run at endpoints which take further requests, for their pace: where the prompts of others
// would make them late, or where they take room in which prompts can be read without harm. It makes few moves at a time, and
// only over idle links.
package toucanpacemove

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanwait"
)

const (
	// interval is the time between two checks for generations that are better off elsewhere.
	interval = 100 * time.Millisecond
	// maxMoves limits the moves that an entry makes at a time.
	maxMoves = 3
	// copyAnnounceDelay is how long an entry waits for its peers to announce their copies before it begins its own.
	copyAnnounceDelay = 12 * time.Millisecond
	// idleWait is how long a copied generation waits for an idle link before it is stopped, idleCheck the time between two checks.
	idleWait  = 400 * time.Millisecond
	idleCheck = 20 * time.Millisecond
)

// Mover moves the generations of an entry.
type Mover struct {
	generations *toucangeneration.Registry
	placer      *toucanplace.Placer
	coordinator toucangeneration.MoveCoordinator
	log         *slog.Logger
	moves       tally.Counter
}

// New returns a Mover of the generations in a Registry with a Config.
func New(cfg toucangeneration.Config, generations *toucangeneration.Registry) *Mover {
	return &Mover{
		generations: generations,
		placer:      cfg.Placer,
		coordinator: cfg.Moves,
		log:         cfg.Log,
		moves:       cfg.Scope.Counter("generation_moves_by_pace"),
	}
}

// Run moves generations whose pauses would grow too long at their endpoint, or that take room there in which prompts can be read without
// harm, until ctx is done. Of all entries, mostly one moves a generation from or to an endpoint at a time.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxMoves)
	for {
		select {
		case now := <-ticker.C:
			m.beginMoves(ctx, now, slots)
		case <-ctx.Done():
			return
		}
	}
}

// beginMoves begins as many moves as there are free slots.
func (m *Mover) beginMoves(ctx context.Context, now time.Time, slots chan struct{}) {
	for _, g := range m.generations.MovableByPace(now) {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		if !m.beginMove(ctx, now, g, func() { <-slots }) {
			<-slots
		}
	}
}

// beginMove begins to move a generation if it is better off elsewhere. It calls done when the move has ended, and returns false
// if there is none.
func (m *Mover) beginMove(ctx context.Context, now time.Time, g *toucangeneration.Generation, done func()) bool {
	source := g.Endpoint()
	idle := func(e toucanplace.Endpoint) bool { return e.ID != source.ID && !m.coordinator.Copying(now, e.Key()) }
	if m.coordinator.Copying(now, source.Key()) {
		return false
	}
	target := m.placer.PlaceBetter(now, source, g.Demand(), idle)
	if target == nil {
		return false
	}
	g.BeginMoveByPace(now)
	endSource, endTarget := m.coordinator.BeginCopy(source.Key()), m.coordinator.BeginCopy(target.Endpoint.Key())
	go func() {
		defer done()
		defer endSource()
		defer endTarget()
		defer g.EndMoveByPace()
		toucanwait.Sleep(ctx, copyAnnounceDelay)
		if !m.isIdle(source, target.Endpoint) {
			target.Done(time.Now(), toucanplace.OutcomeNeutral)
			return
		}
		m.moves.Inc(1)
		pace := target.Choice.Pace
		m.log.Info(toucanlog.MsgMoveByPace,
			toucanlog.RequestID, g.ID(),
			toucanlog.Endpoint, source.ID,
			toucanlog.Target, target.Endpoint.ID,
			toucanlog.Cost, target.Choice.Cost,
			toucanlog.StayCost, pace.Stay,
			toucanlog.PauseForecastMs, pace.Pause.Milliseconds(),
			toucanlog.PauseBoundMs, pace.Bound.Milliseconds(),
			toucanlog.Exposed, pace.Exposed,
		)
		m.generations.MoveTo(ctx, g, source, target, func() bool { return m.awaitIdle(ctx, source, target.Endpoint) })
	}()
	return true
}

// isIdle reports whether no other entry copies memory to or from two endpoints, as far as is known.
func (m *Mover) isIdle(source, target toucanplace.Endpoint) bool {
	now := time.Now()
	return !m.coordinator.CopyingByPeer(now, source.Key()) && !m.coordinator.CopyingByPeer(now, target.Key())
}

// awaitIdle waits for isIdle, for at most idleWait. It returns false if the source drains meanwhile: its generations are then moved
// in the order of all entries.
func (m *Mover) awaitIdle(ctx context.Context, source, target toucanplace.Endpoint) bool {
	until := time.Now().Add(idleWait)
	for m.placer.IsAvailable(source.ID) && m.placer.IsAvailable(target.ID) {
		if m.isIdle(source, target) {
			return true
		}
		if !time.Now().Before(until) || !toucanwait.Sleep(ctx, idleCheck) {
			return false
		}
	}
	return false
}
