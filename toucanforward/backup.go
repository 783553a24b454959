package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
)

const (
	// stopAttempt bounds one call that stops a generation at an endpoint whose stream broke, stopRetryDelay is the time to
	// the next call.
	stopAttempt    = 200 * time.Millisecond
	stopRetryDelay = 25 * time.Millisecond
	// stopPatience is how long an endpoint that was reached is asked to stop a generation. Callers give a silent stream up
	// soon after.
	stopPatience = 3 * time.Second
)

// minBackupOutput is the smallest estimated output, in tokens, for which a backup is kept. Shorter generations mostly
// end before their endpoint fails, and their backups would occupy the links between engines just as long.
const minBackupOutput = 256

var (
	errNoBackup = errors.New("generation has no backup")
	// errSourceRuns means that the endpoint whose stream broke was reached and may go on with the generation.
	errSourceRuns = errors.New("endpoint may still run the generation")
)

// handOverToBackup returns the handover for a generation whose stream broke without a move. The generation resumes at
// the endpoint that keeps its backup. The source endpoint is asked to stop the generation first, so that it never runs
// at two endpoints; errSourceRuns is returned if the source was reached and does not tell whether it runs it. If the
// source has copied its memory, the generation resumes from that instead of the backup.
func (s *Server) handOverToBackup(ctx context.Context, j *job, g *toucangeneration.Generation, brokenAt time.Time) (toucangeneration.Handover, error) {
	backup := j.backup
	if backup == nil {
		return toucangeneration.Handover{}, errNoBackup
	}
	j.backup = nil
	defer backup.Done(time.Now(), toucanplace.OutcomeNeutral)
	source := g.Endpoint()
	stop := s.stopAt(source, j.ID, backup.Endpoint)
	result := stop.Run(ctx)
	s.recordStop(j, source, result, brokenAt)
	h := toucangeneration.Handover{Source: backup.Endpoint.Address, Handle: j.ID, StoppedAt: brokenAt, Backup: true}
	switch result.State {
	case toucangeneration.SourceStopped:
		h.Source, h.Handle, h.Backup = source.Address, result.Handle, false
	case toucangeneration.SourceKeepsMemory, toucangeneration.SourceIdle:
	case toucangeneration.SourceUnreached:
		j.lateStops.Begin(ctx, stop, s.metrics.stopped, s.log)
	default:
		return toucangeneration.Handover{}, errors.Wrap(errSourceRuns, result.Err.Error())
	}
	h.Reservation = s.placer.ReserveForced(backup.Endpoint, g.Demand())
	if h.Backup {
		s.metrics.resumedFromBackup.Inc(1)
	}
	return h, nil
}

// stopAt returns the calls that stop a generation at an endpoint whose stream broke.
func (s *Server) stopAt(source toucanplace.Endpoint, id string, backup toucanplace.Endpoint) toucangeneration.Stop {
	return toucangeneration.Stop{
		Mover:          s.mover,
		Source:         source.Address,
		ID:             id,
		Target:         backup.Address,
		AttemptTimeout: stopAttempt,
		RetryDelay:     stopRetryDelay,
		Patience:       stopPatience,
	}
}

// recordStop counts and logs what is known of a generation at the endpoint whose stream broke.
func (s *Server) recordStop(j *job, source toucanplace.Endpoint, r toucangeneration.StopResult, brokenAt time.Time) {
	s.metrics.stopped(r.State)
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Endpoint, source.ID,
		toucanlog.State, string(r.State),
		toucanlog.Attempts, r.Attempts,
		toucanlog.TookMs, time.Since(brokenAt).Milliseconds(),
	}
	if r.Err != nil {
		args = append(args, toucanlog.Cause, r.Err.Error())
	}
	s.log.Info(toucanlog.MsgSourceAsked, args...)
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
