package toucanforward

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanrank"
	"toucanport/toucanrate"
	"toucanport/toucanrefusal"
)

// sendKind is the occasion on which a request is sent to an endpoint, as it appears in metrics.
type sendKind string

const (
	sendFirst  sendKind = "first"
	sendRetry  sendKind = "retry"
	sendResume sendKind = "resume"
)

func limitedSendCounters(scope tally.Scope) map[sendKind]tally.Counter {
	counters := make(map[sendKind]tally.Counter)
	for _, kind := range []sendKind{sendFirst, sendRetry, sendResume} {
		counters[kind] = scope.Tagged(map[string]string{"kind": string(kind)}).Counter("limited_sends")
	}
	return counters
}

// delayFor returns the time after which the caller of a request that could not be placed is to come back; zero if nothing is
// known of it.
func (s *Server) delayFor(j *job, err error) time.Duration { return s.delayBy(j, err, s.returns.After) }

// delayBy is delayFor with after in place of toucanrate.Returns.After.
func (s *Server) delayBy(j *job, err error, after func(now time.Time, service string, perSecond float64) time.Duration) time.Duration {
	perSecond, limited := s.placer.RateLimit(j.service.Name)
	now := time.Now()
	if errors.Is(err, toucanplace.ErrNoTime) {
		return toucanrank.ReturnAfter(s.placer.PlainEnd(now, j.service.Name, j.untried), 0, j.deadline.Sub(now))
	}
	if !limited || !errors.Is(err, toucanplace.ErrLimited) {
		return max(s.deferredFor(j), s.rooms.ReturnAfter(now, j.room(), toucanrefusal.RetryAfterFull))
	}
	return after(now, j.service.Name, s.limits.Share(now, perSecond))
}

// recordSend counts and logs a request that is sent to an endpoint that has named a limit.
func (s *Server) recordSend(j *job, e toucanplace.Endpoint, resumes bool) {
	perSecond, limited := s.limits.Limit(e.Key())
	if !limited {
		return
	}
	kind := sendFirst
	switch {
	case resumes:
		kind = sendResume
	case j.plan.Attempts() > 1:
		kind = sendRetry
	}
	s.metrics.limitedSends[kind].Inc(1)
	s.log.Info(toucanlog.MsgSentToLimited,
		toucanlog.RequestID, j.ID,
		toucanlog.Endpoint, e.ID,
		toucanlog.Service, e.Service,
		toucanlog.PerSecond, perSecond,
		toucanlog.Kind, string(kind),
	)
}

// recordLimit records what an answer to a request that was sent at sentAt says about the endpoint's limit. An answer that is not
// the endpoint's own can't end a limit.
func (s *Server) recordLimit(e toucanplace.Endpoint, sentAt time.Time, headers Answer) {
	n := headers.Limit
	if n.Kind == toucanrate.NoticeNone && (!headers.Genuine || !headers.Named) {
		return
	}
	if !s.limits.Observe(time.Now(), sentAt, e.Key(), n) {
		return
	}
	if n.Kind != toucanrate.NoticeNamed {
		s.log.Info(toucanlog.MsgEndpointUnlimited, toucanlog.Endpoint, e.ID, toucanlog.Service, e.Service)
		return
	}
	s.log.Info(toucanlog.MsgEndpointLimited,
		toucanlog.Endpoint, e.ID,
		toucanlog.Service, e.Service,
		toucanlog.PerSecond, n.PerSecond,
	)
}
