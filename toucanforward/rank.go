package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrank"
	"toucanport/toucanwait"
)

// errHopeless means that a request would get room only after the time for which it may wait.
var errHopeless = errors.New("no room in time")

// request returns what toucanrank decides by. until is when the request is rejected if it still waits.
func (s *Server) request(j *job, until time.Time) *toucanrank.Request {
	r := &toucanrank.Request{Arrived: j.arrived, Goal: j.route.Goal, Deadline: j.deadline, Tokens: j.demand.Tokens()}
	if !j.mixed {
		return r
	}
	times := s.ranks.Times(time.Now(), j.service.Name, j.route.Name)
	r.Once = !j.route.IsIdempotent()
	r.Rank, r.MaxWait, r.Work, r.Hold = j.rank, until.Sub(j.arrived), times.Work+times.Deviation, times.Hold
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

// roomLimits are the limits on the room that a request may take at an endpoint. All are zero if the requests of its service
// don't differ.
type roomLimits struct {
	// reserve is the memory, in tokens, that it leaves free for others.
	reserve int
	// maxUnread is how many prompt tokens may be unread there, with its own.
	maxUnread int
	// sound is true if the request avoids endpoints at which others have just failed.
	sound bool
}

// options returns the limits as options of Place.
func (l roomLimits) options(opts ...toucanplace.PlaceOption) []toucanplace.PlaceOption {
	opts = append(opts, toucanplace.WithReserve(l.reserve), toucanplace.WithMaxUnread(l.maxUnread))
	if l.sound {
		opts = append(opts, toucanplace.WithoutDoubtful())
	}
	return opts
}

// decideRoom decides which room the request may take now, and returns what it is ordered by. until is when the request is
// rejected if it still waits.
func (s *Server) decideRoom(j *job, now, until time.Time) (*toucanrank.Request, roomLimits) {
	r := s.request(j, until)
	if !j.mixed {
		return r, roomLimits{}
	}
	flows := s.ranks.Flows(now, j.service.Name)
	r.Reserve = toucanrank.Reserve(now, r, flows, s.size(j))
	rate := s.ranks.Times(now, j.service.Name, j.route.Name).ReadRate
	return r, roomLimits{
		reserve:   r.Reserve,
		maxUnread: toucanrank.MaxUnread(now, r, flows, rate),
		sound:     r.AvoidsDoubt(now),
	}
}

// isHopeless reports whether the waiting requests before this one need more room than becomes free until a time.
func (s *Server) isHopeless(j *job, until time.Time) bool {
	if !j.mixed {
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
	if !j.mixed {
		return
	}
	now := time.Now()
	turn := toucanrank.Turn(now, s.request(j, until), s.ranks.Flows(now, j.service.Name))
	toucanwait.Sleep(ctx, min(turn, max(until.Sub(now), 0)))
}

// rankArgs returns what is logged of the decisions on the request's room, and records it in the metrics; nothing if the requests of the service don't differ.
func (s *Server) rankArgs(j *job, until time.Time) []any {
	if !j.mixed {
		return nil
	}
	_, room := s.decideRoom(j, time.Now(), until)
	expected := s.forecast(j)
	instruments := s.metrics.ranks.of(j.rank)
	instruments.expected.RecordDuration(expected)
	instruments.reserve.Update(float64(room.reserve))
	return []any{
		toucanlog.Rank, j.rank,
		toucanlog.ReserveTokens, room.reserve,
		toucanlog.MaxUnread, room.maxUnread,
		toucanlog.ExpectedWaitMs, expected.Milliseconds(),
	}
}

// recordArrival records the request among those of its rank.
func (s *Server) recordArrival(j *job) {
	if j.mixed {
		s.ranks.Arrived(j.arrived, j.class(), s.request(j, j.deadline))
	}
}

// minReadPrompt is the shortest prompt, in tokens, from which the rate of reading is learned.
const minReadPrompt = 500

// recordTimes records how long a finished stream took for its first event and held its room.
func (s *Server) recordTimes(j *job) {
	if !j.mixed || j.placed.IsZero() || j.firstEventAt.IsZero() {
		return
	}
	work := j.firstEventAt.Sub(j.placed)
	if work <= 0 || j.callerResumed() {
		return // The last endpoint made only a part of the stream.
	}
	rate := 0.0
	if j.unreadBefore == 0 && j.Prompt >= minReadPrompt && work > 0 {
		rate = float64(j.Prompt) / work.Seconds()
	}
	s.ranks.Ended(j.class(), toucanrank.Times{Work: work, Hold: time.Since(j.placed), ReadRate: rate})
}

// returnAfter returns when the caller of a request that got no room is to come back; zero if the requests of the service don't
// differ.
func (s *Server) returnAfter(now time.Time, j *job) time.Duration {
	if !j.mixed {
		return 0
	}
	return toucanrank.ReturnAfter(s.forecast(j), retryAfterFull, j.deadline.Sub(now))
}
