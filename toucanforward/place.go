package toucanforward

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrefusal"
	"toucanport/toucanroom"
	"toucanport/toucanstop"
	"toucanport/toucantraffic"
	"toucanport/toucanwait"
)

// maxSlotAsks is how many endpoints a request asks for a slot before it looks for one without a limit.
const maxSlotAsks = 2

// place reserves an endpoint for the request and waits up to job.maxWait for one. It does not wait if the request is
// too large for every endpoint, if it can't end before the server stops, if all endpoints have asked for no requests for
// longer than it may wait or have no slot in that time, if it would end too late at all of them, if all are in evacuated failure domains, if the requests that wait
// before it need longer, or if an attempt has failed and no untried endpoint is left.
func (s *Server) place(ctx context.Context, j *job) (*toucanplace.Reservation, error) {
	now := time.Now()
	until := now.Add(j.maxWait(now))
	defer s.rooms.Leave(j.room())
	for held := false; ; held = true {
		if s.watch.IsQuarantined(&j.started) {
			return nil, toucanquarantine.ErrQuarantined
		}
		freed := s.placer.Freed()
		if !s.canEnd(j) {
			return nil, toucanstop.ErrStopping
		}
		reservation, err := s.tryPlace(ctx, j, until)
		if err == nil && !s.canEnd(j) {
			reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
			return nil, toucanstop.ErrStopping
		}
		if err == nil {
			s.recordPlaced(j, reservation, now)
			return reservation, nil
		}
		if isFinal(err) {
			return nil, err
		}
		if errors.Is(err, toucanplace.ErrNoEndpoint) && len(j.tried) > 0 {
			return nil, err
		}
		left := time.Until(until)
		if left <= 0 || s.deferredFor(j) > left {
			return nil, err
		}
		if !held && s.rooms.Hopeless(time.Now(), j.room(), until) {
			return nil, errors.Wrap(toucanrefusal.ErrNoRoomInTime, err.Error())
		}
		s.rooms.Wait(time.Now(), j.room(), until)
		if !held {
			j.logged = true
			s.log.Info(toucanlog.MsgRequestHeld, append([]any{
				toucanlog.RequestID, j.ID,
				toucanlog.Route, j.route.Name,
				toucanlog.Service, j.service.Name,
				toucanlog.Workspace, j.workspace,
				toucanlog.Cause, err.Error(),
				toucanlog.Tokens, j.demand.Tokens(),
				toucanlog.WaitMs, left.Milliseconds(),
			}, s.rankArgs(j, until)...)...)
		}
		toucanwait.Signal(ctx, freed, min(left, toucanroom.RecheckInterval))
		s.leaveTurn(ctx, j, until)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// plainLeft returns the time left to the deadline of a request without a model engine; zero for others.
func (j *job) plainLeft(now time.Time) time.Duration {
	if j.service.Engine != nil {
		return 0
	}
	return max(j.deadline.Sub(now), time.Nanosecond)
}

// updateDemand updates the parts of the demand that change while the request waits.
func (j *job) updateDemand(now time.Time) {
	j.demand.Goal, j.demand.Movable, j.demand.Left = j.goalLeft(now), j.isMovable(), j.plainLeft(now)
}

// isFinal reports whether a request for which no endpoint was reserved gets none by waiting.
func isFinal(err error) bool {
	return errors.Is(err, toucanplace.ErrTooLarge) || errors.Is(err, toucanplace.ErrNoTime) || errors.Is(err, toucanplace.ErrLimited) || errors.Is(err, toucanplace.ErrEvacuated)
}

// recordPlaced records how long the request waited for the reservation, counted from since, and logs which endpoint was
// chosen and at which cost. Of plain requests at their first attempt, only a sample is logged.
func (s *Server) recordPlaced(j *job, reservation *toucanplace.Reservation, since time.Time) {
	j.placed = time.Now()
	j.unreadBefore = reservation.Choice.Unread
	held := j.placed.Sub(since)
	s.metrics.held.RecordDuration(held)
	if j.mixed {
		s.metrics.ranks.of(j.rank).held.RecordDuration(held)
	}
	if j.route.Kind != toucantraffic.Stream && len(j.tried) == 0 && !j.sampled() {
		return
	}
	j.logged = true
	choice := reservation.Choice
	if choice.Pace.Harms {
		s.metrics.besideStreams.Inc(1)
	}
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.Endpoint, reservation.Endpoint.ID,
		toucanlog.Candidates, choice.Candidates,
		toucanlog.Cost, roundCost(choice.Cost),
		toucanlog.Next, choice.Next,
		toucanlog.NextCost, roundCost(choice.NextCost),
		toucanlog.Tokens, j.demand.Tokens(),
		toucanlog.HeldMs, held.Milliseconds(),
		toucanlog.SettingsVersion, j.version,
	}
	if choice.Cold > 0 {
		args = append(args, toucanlog.ColdLeftOut, choice.Cold)
	}
	s.log.Info(toucanlog.MsgRequestPlaced, append(append(args, paceArgs(choice.Pace)...), s.rankArgs(j, j.deadline)...)...)
}

// roundCost rounds a cost to three decimals for the log.
func roundCost(c float64) float64 { return math.Round(c*1000) / 1000 }

// sampled reports whether a request is in the sample, one in successSampleRate by request id, whose success is logged.
func (j *job) sampled() bool { return xxhash.Sum64String(j.ID)%successSampleRate == 0 }

// maxWait returns how long a request may wait for a free endpoint. One whose body is not kept does not wait, since its caller's
// leaving is noticed only when the body has been read.
func (j *job) maxWait(now time.Time) time.Duration {
	if !j.body.Whole() {
		return 0
	}
	return j.room().Patience(now)
}

// tryPlace reserves an endpoint. Only if every endpoint has a limit on requests a second, it waits for a slot at one of them,
// at most until a time. It returns ErrFull if too many queued requests precede this one.
func (s *Server) tryPlace(ctx context.Context, j *job, until time.Time) (*toucanplace.Reservation, error) {
	now := time.Now()
	limits, may := s.rooms.Try(now, j.room(), until)
	if !may {
		return nil, toucanplace.ErrFull
	}
	reservation, err := s.reserve(ctx, j, now, limits)
	if errors.Is(err, toucanplace.ErrLimited) {
		reservation, err = s.reserve(ctx, j, until, limits)
	}
	if err != nil {
		s.rooms.Tried(now, j.room())
	}
	return reservation, err
}

// reserve reserves an endpoint and, if it has a limit, a slot there that begins until a time. After maxSlotAsks asks without a
// slot, it considers only endpoints without a limit.
func (s *Server) reserve(ctx context.Context, j *job, until time.Time, limits toucanroom.Limits) (*toucanplace.Reservation, error) {
	for range maxSlotAsks {
		now := time.Now()
		j.updateDemand(now)
		patience := max(until.Sub(now), 0)
		reservation, err := s.placer.Place(now, j.service.Name, j.demand, j.untried, roomOptions(limits, toucanplace.WithPatience(patience))...)
		if err != nil {
			return nil, err
		}
		wait, ok := s.limits.Take(ctx, reservation.Endpoint.Key(), patience)
		if ok && s.awaitSlot(ctx, reservation.Endpoint, wait) {
			return reservation, nil
		}
		reservation.Done(time.Now(), toucanplace.OutcomeNeutral)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return s.placer.Place(time.Now(), j.service.Name, j.demand, j.untried, roomOptions(limits, toucanplace.WithoutLimited())...)
}

// awaitSlot waits until a slot of an endpoint begins. It returns false if the endpoint takes no requests then.
func (s *Server) awaitSlot(ctx context.Context, e toucanplace.Endpoint, wait time.Duration) bool {
	if wait == 0 {
		return true
	}
	return toucanwait.Sleep(ctx, wait) && s.placer.TakesNew(e.ID)
}

// untried reports whether no attempt of the request has failed at the endpoint.
func (j *job) untried(e toucanplace.Endpoint) bool { return !j.tried[e.ID] }
