package toucangeneration

import (
	"context"
	"errors"
	"sort"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanmoveorder"
	"toucanport/toucanplace"
	"toucanport/toucanwait"
)

const (
	// copyTimeout is the timeout of one copy of a generation's memory.
	copyTimeout = 2 * time.Second
	// resumeTime is the time that a stopped generation has to go on at its target before all generations end.
	resumeTime = 500 * time.Millisecond
	// moveTargets is the maximum number of targets that are tried in one attempt to move a generation.
	moveTargets = 3
	// moveInterval is the longest time between two checks for draining endpoints.
	moveInterval = 200 * time.Millisecond
	// announceDelay is how long an entry waits for its peers to announce their generations before it moves the first
	// one. Entries learn at different times that an endpoint drains, and many announce several endpoints at once.
	announceDelay = 25 * time.Millisecond
	// maxTurnWait is how long a generation waits for generations of peers that are ahead of it in the order while none leaves.
	maxTurnWait = 1200 * time.Millisecond
	// stopRetryDelay is the time between two attempts to stop a generation for a move.
	stopRetryDelay = 25 * time.Millisecond
	// moveRetryDelay is the time between a failed move and the next attempt.
	moveRetryDelay = 150 * time.Millisecond
)

// Move moves generations off draining endpoints until ctx is done.
func (r *Registry) Move(ctx context.Context) {
	active := make(map[string]bool)
	done := make(chan string)
	for {
		departed := r.placer.Departed()
		for id, e := range r.drainingEndpoints() {
			if !active[id] {
				active[id] = true
				go r.clear(ctx, e, done)
			}
		}
		timer := time.NewTimer(moveInterval)
		select {
		case id := <-done:
			delete(active, id)
		case <-departed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// drainingEndpoints returns the draining endpoints that still run generations of this entry, by ID.
func (r *Registry) drainingEndpoints() map[string]toucanplace.Endpoint {
	found := make(map[string]toucanplace.Endpoint)
	if !r.canStop(time.Now()) {
		return found
	}
	for _, g := range r.filter(r.needsMove) {
		e := g.Endpoint()
		found[e.ID] = e
	}
	return found
}

// needsMove reports whether a generation that can be moved is at a draining endpoint whose engine supports moves.
func (r *Registry) needsMove(g *Generation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.spec.Engine
	return e != nil && e.Moves && !g.spec.SentOnce && !g.ended && !r.placer.IsAvailable(g.reservation.Endpoint.ID)
}

// clear moves this entry's generations off an endpoint one at a time. Before each move it waits until no generation of a peer is
// ahead in the order, or none has left for maxTurnWait. It sends the endpoint's ID on done when it returns.
func (r *Registry) clear(ctx context.Context, e toucanplace.Endpoint, done chan<- string) {
	defer func() {
		r.coordinator.Announce(e.Key(), nil)
		select {
		case done <- e.ID:
		case <-ctx.Done():
		}
	}()
	r.coordinator.Announce(e.Key(), moveRequests(r.movableGenerations(e)))
	toucanwait.Sleep(ctx, announceDelay)
	var wait turnWait
	for ctx.Err() == nil {
		changed := r.coordinator.Changed()
		generations := r.movableGenerations(e)
		r.coordinator.Announce(e.Key(), moveRequests(generations))
		if len(generations) == 0 {
			return
		}
		now := time.Now()
		if !wait.isOver(now, r.placer.LoadOf(now, e.ID).Requests) && r.coordinator.Ahead(now, e.Key(), generations[0].moveRequest(now)) {
			toucanwait.Signal(ctx, changed, moveInterval/4)
			continue
		}
		r.moveGeneration(ctx, generations[0])
		wait = turnWait{}
	}
}

// turnWait tells how long an entry has waited for its turn at an endpoint without progress. Two copies that share the endpoint's link
// take twice as long, and may both be too late.
type turnWait struct {
	// since is the time of the last progress; zero before the first call of isOver.
	since time.Time
	// requests is the number of requests at the endpoint.
	requests int
}

// isOver reports whether no request has left the endpoint for maxTurnWait. requests is the number that is left.
func (w *turnWait) isOver(now time.Time, requests int) bool {
	if w.since.IsZero() || requests < w.requests {
		w.since = now
	}
	w.requests = requests
	return now.Sub(w.since) >= maxTurnWait
}

// movableGenerations returns this entry's generations at an endpoint that can be moved now, in the order of their
// moves.
func (r *Registry) movableGenerations(e toucanplace.Endpoint) []*Generation {
	now := time.Now()
	if !r.canStop(now) {
		return nil
	}
	generations := r.filter(func(g *Generation) bool { return g.movable(now, e.ID) })
	sort.Slice(generations, func(i, j int) bool {
		return toucanmoveorder.Before(generations[i].moveRequest(now), generations[j].moveRequest(now))
	})
	return generations
}

// moveRequests returns the descriptions of generations that are announced to peers.
func moveRequests(generations []*Generation) []toucanmoveorder.Generation {
	now := time.Now()
	list := make([]toucanmoveorder.Generation, len(generations))
	for i, g := range generations {
		list[i] = g.moveRequest(now)
	}
	return list
}

// Endpoint returns the endpoint at which the generation is now.
func (g *Generation) Endpoint() toucanplace.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reservation.Endpoint
}

// movable reports whether the generation is at the endpoint, can be moved, is not being moved and does not wait to retry a move.
func (g *Generation) movable(now time.Time, endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.spec.SentOnce && !g.ended && !g.stopping && !g.movedByPace && g.reservation.Endpoint.ID == endpoint && !now.Before(g.retryMoveAt)
}

// recordMoveFailure stores the cause of a failed move and reports whether it differs from that of the last one.
func (g *Generation) recordMoveFailure(cause string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.moveFailure != cause
	g.moveFailure = cause
	return first
}

// delayMove delays the next attempt to move the generation by moveRetryDelay.
func (g *Generation) delayMove() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryMoveAt = time.Now().Add(moveRetryDelay)
}

// moveGeneration moves a generation to another endpoint: it copies the memory while the generation continues, then
// stops the generation and copies the rest. It tries up to moveTargets targets.
func (r *Registry) moveGeneration(ctx context.Context, g *Generation) {
	source := g.Endpoint()
	tried := map[string]bool{source.ID: true}
	for range moveTargets {
		target, err := r.reserveTarget(g, source, tried)
		if err != nil {
			r.reportMoveFailure(g, source, "", err)
			break
		}
		tried[target.Endpoint.ID] = true
		done, err := r.moveToTarget(ctx, g, source, target, func() bool { return r.awaitLastCopy(ctx, g, target.Endpoint) })
		if done {
			return
		}
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		r.reportMoveFailure(g, source, target.Endpoint.ID, err)
		if errors.Is(err, ErrNotRunning) || errors.Is(err, ErrNoTime) {
			break
		}
	}
	g.delayMove()
}

// reserveTarget reserves capacity for a generation at another endpoint. It prefers targets to which no other copy is in
// progress.
func (r *Registry) reserveTarget(g *Generation, source toucanplace.Endpoint, tried map[string]bool) (*toucanplace.Reservation, error) {
	now := time.Now()
	untried := func(e toucanplace.Endpoint) bool { return !tried[e.ID] }
	quiet := func(e toucanplace.Endpoint) bool { return untried(e) && !r.coordinator.Copying(now, e.Key()) }
	d := g.Demand()
	reservation, err := r.placer.PlaceCopy(now, source, d, quiet)
	if err != nil {
		reservation, err = r.placer.PlaceCopy(now, source, d, untried)
	}
	if err != nil {
		// Without a target the generation is lost. So reserve only the memory that it uses now.
		reservation, err = r.placer.PlaceCopy(now, source, g.heldDemand(), untried)
	}
	return reservation, err
}

// reportMoveFailure counts a failed move. It logs the cause if it differs from that of the generation's last failure.
func (r *Registry) reportMoveFailure(g *Generation, source toucanplace.Endpoint, target string, err error) {
	r.moveFails.Inc(1)
	if !g.recordMoveFailure(err.Error()) {
		return
	}
	r.log.Warn(toucanlog.MsgGenerationNotMoved,
		toucanlog.RequestID, g.spec.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, target,
		toucanlog.Cause, err.Error(),
	)
}

// moveToTarget moves a generation to one target. Before the generation is stopped, mayStop can give the move up. It returns true if a Handover or an error was delivered to the
// generation's stream, and false if the generation continues at its source or has ended.
func (r *Registry) moveToTarget(ctx context.Context, g *Generation, source toucanplace.Endpoint, target *toucanplace.Reservation, mayStop func() bool) (bool, error) {
	began := time.Now()
	defer r.coordinator.BeginCopy(target.Endpoint.Key())()
	first, err := r.copyMemory(ctx, g, source, target)
	if err != nil {
		return false, err
	}
	if !mayStop() {
		r.dropCopy(ctx, source, first)
		return false, errLinkBusy
	}
	if !r.canStop(time.Now()) {
		r.dropCopy(ctx, source, first)
		return false, ErrNoTime
	}
	if !r.placer.MayResume(time.Now().Add(resumeTime), target.Endpoint) {
		r.dropCopy(ctx, source, first)
		return false, ErrTargetEvacuated
	}
	if !g.markStopping(source.ID) {
		r.dropCopy(ctx, source, first)
		return false, ErrNotRunning
	}
	stoppedAt := time.Now()
	stop := r.stopForMove(ctx, g, source, target)
	h := Handover{Reservation: target, Source: source.Address, Handle: stop.Handle, StoppedAt: stoppedAt}
	switch {
	case stop.State == SourceStopped:
	case stop.goesOn():
		g.markNotStopped()
		r.dropCopy(ctx, source, first)
		return false, stop.Err
	case stop.State == SourceKeepsMemory:
		h.Reservation = r.placer.ReserveForced(source, g.Demand())
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
	case stop.State == SourceIdle:
		// The generation runs nowhere, and the last handle is unknown. The target reads what the first copy lacks.
		h.Handle = first
	default:
		// The generation may have stopped. If it has, only its backup can continue it.
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		r.reportMoveFailure(g, source, target.Endpoint.ID, stop.Err)
		g.deliverHandover(source.ID, Handover{err: stop.Err})
		return true, stop.Err
	}
	r.moves.Inc(1)
	r.log.Info(toucanlog.MsgGenerationMoved,
		toucanlog.RequestID, g.spec.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, h.Reservation.Endpoint.ID,
		toucanlog.FirstCopyMs, stoppedAt.Sub(began).Milliseconds(),
		toucanlog.LastCopyMs, time.Since(stoppedAt).Milliseconds(),
		toucanlog.Tokens, g.memoryTokens(),
		toucanlog.LeftMs, g.moveRequest(stoppedAt).Remaining.Milliseconds(),
		toucanlog.SameDomain, source.FailureDomain == h.Reservation.Endpoint.FailureDomain,
	)
	if !g.deliverHandover(source.ID, h) {
		h.Reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
	return true, nil
}

// dropCopy frees an unused copy in the background. It does nothing for an empty handle.
func (r *Registry) dropCopy(ctx context.Context, source toucanplace.Endpoint, handle string) {
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		if err := r.mover.Drop(ctx, source.Address, handle); err != nil {
			// The endpoints free an unused copy after a timeout.
			r.log.Debug(toucanlog.MsgCopyNotDropped,
				toucanlog.Endpoint, source.ID,
				toucanlog.Cause, err.Error(),
			)
		}
	}()
}

// copyMemory copies a generation's memory to a target within copyTimeout, while the generation continues.
func (r *Registry) copyMemory(ctx context.Context, g *Generation, source toucanplace.Endpoint, target *toucanplace.Reservation) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return r.mover.Copy(ctx, source.Address, g.spec.ID, target.Endpoint.Address, false)
}

// stopForMove makes the source stop a generation and copy the rest of its memory to a target, within copyTimeout.
func (r *Registry) stopForMove(ctx context.Context, g *Generation, source toucanplace.Endpoint, target *toucanplace.Reservation) StopResult {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return Stop{
		Mover:          r.mover,
		Source:         source.Address,
		ID:             g.spec.ID,
		Target:         target.Endpoint.Address,
		AttemptTimeout: copyTimeout,
		RetryDelay:     stopRetryDelay,
		Patience:       copyTimeout,
		AcceptDecline:  true,
	}.Run(ctx)
}

// markStopping records that the endpoint is about to be asked to stop the generation. It returns false if the
// generation has ended or gone on at another endpoint than source.
func (g *Generation) markStopping(source string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.reservation.Endpoint.ID != source {
		return false
	}
	g.stopping = true
	g.notStopped = make(chan struct{})
	return true
}

// markNotStopped reverts markStopping after the endpoint did not stop the generation.
func (g *Generation) markNotStopped() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = false
	close(g.notStopped)
}
