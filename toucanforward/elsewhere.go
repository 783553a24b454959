package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanwait"
)

// maxColdWait bounds how long a stopped generation waits for its turn at an endpoint that may be cold.
const maxColdWait = 1200 * time.Millisecond

// redirect returns the handover for a generation whose target was evacuated after the generation had been stopped. The memory is
// at the target and, after a move, at the source, which then goes on with it. The error wraps errNotRun if neither may, or if no
// endpoint has the memory. A handover whose target may go on is returned as it is.
func (s *Server) redirect(j *job, g *toucangeneration.Generation, h toucangeneration.Handover) (toucangeneration.Handover, error) {
	now := time.Now()
	target := h.Reservation.Endpoint
	if s.placer.MayResume(now, target) {
		return h, nil
	}
	h.Reservation.Done(now, toucanplace.OutcomeNeutral)
	source, listed := s.placer.ByAddress(h.Source)
	goesBack := h.Handle != "" && listed && source.ID != target.ID && s.placer.MayResume(now, source)
	s.log.Warn(toucanlog.MsgTargetEvacuated,
		toucanlog.RequestID, j.ID,
		toucanlog.Target, target.ID,
		toucanlog.FailureDomain, target.FailureDomain,
		toucanlog.From, h.Source,
		toucanlog.GoesBack, goesBack,
	)
	if !goesBack {
		return h, errors.Wrapf(errNotRun, "endpoint %s was evacuated", target.ID)
	}
	h.Reservation = s.placer.ReserveForced(source, g.Demand())
	return h, nil
}

// awaitColdTurn waits until the request is within this entry's share of its endpoint's limit while it is cold, for up to
// maxColdWait.
func awaitColdTurn(ctx context.Context, reservation *toucanplace.Reservation) {
	until := time.Now().Add(maxColdWait)
	for {
		now := time.Now()
		wait := min(reservation.ColdWait(now), until.Sub(now))
		if wait <= 0 || !toucanwait.Sleep(ctx, wait) {
			return
		}
	}
}
