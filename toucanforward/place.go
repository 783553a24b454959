package toucanforward

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
	"toucanport/toucanwait"
)

const (
	// waitShare is the share of the time left that a request waits for room at most.
	waitShare = 0.3
	// waitGoals is how many times the route's goal a request waits for room at most.
	waitGoals = 2
	// recheckInterval is the longest time between two looks for room.
	recheckInterval = 100 * time.Millisecond
)

// place waits for room within the share of the time left, and claims it.
func (s *Server) place(ctx context.Context, j *job) (*toucanplace.Claim, error) {
	now := time.Now()
	until := now.Add(j.patience(now))
	defer s.waiting.leave(j)
	for held := false; ; held = true {
		freed := s.book.Freed()
		claim, err := s.tryPlace(j)
		if err == nil {
			s.placed(j, claim, now)
			return claim, nil
		}
		if errors.Is(err, toucanplace.ErrTooLarge) {
			return nil, err
		}
		if errors.Is(err, toucanplace.ErrNoEndpoint) && len(j.tried) > 0 {
			return nil, err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil, err
		}
		s.waiting.join(j)
		if !held {
			j.logged = true
			s.log.Info(toucanlog.MsgRequestHeld,
				toucanlog.RequestID, j.ID,
				toucanlog.Route, j.route.Name,
				toucanlog.Service, j.service.Name,
				toucanlog.Workspace, j.workspace,
				toucanlog.Cause, err.Error(),
				toucanlog.Tokens, j.demand.Tokens(),
				toucanlog.WaitMs, left.Milliseconds(),
			)
		}
		toucanwait.Signal(ctx, freed, min(left, recheckInterval))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// placed notes where a request goes and what decided it. since is when it began to look for room.
func (s *Server) placed(j *job, claim *toucanplace.Claim, since time.Time) {
	j.placed = time.Now()
	held := j.placed.Sub(since)
	s.metrics.held.RecordDuration(held)
	if j.route.Kind != toucantraffic.Stream && len(j.tried) == 0 && !j.sampled() {
		return
	}
	j.logged = true
	why := claim.Choice
	s.log.Info(toucanlog.MsgRequestPlaced,
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.Endpoint, claim.Endpoint.ID,
		toucanlog.Candidates, why.Candidates,
		toucanlog.Cost, roundCost(why.Cost),
		toucanlog.Next, why.Next,
		toucanlog.NextCost, roundCost(why.NextCost),
		toucanlog.Tokens, j.demand.Tokens(),
		toucanlog.HeldMs, held.Milliseconds(),
		toucanlog.SettingsVersion, j.version,
	)
}

// roundCost shortens a cost for the log.
func roundCost(c float64) float64 { return math.Round(c*1000) / 1000 }

// sampled reports whether a request is one of those whose plain success is logged.
func (j *job) sampled() bool { return xxhash.Sum64String(j.ID)%successSample == 0 }

// patience is how long a request waits for room: a share of the time left, and no longer than a caller of a stream waits
// for its first event.
func (j *job) patience(now time.Time) time.Duration {
	wait := time.Duration(float64(j.deadline.Sub(now)) * waitShare)
	if j.route.Goal > 0 {
		wait = min(wait, waitGoals*j.route.Goal)
	}
	return wait
}

// tryPlace claims an endpoint if there is room and none of those who wait goes first.
func (s *Server) tryPlace(j *job) (*toucanplace.Claim, error) {
	now := time.Now()
	if !s.waiting.mayTry(now, j) {
		return nil, toucanplace.ErrFull
	}
	return s.book.Place(now, j.service.Name, j.demand, j.untried)
}

// untried reports whether an endpoint has not failed the request.
func (j *job) untried(e toucanplace.Endpoint) bool { return !j.tried[e.ID] }
