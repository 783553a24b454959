package toucanforward

import (
	"context"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrank"
	"toucanport/toucanroom"
	"toucanport/toucanwait"
)

// room returns what toucanroom decides by.
func (j *job) room() *toucanroom.Request {
	if j.waiting == nil {
		r := &toucanroom.Request{
			Class:   toucanrank.Class{Service: j.service.Name, Route: j.route.Name, Rank: j.rank},
			Mixed:   j.mixed,
			Arrived: j.arrived, Deadline: j.deadline,
			Goal: j.route.Goal,
		}
		if engine := j.service.Engine; engine != nil {
			r.Memory = engine.MemoryTokens
		}
		j.waiting = r
	}
	j.waiting.Tokens = j.demand.Tokens()
	return j.waiting
}

// roomOptions returns limits as options of Place.
func roomOptions(l toucanroom.Limits, opts ...toucanplace.PlaceOption) []toucanplace.PlaceOption {
	return append(opts, toucanplace.WithReserve(l.Reserve), toucanplace.WithMaxUnread(l.MaxUnread))
}

// leaveTurn leaves freed room to the requests that wait at other entries and precede this one.
func (s *Server) leaveTurn(ctx context.Context, j *job, until time.Time) {
	if turn := s.rooms.Turn(time.Now(), j.room(), until); turn > 0 {
		toucanwait.Sleep(ctx, turn)
	}
}

// rankArgs returns what is logged of the decisions on the request's room, and records it in the metrics; nothing if the requests of the service don't differ.
func (s *Server) rankArgs(j *job, until time.Time) []any {
	if !j.mixed {
		return nil
	}
	now := time.Now()
	limits := s.rooms.Limits(now, j.room(), until)
	expected := s.rooms.Forecast(now, j.room())
	instruments := s.metrics.ranks.of(j.rank)
	instruments.expected.RecordDuration(expected)
	instruments.reserve.Update(float64(limits.Reserve))
	return []any{
		toucanlog.Rank, j.rank,
		toucanlog.ReserveTokens, limits.Reserve,
		toucanlog.MaxUnread, limits.MaxUnread,
		toucanlog.ExpectedWaitMs, expected.Milliseconds(),
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
	s.rooms.Ended(j.room(), toucanrank.Times{Work: work, Hold: time.Since(j.placed), ReadRate: rate})
}
