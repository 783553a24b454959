package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanplace"
	"toucanport/toucanrun"
)

// stopTimeout bounds the call that makes sure that an endpoint whose stream broke does not go on with the run.
const stopTimeout = 250 * time.Millisecond

// backupOutput is the shortest forecast answer, in tokens, that is backed up. A shorter one mostly ends before its
// endpoint breaks, and its copy would take the links as long as a long one's.
const backupOutput = 256

var errNoBackup = errors.New("generation has no backup")

// revive finds the place where a generation goes on whose stream broke without a move: at the endpoint with its backup.
// An endpoint that still answers is told to stop the run first, so that it never runs at two places.
func (s *Server) revive(ctx context.Context, j *job, r *toucanrun.Run, cutAt time.Time) (toucanrun.Handover, error) {
	backup := j.backup
	if backup == nil {
		return toucanrun.Handover{}, errNoBackup
	}
	j.backup = nil
	source := r.Endpoint()
	h := toucanrun.Handover{
		Claim:     s.book.Reclaim(backup.Endpoint, r.Demand()),
		Source:    backup.Endpoint.Address,
		Handle:    j.ID,
		StoppedAt: cutAt,
		Backup:    true,
	}
	backup.Done(time.Now(), toucanplace.OutcomeNeutral)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	handle, err := s.mover.Copy(stopCtx, source.Address, j.ID, backup.Endpoint.Address, true)
	if err == nil || handle != "" {
		h.Source, h.Handle, h.Backup = source.Address, handle, false
	}
	if h.Backup {
		s.metrics.revived.Inc(1)
	}
	return h, nil
}

// uneasyFor is how long streams are backed up after one broke without notice.
const uneasyFor = 12 * time.Second

// uneasy reports whether streams break without notice these days, so that copies are worth their memory and the links
// that they take from moves.
func (s *Server) uneasy() bool {
	now := time.Now()
	broke := time.Duration(s.brokeAfter.Load())
	return broke > 0 && now.Sub(s.started)-broke < uneasyFor || s.board.Blind(now)
}
