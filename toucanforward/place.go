package toucanforward

import (
	"context"
	"errors"
	"time"

	"toucanport/toucanplace"
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
	for {
		freed := s.book.Freed()
		claim, err := s.tryPlace(j)
		if err == nil || errors.Is(err, toucanplace.ErrTooLarge) {
			j.placed = time.Now()
			return claim, err
		}
		if errors.Is(err, toucanplace.ErrNoEndpoint) && len(j.tried) > 0 {
			return nil, err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil, err
		}
		s.waiting.join(j)
		toucanwait.Signal(ctx, freed, min(left, recheckInterval))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

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
	untried := func(e toucanplace.Endpoint) bool { return !j.tried[e.ID] }
	return s.book.Place(now, j.service.Name, j.demand, untried)
}
