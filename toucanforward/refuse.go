package toucanforward

import (
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanquarantine"
	"toucanport/toucanrefusal"
)

// refuse writes a refusal to the caller, and counts and logs it.
func (s *Server) refuse(j *job, r toucanrefusal.Refusal) {
	s.metrics.refused(r.Reason, j.workspace)
	if j.mixed {
		s.metrics.ranks.rejected(j.rank, r.Reason)
	}
	args := []any{
		toucanlog.RequestID, j.ID,
		toucanlog.Route, j.route.Name,
		toucanlog.Service, j.service.Name,
		toucanlog.Workspace, j.workspace,
		toucanlog.Status, r.Status,
		toucanlog.Reason, string(r.Reason),
		toucanlog.SettingsVersion, j.version,
		toucanlog.HeldMs, time.Since(j.arrived).Milliseconds(),
		toucanlog.MayHaveRun, j.maybeRun > 0,
	}
	if r.Endpoint != "" {
		args = append(args, toucanlog.Endpoint, r.Endpoint, toucanlog.Attempts, j.plan.Attempts())
	}
	if len(j.SharedParts) > 0 && j.maybeRun > 0 {
		args = append(args, toucanlog.PromptParts, toucanquarantine.FormatParts(j.SharedParts))
	}
	if r.Err != nil {
		args = append(args, toucanlog.Cause, r.Err.Error())
	}
	s.log.Warn(toucanlog.MsgRequestRefused, append(args, s.stopArgs(j)...)...)
	r.Write(j.w)
}
