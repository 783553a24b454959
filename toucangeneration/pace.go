package toucangeneration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanwait"
)

const (
	// paceInterval is the time between two checks for generations that are better off elsewhere.
	paceInterval = 100 * time.Millisecond
	// paceDwell bounds the time between two attempts to move a generation for its pace. It is at least half of that, at random, so that
	// entries whose moves met don't meet again.
	paceDwell = time.Second
	// maxPaceMoves limits the moves for the pace that an entry makes at a time.
	maxPaceMoves = 3
	// copyAnnounceDelay is how long an entry waits for its peers to announce their copies before it begins its own.
	copyAnnounceDelay = 12 * time.Millisecond
	// idleWait is how long a copied generation waits for an idle link before it is stopped, idleCheck the time between two checks.
	idleWait  = 400 * time.Millisecond
	idleCheck = 20 * time.Millisecond
)

// errLinkBusy means that a generation is not stopped for a move because another copy would delay it.
var errLinkBusy = errors.New("another copy is on the link")

// MoveByPace moves generations whose pauses would grow too long at their endpoint, or that take room there in which prompts can be
// read without harm, until ctx is done. Of all entries, mostly one moves a generation from or to an endpoint at a time.
func (r *Registry) MoveByPace(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxPaceMoves)
	for {
		select {
		case now := <-ticker.C:
			r.beginPaceMoves(ctx, now, slots)
		case <-ctx.Done():
			return
		}
	}
}

// beginPaceMoves begins as many moves as there are free slots.
func (r *Registry) beginPaceMoves(ctx context.Context, now time.Time, slots chan struct{}) {
	if !r.canStop(now) {
		return
	}
	for _, g := range r.filter(func(g *Generation) bool { return g.mayMoveByPace(now) }) {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		if !r.beginPaceMove(ctx, now, g, func() { <-slots }) {
			<-slots
		}
	}
}

// beginPaceMove begins to move a generation if it is better off elsewhere. It calls done when the move has ended, and returns false
// if there is none.
func (r *Registry) beginPaceMove(ctx context.Context, now time.Time, g *Generation, done func()) bool {
	source := g.Endpoint()
	idle := func(e toucanplace.Endpoint) bool { return e.ID != source.ID && !r.coordinator.Copying(now, e.Key()) }
	if r.coordinator.Copying(now, source.Key()) {
		return false
	}
	target := r.placer.PlaceBetter(now, source, g.Demand(), idle)
	if target == nil {
		return false
	}
	g.beginMoveByPace(now)
	endSource, endTarget := r.coordinator.BeginCopy(source.Key()), r.coordinator.BeginCopy(target.Endpoint.Key())
	go func() {
		defer done()
		defer endSource()
		defer endTarget()
		defer g.endMoveByPace()
		toucanwait.Sleep(ctx, copyAnnounceDelay)
		if !r.isIdle(source, target.Endpoint) {
			target.Done(time.Now(), toucanplace.OutcomeNeutral)
			return
		}
		r.paceMoves.Inc(1)
		pace := target.Choice.Pace
		r.log.Info(toucanlog.MsgMoveByPace,
			toucanlog.RequestID, g.spec.ID,
			toucanlog.Endpoint, source.ID,
			toucanlog.Target, target.Endpoint.ID,
			toucanlog.Cost, target.Choice.Cost,
			toucanlog.StayCost, pace.Stay,
			toucanlog.PauseForecastMs, pace.Pause.Milliseconds(),
			toucanlog.PauseBoundMs, pace.Bound.Milliseconds(),
			toucanlog.Exposed, pace.Exposed,
		)
		moved, err := r.moveToTarget(ctx, g, source, target, func() bool { return r.awaitIdle(ctx, source, target.Endpoint) })
		if moved {
			return
		}
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		r.reportMoveFailure(g, source, target.Endpoint.ID, err)
	}()
	return true
}

// isIdle reports whether no other entry copies memory to or from two endpoints, as far as is known.
func (r *Registry) isIdle(source, target toucanplace.Endpoint) bool {
	now := time.Now()
	return !r.coordinator.CopyingByPeer(now, source.Key()) && !r.coordinator.CopyingByPeer(now, target.Key())
}

// awaitIdle waits for isIdle, for at most idleWait. It returns false if the source drains meanwhile: its generations are then moved
// in the order of all entries.
func (r *Registry) awaitIdle(ctx context.Context, source, target toucanplace.Endpoint) bool {
	until := time.Now().Add(idleWait)
	for r.placer.IsAvailable(source.ID) && r.placer.IsAvailable(target.ID) {
		if r.isIdle(source, target) {
			return true
		}
		if !time.Now().Before(until) || !toucanwait.Sleep(ctx, idleCheck) {
			return false
		}
	}
	return false
}

// mayMoveByPace reports whether the generation can be moved for its pace now: it runs, and has done so for paceDwell.
func (g *Generation) mayMoveByPace(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.spec.Engine
	return e != nil && e.Moves && !g.spec.SentOnce && !g.ended && !g.stopping && !g.movedByPace && g.spec.MaxEventGap > 0 && !g.isLate() &&
		g.events > 0 && !now.Before(g.retryMoveAt) && !now.Before(g.paceMoveAt)
}

// beginMoveByPace keeps the generation from other moves until endMoveByPace, and from further ones for its pace for paceDwell.
func (g *Generation) beginMoveByPace(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.movedByPace, g.paceMoveAt = true, now.Add(paceDwell/2+rand.N(paceDwell/2))
}

func (g *Generation) endMoveByPace() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.movedByPace = false
}

// lastCopyWait is how long a copied generation at a draining endpoint waits for an idle link of its target.
const lastCopyWait = 120 * time.Millisecond

// awaitLastCopy waits for a moment in which no other entry copies memory to the target, for at most lastCopyWait, so that the pause of
// the generation stays short. It is for services whose endpoints are uneven, and returns true.
func (r *Registry) awaitLastCopy(ctx context.Context, g *Generation, target toucanplace.Endpoint) bool {
	until := time.Now().Add(lastCopyWait)
	for g.isExposed() && r.placer.IsUneven(time.Now(), target.Service) && time.Now().Before(until) {
		if !r.coordinator.CopyingByPeer(time.Now(), target.Key()) || !toucanwait.Sleep(ctx, idleCheck) {
			break
		}
	}
	return true
}

// isExposed reports whether a pause beyond its bound would make the generation late.
func (g *Generation) isExposed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spec.MaxEventGap > 0 && !g.isLate()
}
