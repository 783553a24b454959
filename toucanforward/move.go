package toucanforward

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

// RunMoves moves generations off endpoints that leave until ctx ends.
func (s *Server) RunMoves(ctx context.Context) {
	active := make(map[string]bool)
	done := make(chan string)
	for {
		departed := s.book.Departed()
		for id, e := range s.leavingEndpoints() {
			if !active[id] {
				active[id] = true
				go s.evacuate(ctx, e, done)
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
func (s *Server) leavingEndpoints() map[string]toucanplace.Endpoint {
	found := make(map[string]toucanplace.Endpoint)
	for _, r := range s.runs.all(s.leaves) {
		e := r.endpoint()
		found[e.ID] = e
	}
	return found
}

// leaves reports whether a run should be moved.
func (s *Server) leaves(r *run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.job.service.Engine
	return e != nil && e.Moves && !r.ended && !s.book.Staying(r.claim.Endpoint.ID)
}

// evacuate moves this entry's generations off one endpoint, each when none of a peer's is ahead of it.
func (s *Server) evacuate(ctx context.Context, e toucanplace.Endpoint, done chan<- string) {
	defer func() {
		s.board.Announce(e.Key(), nil)
		select {
		case done <- e.ID:
		case <-ctx.Done():
		}
	}()
	s.board.Announce(e.Key(), plans(s.runsAt(e)))
	toucanwait.Sleep(ctx, moveSettle)
	waitingSince := time.Now()
	for ctx.Err() == nil {
		changed := s.board.Changed()
		runs := s.runsAt(e)
		s.board.Announce(e.Key(), plans(runs))
		if len(runs) == 0 {
			return
		}
		now := time.Now()
		if now.Sub(waitingSince) < moveTurn && s.board.Ahead(now, e.Key(), runs[0].forMove(now)) {
			toucanwait.Signal(ctx, changed, moveRecheck/4)
			continue
		}
		s.move(ctx, runs[0])
		waitingSince = time.Now()
	}
}

// runsAt returns this entry's runs at an endpoint that may be moved now, in the order of their moves.
func (s *Server) runsAt(e toucanplace.Endpoint) []*run {
	now := time.Now()
	runs := s.runs.all(func(r *run) bool { return r.movable(now, e.ID) })
	sort.Slice(runs, func(i, j int) bool { return toucanmove.Before(runs[i].forMove(now), runs[j].forMove(now)) })
	return runs
}

func plans(runs []*run) []toucanmove.Run {
	now := time.Now()
	list := make([]toucanmove.Run, len(runs))
	for i, r := range runs {
		list[i] = r.forMove(now)
	}
	return list
}

func (r *run) endpoint() toucanplace.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claim.Endpoint
}

func (r *run) movable(now time.Time, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && !r.stopping && r.claim.Endpoint.ID == endpoint && !now.Before(r.notBefore)
}

// firstFailure reports whether a cause is another than that of the run's last failed move.
func (r *run) firstFailure(cause string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.moveFailure != cause
	r.moveFailure = cause
	return first
}

// postpone keeps a run whose move failed from being tried again at once.
func (r *run) postpone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notBefore = time.Now().Add(moveRetry)
}

// move copies a run's memory to another endpoint while it goes on, then stops it and copies the rest.
func (s *Server) move(ctx context.Context, r *run) {
	source := r.endpoint()
	tried := map[string]bool{source.ID: true}
	for range moveTargets {
		target, err := s.moveTarget(r, source, tried)
		if err != nil {
			s.moveFailed(r, source, "", err)
			break
		}
		tried[target.Endpoint.ID] = true
		done, err := s.moveTo(ctx, r, source, target)
		if done {
			return
		}
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		s.moveFailed(r, source, target.Endpoint.ID, err)
		if errors.Is(err, ErrNoRun) {
			break
		}
	}
	r.postpone()
}

// moveTarget claims a place for a run, where no other copy takes the link if there is one.
func (s *Server) moveTarget(r *run, source toucanplace.Endpoint, tried map[string]bool) (*toucanplace.Claim, error) {
	now := time.Now()
	untried := func(e toucanplace.Endpoint) bool { return !tried[e.ID] }
	quiet := func(e toucanplace.Endpoint) bool { return untried(e) && !s.board.Copying(now, e.Key()) }
	d := r.demand()
	c, err := s.book.PlaceCopy(now, source, d, quiet)
	if err != nil {
		c, err = s.book.PlaceCopy(now, source, d, untried)
	}
	if err != nil {
		// A run that finds no room is lost, so that its memory of now is enough.
		c, err = s.book.PlaceCopy(now, source, toucanplace.Demand{Prompt: r.tokens()}, untried)
	}
	return c, err
}

func (s *Server) moveFailed(r *run, source toucanplace.Endpoint, target string, err error) {
	s.metrics.moveFails.Inc(1)
	if !r.firstFailure(err.Error()) {
		return
	}
	s.log.Warn(toucanlog.MsgGenerationNotMoved,
		toucanlog.RequestID, r.job.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, target,
		toucanlog.Cause, err.Error(),
	)
}

// moveTo moves a run to one target. It returns true when the run goes on there or has been told that it can't.
func (s *Server) moveTo(ctx context.Context, r *run, source toucanplace.Endpoint, target *toucanplace.Claim) (bool, error) {
	began := time.Now()
	defer s.board.BeginCopy(target.Endpoint.Key())()
	first, err := s.copyRun(ctx, r, source, target, false)
	if err != nil {
		return false, err
	}
	if !r.stop() {
		s.drop(ctx, source, first)
		return false, ErrNoRun
	}
	stoppedAt := time.Now()
	handle, err := s.copyRun(ctx, r, source, target, true)
	h := handover{claim: target, source: source.Address, handle: handle, stoppedAt: stoppedAt}
	switch {
	case err == nil:
	case errors.Is(err, ErrNoRun), errors.Is(err, ErrNoRoom) && handle == "":
		r.unstop()
		s.drop(ctx, source, first)
		return false, err
	case errors.Is(err, ErrNoRoom):
		h.claim = s.book.Reclaim(source, r.demand())
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
	default:
		// Whether the run has stopped is unknown; if it has, its backup is what is left of it.
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
		s.moveFailed(r, source, target.Endpoint.ID, err)
		r.hand(handover{err: err})
		return true, err
	}
	s.metrics.moves.Inc(1)
	s.log.Info(toucanlog.MsgGenerationMoved,
		toucanlog.RequestID, r.job.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.Target, h.claim.Endpoint.ID,
		toucanlog.FirstCopyMs, stoppedAt.Sub(began).Milliseconds(),
		toucanlog.LastCopyMs, time.Since(stoppedAt).Milliseconds(),
		toucanlog.Tokens, r.tokens(),
		toucanlog.LeftMs, r.forMove(stoppedAt).Left.Milliseconds(),
		toucanlog.SameDomain, source.FailureDomain == h.claim.Endpoint.FailureDomain,
	)
	if !r.hand(h) {
		h.claim.Done(time.Now(), toucanplace.OutcomeNeutral)
	}
	return true, nil
}

// drop frees a copy that will not be used, without waiting for it.
func (s *Server) drop(ctx context.Context, source toucanplace.Endpoint, handle string) {
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		if err := s.mover.Drop(ctx, source.Address, handle); err != nil {
			// The endpoints free it by themselves after a while.
			s.log.Debug(toucanlog.MsgCopyNotDropped,
				toucanlog.Endpoint, source.ID,
				toucanlog.Cause, err.Error(),
			)
		}
	}()
}

func (s *Server) copyRun(ctx context.Context, r *run, source toucanplace.Endpoint, target *toucanplace.Claim, last bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return s.mover.Copy(ctx, source.Address, r.job.ID, target.Endpoint.Address, last)
}

// stop notes that the endpoint is about to be told to stop the run. It returns false when the run has ended.
func (r *run) stop() bool {
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
func (r *run) unstop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = false
	close(r.unstopped)
}
