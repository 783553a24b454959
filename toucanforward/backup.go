package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucangeneration"
	"toucanport/toucanplace"
)

// stopTimeout bounds the call that stops a generation at an endpoint whose stream broke.
const stopTimeout = 250 * time.Millisecond

// minBackupOutput is the smallest estimated output, in tokens, for which a backup is kept. Shorter generations mostly
// end before their endpoint fails, and their backups would occupy the links between engines just as long.
const minBackupOutput = 256

var errNoBackup = errors.New("generation has no backup")

// handOverToBackup returns the handover for a generation whose stream broke without a move. The generation resumes at
// the endpoint that keeps its backup. The source endpoint is asked to stop the generation first, so that it never runs
// at two endpoints. If the source answers, the generation resumes from the source's memory instead of the backup.
func (s *Server) handOverToBackup(ctx context.Context, j *job, g *toucangeneration.Generation, brokenAt time.Time) (toucangeneration.Handover, error) {
	backup := j.backup
	if backup == nil {
		return toucangeneration.Handover{}, errNoBackup
	}
	j.backup = nil
	source := g.Endpoint()
	h := toucangeneration.Handover{
		Reservation: s.placer.ReserveForced(backup.Endpoint, g.Demand()),
		Source:      backup.Endpoint.Address,
		Handle:      j.ID,
		StoppedAt:   brokenAt,
		Backup:      true,
	}
	backup.Done(time.Now(), toucanplace.OutcomeNeutral)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	handle, err := s.mover.Copy(stopCtx, source.Address, j.ID, backup.Endpoint.Address, true)
	if err == nil || handle != "" {
		h.Source, h.Handle, h.Backup = source.Address, handle, false
	}
	if h.Backup {
		s.metrics.resumedFromBackup.Inc(1)
	}
	return h, nil
}

// riskPeriod is how long new streams get backups after a stream broke at an endpoint that was not draining.
const riskPeriod = 12 * time.Second

// streamsAtRisk reports whether streams are likely to break without notice: one did within riskPeriod, or no entry can
// reach the store and see which endpoints drain. Only then are backups worth the memory and the link capacity that they
// take from moves.
func (s *Server) streamsAtRisk() bool {
	now := time.Now()
	broke := time.Duration(s.lastBreak.Load())
	return broke > 0 && now.Sub(s.started)-broke < riskPeriod || s.moves.StoreUnreachable(now)
}
