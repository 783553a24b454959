package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanrank"
	"toucanport/toucanwait"
)

// errHopeless means that a request would get room only after the time for which it may wait.
var errHopeless = errors.New("no room in time")

// request returns what toucanrank decides by. until is when the request is rejected if it still waits.
func (s *Server) request(j *job, until time.Time) *toucanrank.Request {
	r := &toucanrank.Request{Arrived: j.arrived, Goal: j.route.Goal, Deadline: j.deadline, Tokens: j.demand.Tokens()}
	if !j.ranked {
		return r
	}
	times := s.ranks.Times(time.Now(), j.service.Name, j.route.Name)
	r.Rank, r.MaxWait, r.Work, r.Hold = j.rank, until.Sub(j.arrived), times.Work, times.Hold
	return r
}

// size returns the size of the request's service.
func (s *Server) size(j *job) toucanrank.Endpoints {
	return toucanrank.Endpoints{Count: s.placer.Available(j.service.Name), Memory: j.service.Engine.MemoryTokens}
}

// class returns the class of the request.
func (j *job) class() toucanrank.Class {
	return toucanrank.Class{Service: j.service.Name, Route: j.route.Name, Rank: j.rank}
}

// reserveFor returns the memory, in tokens, that the request leaves free at each endpoint for others. It is zero if the
// requests of the service don't differ.
func (s *Server) reserveFor(j *job, now, until time.Time) int {
	if !j.ranked {
		return 0
	}
	return toucanrank.Reserve(now, s.request(j, until), s.ranks.Flows(now, j.service.Name), s.size(j))
}

// isHopeless reports whether the waiting requests before this one need more room than becomes free until a time.
func (s *Server) isHopeless(j *job, until time.Time) bool {
	if !j.ranked {
		return false
	}
	return time.Now().Add(s.forecast(j)).After(until)
}

// forecast returns the least time until the request gets room.
func (s *Server) forecast(j *job) time.Duration {
	now := time.Now()
	return toucanrank.Forecast(now, s.request(j, j.deadline), s.ranks.Flows(now, j.service.Name), s.size(j))
}

// leaveTurn leaves freed room to the requests that wait at other entries and precede this one.
func (s *Server) leaveTurn(ctx context.Context, j *job, until time.Time) {
	if !j.ranked {
		return
	}
	now := time.Now()
	turn := toucanrank.Turn(now, s.request(j, until), s.ranks.Flows(now, j.service.Name))
	toucanwait.Sleep(ctx, min(turn, max(until.Sub(now), 0)))
}

// rankArgs returns what is logged of the decisions by rank; nothing if the requests of the service don't differ in rank.
func (s *Server) rankArgs(j *job, until time.Time) []any {
	if !j.ranked {
		return nil
	}
	return []any{
		toucanlog.Rank, j.rank,
		toucanlog.ReserveTokens, s.reserveFor(j, time.Now(), until),
		toucanlog.ExpectedWaitMs, s.forecast(j).Milliseconds(),
	}
}

// recordArrival records the request among those of its rank.
func (s *Server) recordArrival(j *job) {
	if j.ranked {
		s.ranks.Arrived(j.arrived, j.class(), s.request(j, j.deadline))
	}
}

// recordTimes records how long a finished stream took for its first event and held its room.
func (s *Server) recordTimes(j *job) {
	if !j.ranked || j.placed.IsZero() || j.firstEventAt.IsZero() {
		return
	}
	s.ranks.Ended(j.class(), toucanrank.Times{
		Work: j.firstEventAt.Sub(j.placed),
		Hold: time.Since(j.placed),
	})
}

// returnAfter returns when the caller of a request that got no room is to come back; zero if the requests of the service don't
// differ in rank.
func (s *Server) returnAfter(now time.Time, j *job) time.Duration {
	if !j.ranked {
		return 0
	}
	return toucanrank.ReturnAfter(s.forecast(j), retryAfterFull, j.deadline.Sub(now))
}
