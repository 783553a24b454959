package toucangeneration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanplace"
	"toucanport/toucanwait"
)

const (
	// paceDwell bounds the time between two attempts to move a generation for its pace. It is at least half of that, at random, so that
	// entries whose moves met don't meet again.
	paceDwell = time.Second
	// idleCheck is the time between two checks whether a link is idle.
	idleCheck = 20 * time.Millisecond
)

// errLinkBusy means that a generation is not stopped for a move because another copy would delay it.
var errLinkBusy = errors.New("another copy is on the link")

// MovableByPace returns the generations that can be moved for their pace now; none shortly before all end.
func (r *Registry) MovableByPace(now time.Time) []*Generation {
	if !r.canStop(now) {
		return nil
	}
	return r.filter(func(g *Generation) bool { return g.mayMoveByPace(now) })
}

// MoveTo moves a generation from its endpoint to a target that is reserved for it, unless mayStop returns false when its memory has been
// copied.
func (r *Registry) MoveTo(ctx context.Context, g *Generation, source toucanplace.Endpoint, target *toucanplace.Reservation, mayStop func() bool) {
	moved, err := r.moveToTarget(ctx, g, source, target, mayStop)
	if moved {
		return
	}
	target.Done(time.Now(), toucanplace.OutcomeNeutral)
	r.reportMoveFailure(g, source, target.Endpoint.ID, err)
}

// mayMoveByPace reports whether the generation can be moved for its pace now: it runs, and the last attempt is paceDwell ago.
func (g *Generation) mayMoveByPace(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.spec.Engine
	return e != nil && e.Moves && !g.spec.SentOnce && !g.ended && !g.stopping && !g.movedByPace && g.spec.MaxEventGap > 0 && !g.isLate() &&
		g.events > 0 && !now.Before(g.retryMoveAt) && !now.Before(g.paceMoveAt)
}

// BeginMoveByPace keeps the generation from other moves until EndMoveByPace, and from further ones for its pace for paceDwell.
func (g *Generation) BeginMoveByPace(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.movedByPace, g.paceMoveAt = true, now.Add(paceDwell/2+rand.N(paceDwell/2))
}

// EndMoveByPace ends what BeginMoveByPace began.
func (g *Generation) EndMoveByPace() {
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
