package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucangeneration"
	"toucanport/toucanlatestop"
	"toucanport/toucanplace"
)

// minBackupOutput is the smallest estimated output, in tokens, for which a backup is kept. Shorter generations mostly
// end before their endpoint fails, and their backups would occupy the links between engines just as long.
const minBackupOutput = 256

var errNoBackup = errors.New("generation has no backup")

// handOverToBackup returns the handover for a generation whose stream broke without a move. The generation resumes at
// the endpoint that keeps its backup. The source endpoint is asked to stop the generation first, so that it never runs
// at two endpoints; toucanlatestop.ErrSourceRuns is returned if the source was reached and does not tell whether it runs it. If the
// source has copied its memory, the generation resumes from that instead of the backup.
func (s *Server) handOverToBackup(ctx context.Context, j *job, g *toucangeneration.Generation, brokenAt time.Time) (toucangeneration.Handover, error) {
	backup := j.backup
	if backup == nil {
		return toucangeneration.Handover{}, errNoBackup
	}
	j.backup = nil
	defer backup.Done(time.Now(), toucanplace.OutcomeNeutral)
	source := g.Endpoint()
	result, err := s.stopper.Stop(ctx, &j.lateStops, toucanlatestop.Broken{ID: j.ID, Source: source, At: brokenAt}, backup.Endpoint)
	if err != nil {
		return toucangeneration.Handover{}, err
	}
	h := toucangeneration.Handover{Source: backup.Endpoint.Address, Handle: j.ID, StoppedAt: brokenAt, Backup: true}
	if result.State == toucangeneration.SourceStopped {
		h.Source, h.Handle, h.Backup = source.Address, result.Handle, false
	}
	h.Reservation = s.placer.ReserveForced(backup.Endpoint, g.Demand())
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
