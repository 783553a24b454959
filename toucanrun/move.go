package toucanrun

import (
	"context"
	"errors"
	"sort"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanmove"
	"toucanport/toucanplace"
	"toucanport/toucanwait"
)

const (
	// copyTimeout bounds one copy of a run's memory.
	copyTimeout = 2 * time.Second
	// moveTargets is how many targets are tried for one run.
	moveTargets = 3
	// moveRecheck is the longest time between two looks at leaving endpoints.
	moveRecheck = 200 * time.Millisecond
	// moveSettle is how long entries tell one another of their runs before the first is moved.
	moveSettle = 12 * time.Millisecond
	// moveTurn is how long a run waits for those of peers that are ahead of it.
	moveTurn = 1200 * time.Millisecond
	// moveRetry is the time until a move that failed is tried again.
	moveRetry = 150 * time.Millisecond
)

// Move moves generations off endpoints that leave until ctx ends.
func (rs *Runs) Move(ctx context.Context) {
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
		timer := time.NewTimer(moveRecheck)
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

// leavingEndpoints returns the endpoints that leave and still have generations of this entry, by id.
func (rs *Runs) leavingEndpoints() map[string]toucanplace.Endpoint {
	found := make(map[string]toucanplace.Endpoint)
	for _, r := range rs.all(rs.leaves) {
		e := r.Endpoint()
		found[e.ID] = e
	}
	return found
}

// leaves reports whether a run should be moved.
func (rs *Runs) leaves(r *Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.spec.Engine
	return e != nil && e.Moves && !r.ended && !rs.book.Staying(r.claim.Endpoint.ID)
}

// evacuate moves this entry's generations off one endpoint, each when none of a peer's is ahead of it.
func (rs *Runs) evacuate(ctx context.Context, e toucanplace.Endpoint, done chan<- string) {
	defer func() {
		rs.board.Announce(e.Key(), nil)
		select {
		case done <- e.ID:
		case <-ctx.Done():
		}
	}()
	rs.board.Announce(e.Key(), plans(rs.runsAt(e)))
	toucanwait.Sleep(ctx, moveSettle)
	waitingSince := time.Now()
	for ctx.Err() == nil {
		changed := rs.board.Changed()
		runs := rs.runsAt(e)
		rs.board.Announce(e.Key(), plans(runs))
		if len(runs) == 0 {
			return
		}
		now := time.Now()
		if now.Sub(waitingSince) < moveTurn && rs.board.Ahead(now, e.Key(), runs[0].forMove(now)) {
			toucanwait.Signal(ctx, changed, moveRecheck/4)
			continue
		}
		rs.moveRun(ctx, runs[0])
		waitingSince = time.Now()
	}
}

// runsAt returns this entry's runs at an endpoint that may be moved now, in the order of their moves.
func (rs *Runs) runsAt(e toucanplace.Endpoint) []*Run {
	now := time.Now()
	runs := rs.all(func(r *Run) bool { return r.movable(now, e.ID) })
	sort.Slice(runs, func(i, j int) bool { return toucanmove.Before(runs[i].forMove(now), runs[j].forMove(now)) })
	return runs
}

func plans(runs []*Run) []toucanmove.Run {
	now := time.Now()
	list := make([]toucanmove.Run, len(runs))
	for i, r := range runs {
		list[i] = r.forMove(now)
	}
	return list
}

// Endpoint returns where the run is.
func (r *Run) Endpoint() toucanplace.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claim.Endpoint
}

func (r *Run) movable(now time.Time, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && !r.stopping && r.claim.Endpoint.ID == endpoint && !now.Before(r.notBefore)
}

// firstFailure reports whether a cause is another than that of the run's last failed move.
func (r *Run) firstFailure(cause string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.moveFailure != cause
	r.moveFailure = cause
	return first
}

// postpone keeps a run whose move failed from being tried again at once.
func (r *Run) postpone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notBefore = time.Now().Add(moveRetry)
}

// moveRun copies a run's memory to another endpoint while it goes on, then stops it and copies the rest.
func (rs *Runs) moveRun(ctx context.Context, r *Run) {
	source := r.Endpoint()
	tried := map[string]bool{source.ID: true}
	for range moveTargets {
		target, err := rs.moveTarget(r, source, tried)
		if err != nil {
			rs.moveFailed(r, source, "", err)
			break
		}
		tried[target.Endpoint.ID] = true
		done, err := rs.moveOnto(ctx, r, source, target)
		if done {
			return
		}
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		rs.moveFailed(r, source, target.Endpoint.ID, err)
		if errors.Is(err, ErrNoRun) {
			break
		}
	}
	r.postpone()
}

// moveTarget claims a place for a run, where no other copy takes the link if there is one.
func (rs *Runs) moveTarget(r *Run, source toucanplace.Endpoint, tried map[string]bool) (*toucanplace.Claim, error) {
	now := time.Now()
	untried := func(e toucanplace.Endpoint) bool { return !tried[e.ID] }
	quiet := func(e toucanplace.Endpoint) bool { return untried(e) && !rs.board.Copying(now, e.Key()) }
	d := r.Demand()
	c, err := rs.book.PlaceCopy(now, source, d, quiet)
	if err != nil {
		c, err = rs.book.PlaceCopy(now, source, d, untried)
	}
	if err != nil {
		// A run that finds no room is lost, so that its memory of now is enough.
		c, err = rs.book.PlaceCopy(now, source, toucanplace.Demand{Prompt: r.tokens()}, untried)
	}
	return c, err
}

func (rs *Runs) moveFailed(r *Run, source toucanplace.Endpoint, target string, err error) {
	rs.moveFails.Inc(1)
	if !r.firstFailure(err.Error()) {
		return
	}
	rs.log.Warn(toucanlog.MsgGenerationNotMoved,
		toucanlog.RequestID, r.spec.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, target,
		toucanlog.Cause, err.Error(),
	)
}

// moveOnto moves a run to one target. It returns true when the run goes on there or has been told that it can't.
func (rs *Runs) moveOnto(ctx context.Context, r *Run, source toucanplace.Endpoint, target *toucanplace.Claim) (bool, error) {
	began := time.Now()
	defer rs.board.BeginCopy(target.Endpoint.Key())()
	first, err := rs.copyRun(ctx, r, source, target, false)
	if err != nil {
		return false, err
	}
	if !r.stop() {
		rs.drop(ctx, source, first)
		return false, ErrNoRun
	}
	stoppedAt := time.Now()
	handle, err := rs.copyRun(ctx, r, source, target, true)
	h := Handover{Claim: target, Source: source.Address, Handle: handle, StoppedAt: stoppedAt}
	switch {
	case err == nil:
	case errors.Is(err, ErrNoRun), errors.Is(err, ErrNoRoom) && handle == "":
		r.unstop()
		rs.drop(ctx, source, first)
		return false, err
	case errors.Is(err, ErrNoRoom):
		h.Claim = rs.book.Reclaim(source, r.Demand())
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
	default:
		// Whether the run has stopped is unknown; if it has, its backup is what is left of it.
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		rs.moveFailed(r, source, target.Endpoint.ID, err)
		r.hand(Handover{err: err})
		return true, err
	}
	rs.moves.Inc(1)
	rs.log.Info(toucanlog.MsgGenerationMoved,
		toucanlog.RequestID, r.spec.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, h.Claim.Endpoint.ID,
		toucanlog.FirstCopyMs, stoppedAt.Sub(began).Milliseconds(),
		toucanlog.LastCopyMs, time.Since(stoppedAt).Milliseconds(),
		toucanlog.Tokens, r.tokens(),
		toucanlog.LeftMs, r.forMove(stoppedAt).Left.Milliseconds(),
		toucanlog.SameDomain, source.FailureDomain == h.Claim.Endpoint.FailureDomain,
	)
	if !r.hand(h) {
		h.Claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
	return true, nil
}

// drop frees a copy that will not be used, without waiting for it.
func (rs *Runs) drop(ctx context.Context, source toucanplace.Endpoint, handle string) {
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		if err := rs.mover.Drop(ctx, source.Address, handle); err != nil {
			// The endpoints free it by themselves after a while.
			rs.log.Debug(toucanlog.MsgCopyNotDropped,
				toucanlog.Endpoint, source.ID,
				toucanlog.Cause, err.Error(),
			)
		}
	}()
}

func (rs *Runs) copyRun(ctx context.Context, r *Run, source toucanplace.Endpoint, target *toucanplace.Claim, last bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return rs.mover.Copy(ctx, source.Address, r.spec.ID, target.Endpoint.Address, last)
}

// stop notes that the endpoint is about to be told to stop the run. It returns false when the run has ended.
func (r *Run) stop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.stopping = true
	r.unstopped = make(chan struct{})
	return true
}

// unstop takes stop back: the endpoint did not stop the run.
func (r *Run) unstop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = false
	close(r.unstopped)
}
