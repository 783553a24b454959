package toucanforward

import (
	"context"
	"errors"
	"sort"
	"time"

	"toucanport/toucanplace"
)

const (
	// copyTimeout bounds one copy of a run's memory.
	copyTimeout = 2 * time.Second
	// moveTargets is how many targets are tried for one run.
	moveTargets = 3
	// moveRecheck is the longest time between two looks at leaving endpoints.
	moveRecheck = 200 * time.Millisecond
)

// RunMoves moves generations off endpoints that leave until ctx ends.
func (s *Server) RunMoves(ctx context.Context) {
	if s.mover == nil {
		return
	}
	workers := newMoveWorkers(s)
	for {
		departed := s.book.Departed()
		workers.start(ctx, s.leavingRuns())
		timer := time.NewTimer(moveRecheck)
		select {
		case <-departed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// leavingRuns marks and returns the runs at leaving endpoints that no move is under way for, by endpoint.
func (s *Server) leavingRuns() map[string][]*run {
	found := make(map[string][]*run)
	for _, r := range s.runs.all(s.leaves) {
		address := r.claim.Endpoint.Address
		found[address] = append(found[address], r)
	}
	return found
}

// leaves reports whether a run should be moved, and marks it.
func (s *Server) leaves(r *run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.job.service.Engine
	if e == nil || !e.Moves || r.moving || r.ended || s.book.Staying(r.claim.Endpoint.ID) {
		return false
	}
	r.moving = true
	return true
}

// moveWorkers moves the runs of each leaving endpoint one after the other, since the copies share its link.
type moveWorkers struct {
	server *Server
	queues map[string]chan *run
}

// moveQueue bounds the runs that wait for a move off one endpoint.
const moveQueue = 256

func newMoveWorkers(s *Server) *moveWorkers {
	return &moveWorkers{server: s, queues: make(map[string]chan *run)}
}

// start hands runs to the worker of their endpoint, those with the least memory first.
func (w *moveWorkers) start(ctx context.Context, leaving map[string][]*run) {
	for address, runs := range leaving {
		queue, ok := w.queues[address]
		if !ok {
			queue = make(chan *run, moveQueue)
			w.queues[address] = queue
			go w.work(ctx, queue)
		}
		sort.Slice(runs, func(i, j int) bool { return runs[i].tokens() < runs[j].tokens() })
		for _, r := range runs {
			select {
			case queue <- r:
			default:
				r.release()
			}
		}
	}
}

func (w *moveWorkers) work(ctx context.Context, queue chan *run) {
	for {
		select {
		case r := <-queue:
			w.server.move(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

// release makes a run movable again.
func (r *run) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = false
}

// move copies a run's memory to another endpoint while it goes on, then stops it and copies the rest.
func (s *Server) move(ctx context.Context, r *run) {
	r.mu.Lock()
	source, ended := r.claim.Endpoint, r.ended
	r.mu.Unlock()
	if ended {
		return
	}
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
	r.release()
}

func (s *Server) moveTarget(r *run, source toucanplace.Endpoint, tried map[string]bool) (*toucanplace.Claim, error) {
	d := r.job.demand
	untried := func(e toucanplace.Endpoint) bool { return !tried[e.ID] }
	return s.book.PlaceNear(time.Now(), source.Service, d, untried, source.FailureDomain)
}

func (s *Server) moveFailed(r *run, source toucanplace.Endpoint, target string, err error) {
	s.metrics.moveFails.Inc(1)
	s.log.Warn(msgMoveFail, "requestId", r.job.ID, "endpoint", source.ID, "target", target, "cause", err.Error())
}

// moveTo moves a run to one target. It returns true when the run goes on there or has been told that it can't.
func (s *Server) moveTo(ctx context.Context, r *run, source toucanplace.Endpoint, target *toucanplace.Claim) (bool, error) {
	began := time.Now()
	if _, err := s.copyRun(ctx, r, source, target, false); err != nil {
		return false, err
	}
	if !r.stop() {
		return false, ErrNoRun
	}
	stoppedAt := time.Now()
	handle, err := s.copyRun(ctx, r, source, target, true)
	h := handover{claim: target, source: source.Address, handle: handle, stoppedAt: stoppedAt}
	switch {
	case err == nil:
	case errors.Is(err, ErrNoRun):
		r.unstop()
		return false, err
	case errors.Is(err, ErrNoRoom) && handle != "":
		h.claim = s.book.Reclaim(source, r.job.demand)
		target.Done(time.Now(), toucanplace.OutcomeNeutral)
	default:
		h.err = err
	}
	s.metrics.moves.Inc(1)
	s.log.Info(msgMove, "requestId", r.job.ID, "endpoint", source.ID, "target", h.claim.Endpoint.ID,
		"firstCopyMs", stoppedAt.Sub(began).Milliseconds(), "lastCopyMs", time.Since(stoppedAt).Milliseconds(),
		"tokens", r.tokens(), "sameDomain", source.FailureDomain == h.claim.Endpoint.FailureDomain)
	r.moved <- h
	return true, nil
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
	return true
}

// unstop takes stop back.
func (r *run) unstop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = false
}
