package toucanforward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
)

const (
	// provenEvents is the number of events after which a stream can't be what ends its engine. A complete answer proves
	// the same with fewer.
	provenEvents = 8
	// maxBrokenStarts is how many engines may end under a starting request before it is not sent again.
	maxBrokenStarts = 2
	// confirmTimeout bounds the check whether an endpoint whose connection broke has ended.
	confirmTimeout = 300 * time.Millisecond
	// promptConfirmation is how long a request without shared parts waits for that check, before it is sent again or given up.
	promptConfirmation = 20 * time.Millisecond
)

// startingRequests holds the requests that an endpoint has and has not answered far enough to rule them out. It is safe
// for concurrent use.
type startingRequests struct {
	mu   sync.Mutex
	jobs map[*job]struct{}
}

func (s *startingRequests) add(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs == nil {
		s.jobs = make(map[*job]struct{})
	}
	s.jobs[j] = struct{}{}
}

func (s *startingRequests) remove(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, j)
}

// cancelIf cancels the requests for which f returns true.
func (s *startingRequests) cancelIf(f func(*job) bool, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.jobs {
		if f(j) {
			j.progress.End(cause)
			delete(s.jobs, j)
		}
	}
}

// RunQuarantine cancels the requests that fall under a new quarantine, before an engine begins to answer them, and logs
// it. It returns when ctx ends.
func (s *Server) RunQuarantine(ctx context.Context) {
	for {
		changed := s.quarantine.Changed()
		s.starting.cancelIf(s.isQuarantined, toucanquarantine.ErrQuarantined)
		select {
		case <-changed:
			s.logVerdicts()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) logVerdicts() {
	now := time.Now()
	for _, v := range s.quarantine.Verdicts(now) {
		args := []any{
			toucanlog.Service, v.Service,
			toucanlog.PromptParts, toucanquarantine.FormatParts(v.Parts),
			toucanlog.Ends, v.Crashes,
			toucanlog.LeftMs, v.Until.Sub(now).Milliseconds(),
		}
		if v.OneWorkspace {
			args = append(args, toucanlog.Workspace, v.Workspace)
		}
		s.log.Warn(toucanlog.MsgPartQuarantined, args...)
	}
}

// parts returns the parts by which a request can be quarantined: the shared parts of its prompt and, as the last, the request as a
// whole.
func (j *job) parts() []toucanquarantine.Part {
	if j.allParts == nil {
		j.allParts = append(slices.Clip(j.SharedParts), j.fingerprint())
	}
	return j.allParts
}

// isQuarantined reports whether a request must not be sent to an engine.
func (s *Server) isQuarantined(j *job) bool {
	return s.quarantine.HasEvidence() && s.quarantine.Quarantined(time.Now(), j.service.Name, j.workspace, j.parts())
}

// mayStartAgain reports whether a request whose connection broke may be sent to an engine again.
func (s *Server) mayStartAgain(j *job) bool {
	return j.brokenStarts < maxBrokenStarts && !s.isQuarantined(j)
}

// beginStart makes a request that is about to be sent subject to RunQuarantine. It returns false if the request must not be
// sent.
func (s *Server) beginStart(j *job) bool {
	j.startedAt = time.Now()
	_ = j.parts() // From here on, RunQuarantine reads them too.
	s.starting.add(j)
	return !s.isQuarantined(j)
}

// recordBreak records that the connection to an endpoint broke after a number of events. If the request was starting and
// the endpoint has ended, that is evidence against the request and its parts.
func (s *Server) recordBreak(j *job, e toucanplace.Endpoint, events int) {
	if events >= provenEvents {
		return
	}
	s.starting.remove(j)
	now := time.Now()
	b := brokenStart{
		at: now, endpoint: e, requestID: j.ID, route: j.route.Name,
		run: toucanquarantine.Run{Workspace: j.workspace, Parts: j.parts(), Lasted: max(now.Sub(j.startedAt).Truncate(time.Millisecond), time.Millisecond)},
	}
	confirmed := make(chan bool, 1)
	go func() { confirmed <- s.confirmCrash(b) }()
	if len(j.SharedParts) > 0 || endsWithin(confirmed, promptConfirmation) {
		j.brokenStarts++
	}
}

// endsWithin reports whether confirmed delivers true within a time.
func endsWithin(confirmed <-chan bool, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case ended := <-confirmed:
		return ended
	case <-timer.C:
		return false
	}
}

// brokenStart is a request whose connection to an endpoint broke while it was starting.
type brokenStart struct {
	at        time.Time
	endpoint  toucanplace.Endpoint
	requestID string
	route     string
	run       toucanquarantine.Run
}

// confirmCrash records a crash, and returns true, if the endpoint refuses connections. A connection can break for other
// reasons while the endpoint lives.
func (s *Server) confirmCrash(b brokenStart) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if !s.pool.Refuses(ctx, b.endpoint.Address) {
		return false
	}
	whole := len(b.run.Parts) - 1
	s.log.Warn(toucanlog.MsgEndpointEnded,
		toucanlog.RequestID, b.requestID,
		toucanlog.Route, b.route,
		toucanlog.Endpoint, b.endpoint.ID,
		toucanlog.Service, b.endpoint.Service,
		toucanlog.Workspace, b.run.Workspace,
		toucanlog.PromptParts, toucanquarantine.FormatParts(b.run.Parts[:whole]),
		toucanlog.Fingerprint, toucanquarantine.FormatParts(b.run.Parts[whole:]),
	)
	s.quarantine.RecordCrash(b.at, b.endpoint.Key(), b.endpoint.Service, b.run)
	return true
}

// recordProven records that an engine has answered a request far enough to rule out its parts.
func (s *Server) recordProven(j *job) {
	if j.proven {
		return
	}
	j.proven = true
	s.starting.remove(j)
	if s.quarantine.HasEvidence() {
		s.quarantine.RecordSound(time.Now(), j.service.Name, j.parts())
	}
}

// recordWholeAnswer records that an engine has answered a request completely, with a success or with a failure of its own. The
// engine has then not ended under the request; a failure proves nothing about parts that other requests share.
func (s *Server) recordWholeAnswer(j *job, status int) {
	if status < http.StatusMultipleChoices {
		s.recordProven(j)
		return
	}
	s.starting.remove(j)
	if s.quarantine.HasEvidence() {
		s.quarantine.RecordSound(time.Now(), j.service.Name, []toucanquarantine.Part{j.fingerprint()})
	}
}
