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
	// copyTimeout is the timeout of one copy of a run's memory.
	copyTimeout = 2 * time.Second
	// moveTargets is the maximum number of targets that are tried in one attempt to move a run.
	moveTargets = 3
	// moveInterval is the longest time between two checks for leaving endpoints.
	moveInterval = 200 * time.Millisecond
	// announceDelay is how long an entry waits for its peers to announce their runs before it moves the first one.
	announceDelay = 12 * time.Millisecond
	// maxTurnWait is how long a run waits for runs of peers that are ahead of it in the order.
	maxTurnWait = 1200 * time.Millisecond
	// moveRetryDelay is the time between a failed move and the next attempt.
	moveRetryDelay = 150 * time.Millisecond
)

// Move moves generations off leaving endpoints until ctx is done.
func (rs *Registry) Move(ctx context.Context) {
	active := make(map[string]bool)
	done := make(chan string)
	for {
		departed := rs.book.Departed()
		for id, e := range rs.leavingEndpoints() {
			if !active[id] {
				active[id] = true
				go rs.evacuate(ctx, e, done)
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

// leavingEndpoints returns the leaving endpoints that still run generations of this entry, by ID.
func (rs *Registry) leavingEndpoints() map[string]toucanplace.Endpoint {
	found := make(map[string]toucanplace.Endpoint)
	for _, r := range rs.filter(rs.needsMove) {
		e := r.Endpoint()
		found[e.ID] = e
	}
	return found
}

// needsMove reports whether a run is at a leaving endpoint whose engine supports moves.
func (rs *Registry) needsMove(r *Generation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.spec.Engine
	return e != nil && e.Moves && !r.ended && !rs.book.IsAvailable(r.claim.Endpoint.ID)
}

// evacuate moves this entry's generations off an endpoint one at a time. Before each move it waits, for up to
// maxTurnWait, until no run of a peer is ahead in the order. It sends the endpoint's ID on done when it returns.
func (rs *Registry) evacuate(ctx context.Context, e toucanplace.Endpoint, done chan<- string) {
	defer func() {
		rs.board.Announce(e.Key(), nil)
		select {
		case done <- e.ID:
		case <-ctx.Done():
		}
	}()
	rs.board.Announce(e.Key(), moveRequests(rs.movableRuns(e)))
	toucanwait.Sleep(ctx, announceDelay)
	waitingSince := time.Now()
	for ctx.Err() == nil {
		changed := rs.board.Changed()
		runs := rs.movableRuns(e)
		rs.board.Announce(e.Key(), moveRequests(runs))
		if len(runs) == 0 {
			return
		}
		now := time.Now()
		if now.Sub(waitingSince) < maxTurnWait && rs.board.Ahead(now, e.Key(), runs[0].moveRequest(now)) {
			toucanwait.Signal(ctx, changed, moveInterval/4)
			continue
		}
		rs.moveRun(ctx, runs[0])
		waitingSince = time.Now()
	}
}

// movableRuns returns this entry's runs at an endpoint that can be moved now, in the order of their moves.
func (rs *Registry) movableRuns(e toucanplace.Endpoint) []*Generation {
	now := time.Now()
	runs := rs.filter(func(r *Generation) bool { return r.movable(now, e.ID) })
	sort.Slice(runs, func(i, j int) bool { return toucanmoveorder.Before(runs[i].moveRequest(now), runs[j].moveRequest(now)) })
	return runs
}

// moveRequests returns the descriptions of runs that are announced to peers.
func moveRequests(runs []*Generation) []toucanmoveorder.Generation {
	now := time.Now()
	list := make([]toucanmoveorder.Generation, len(runs))
	for i, r := range runs {
		list[i] = r.moveRequest(now)
	}
	return list
}

// Endpoint returns the endpoint at which the run is now.
func (r *Generation) Endpoint() toucanplace.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claim.Endpoint
}

// movable reports whether the run is at the endpoint, is not being moved and does not wait to retry a move.
func (r *Generation) movable(now time.Time, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && !r.stopping && r.claim.Endpoint.ID == endpoint && !now.Before(r.retryMoveAt)
}

// recordMoveFailure stores the cause of a failed move and reports whether it differs from that of the last one.
func (r *Generation) recordMoveFailure(cause string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.moveFailure != cause
	r.moveFailure = cause
	return first
}

// delayMove delays the next attempt to move the run by moveRetryDelay.
func (r *Generation) delayMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryMoveAt = time.Now().Add(moveRetryDelay)
}

// moveRun moves a run to another endpoint: it copies the memory while the run continues, then stops the run and copies
// the rest. It tries up to moveTargets targets.
func (rs *Registry) moveRun(ctx context.Context, r *Generation) {
	source := r.Endpoint()
	tried := map[string]bool{source.ID: true}
	for range moveTargets {
		target, err := rs.reserveTarget(r, source, tried)
		if err != nil {
			rs.reportMoveFailure(r, source, "", err)
			break
		}
		tried[target.Endpoint.ID] = true
		done, err := rs.moveToTarget(ctx, r, source, target)
		if done {
			return
		}
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		rs.reportMoveFailure(r, source, target.Endpoint.ID, err)
		if errors.Is(err, ErrNotRunning) {
			break
		}
	}
	r.delayMove()
}

// reserveTarget reserves capacity for a run at another endpoint. It prefers targets to which no other copy is in progress.
func (rs *Registry) reserveTarget(r *Generation, source toucanplace.Endpoint, tried map[string]bool) (*toucanplace.Reservation, error) {
	now := time.Now()
	untried := func(e toucanplace.Endpoint) bool { return !tried[e.ID] }
	quiet := func(e toucanplace.Endpoint) bool { return untried(e) && !rs.board.Copying(now, e.Key()) }
	d := r.Demand()
	c, err := rs.book.PlaceCopy(now, source, d, quiet)
	if err != nil {
		c, err = rs.book.PlaceCopy(now, source, d, untried)
	}
	if err != nil {
		// Without a target the run is lost. So reserve only the memory that it uses now.
		c, err = rs.book.PlaceCopy(now, source, toucanplace.Demand{Prompt: r.memoryTokens()}, untried)
	}
	return c, err
}

// reportMoveFailure counts a failed move. It logs the cause if it differs from that of the run's last failure.
func (rs *Registry) reportMoveFailure(r *Generation, source toucanplace.Endpoint, target string, err error) {
	rs.moveFails.Inc(1)
	if !r.recordMoveFailure(err.Error()) {
		return
	}
	rs.log.Warn(toucanlog.MsgGenerationNotMoved,
		toucanlog.RequestID, r.spec.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, target,
		toucanlog.Cause, err.Error(),
	)
}

// moveToTarget moves a run to one target. It returns true if a Handover or an error was delivered to the run's stream,
// and false if the run continues at its source or has ended.
func (rs *Registry) moveToTarget(ctx context.Context, r *Generation, source toucanplace.Endpoint, target *toucanplace.Reservation) (bool, error) {
	began := time.Now()
	defer rs.board.BeginCopy(target.Endpoint.Key())()
	first, err := rs.copyRun(ctx, r, source, target, false)
	if err != nil {
		return false, err
	}
	if !r.markStopping() {
		rs.dropCopy(ctx, source, first)
		return false, ErrNotRunning
	}
	stoppedAt := time.Now()
	handle, err := rs.copyRun(ctx, r, source, target, true)
	h := Handover{Claim: target, Source: source.Address, Handle: handle, StoppedAt: stoppedAt}
	switch {
	case err == nil:
	case errors.Is(err, ErrNotRunning), errors.Is(err, ErrNoCapacity) && handle == "":
		r.markNotStopped()
		rs.dropCopy(ctx, source, first)
		return false, err
	case errors.Is(err, ErrNoCapacity):
		h.Claim = rs.book.ReserveForced(source, r.Demand())
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
	default:
		// The run may have stopped. If it has, only its backup can continue it.
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		rs.reportMoveFailure(r, source, target.Endpoint.ID, err)
		r.deliverHandover(Handover{err: err})
		return true, err
	}
	rs.moves.Inc(1)
	rs.log.Info(toucanlog.MsgGenerationMoved,
		toucanlog.RequestID, r.spec.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, h.Claim.Endpoint.ID,
		toucanlog.FirstCopyMs, stoppedAt.Sub(began).Milliseconds(),
		toucanlog.LastCopyMs, time.Since(stoppedAt).Milliseconds(),
		toucanlog.Tokens, r.memoryTokens(),
		toucanlog.LeftMs, r.moveRequest(stoppedAt).Remaining.Milliseconds(),
		toucanlog.SameDomain, source.FailureDomain == h.Claim.Endpoint.FailureDomain,
	)
	if !r.deliverHandover(h) {
		h.Claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
	return true, nil
}

// dropCopy frees an unused copy in the background. It does nothing for an empty handle.
func (rs *Registry) dropCopy(ctx context.Context, source toucanplace.Endpoint, handle string) {
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		if err := rs.mover.Drop(ctx, source.Address, handle); err != nil {
			// The endpoints free an unused copy after a timeout.
			rs.log.Debug(toucanlog.MsgCopyNotDropped,
				toucanlog.Endpoint, source.ID,
				toucanlog.Cause, err.Error(),
			)
		}
	}()
}

// copyRun copies a run's memory to a target within copyTimeout. With last, the endpoint stops the run first.
func (rs *Registry) copyRun(ctx context.Context, r *Generation, source toucanplace.Endpoint, target *toucanplace.Reservation, last bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return rs.mover.Copy(ctx, source.Address, r.spec.ID, target.Endpoint.Address, last)
}

// markStopping records that the endpoint is about to be asked to stop the run. It returns false if the run has ended.
func (r *Generation) markStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.stopping = true
	r.notStopped = make(chan struct{})
	return true
}

// markNotStopped reverts markStopping after the endpoint did not stop the run.
func (r *Generation) markNotStopped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = false
	close(r.notStopped)
}
