// Package toucancrash watches the requests that engines begin, and records the evidence against those under which an engine ends. What
// the evidence of all entries proves is toucanquarantine's to decide.
package toucancrash

import (
	"context"
	"log/slog"
	"net/http"
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

// Prober tells whether endpoints refuse connections. *toucanupstream.Pool implements it.
type Prober interface {
	Refuses(ctx context.Context, address string) bool
}

// Watch holds the requests that an endpoint has and has not answered far enough to rule them out. It is safe for concurrent use, each
// request by its own goroutine.
type Watch struct {
	table  *toucanquarantine.Table
	prober Prober
	log    *slog.Logger

	mu       sync.Mutex
	starting map[*Request]struct{}
}

// New returns a watch without requests that records its evidence in table.
func New(table *toucanquarantine.Table, prober Prober, log *slog.Logger) *Watch {
	return &Watch{table: table, prober: prober, log: log, starting: make(map[*Request]struct{})}
}

// Run ends the requests that fall under a new quarantine, before an engine begins to answer them, and logs it. It returns when ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for {
		changed := w.table.Changed()
		w.endQuarantined()
		select {
		case <-changed:
			w.logVerdicts()
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watch) endQuarantined() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.starting {
		if w.IsQuarantined(r) {
			r.spec.Ender.End(toucanquarantine.ErrQuarantined)
			delete(w.starting, r)
		}
	}
}

func (w *Watch) logVerdicts() {
	now := time.Now()
	for _, v := range w.table.Verdicts(now) {
		args := []any{
			toucanlog.Service, v.Service,
			toucanlog.PromptParts, toucanquarantine.FormatParts(v.Parts),
			toucanlog.Ends, v.Crashes,
			toucanlog.LeftMs, v.Until.Sub(now).Milliseconds(),
		}
		if v.OneWorkspace {
			args = append(args, toucanlog.Workspace, v.Workspace)
		}
		w.log.Warn(toucanlog.MsgPartQuarantined, args...)
	}
}

// IsQuarantined reports whether a request must not be sent to an engine.
func (w *Watch) IsQuarantined(r *Request) bool {
	return w.table.HasEvidence() && w.table.Quarantined(time.Now(), r.spec.Service, r.spec.Workspace, r.parts())
}

// MayStartAgain reports whether a request whose connection broke may be sent to an engine again.
func (w *Watch) MayStartAgain(r *Request) bool {
	return r.brokenStarts < maxBrokenStarts && !w.IsQuarantined(r)
}

// Begin makes a request that is about to be sent subject to Run. It returns false if the request must not be sent.
func (w *Watch) Begin(r *Request) bool {
	_ = r.parts() // From here on, Run reads them too.
	w.mu.Lock()
	w.starting[r] = struct{}{}
	w.mu.Unlock()
	return !w.IsQuarantined(r)
}

// End makes a request no more subject to Run.
func (w *Watch) End(r *Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.starting, r)
}

// RecordBreak records that the connection to an endpoint broke after a number of events of an answer that began at startedAt. If the
// request was starting and the endpoint has ended, that is evidence against the request and its parts.
func (w *Watch) RecordBreak(r *Request, e toucanplace.Endpoint, startedAt time.Time, events int) {
	if events >= provenEvents {
		return
	}
	w.End(r)
	now := time.Now()
	b := brokenStart{
		at: now, endpoint: e, requestID: r.spec.ID, route: r.spec.Route,
		run: toucanquarantine.Run{Workspace: r.spec.Workspace, Parts: r.parts(), Lasted: max(now.Sub(startedAt).Truncate(time.Millisecond), time.Millisecond)},
	}
	confirmed := make(chan bool, 1)
	go func() { confirmed <- w.confirm(b) }()
	if len(r.spec.SharedParts) > 0 || endsWithin(confirmed, promptConfirmation) {
		r.brokenStarts++
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

// confirm records a crash, and returns true, if the endpoint refuses connections. A connection can break for other
// reasons while the endpoint lives.
func (w *Watch) confirm(b brokenStart) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if !w.prober.Refuses(ctx, b.endpoint.Address) {
		return false
	}
	whole := len(b.run.Parts) - 1
	w.log.Warn(toucanlog.MsgEndpointEnded,
		toucanlog.RequestID, b.requestID,
		toucanlog.Route, b.route,
		toucanlog.Endpoint, b.endpoint.ID,
		toucanlog.Service, b.endpoint.Service,
		toucanlog.Workspace, b.run.Workspace,
		toucanlog.PromptParts, toucanquarantine.FormatParts(b.run.Parts[:whole]),
		toucanlog.Fingerprint, toucanquarantine.FormatParts(b.run.Parts[whole:]),
	)
	w.table.RecordCrash(b.at, b.endpoint.Key(), b.endpoint.Service, b.run)
	return true
}

// RecordEvents records that an engine has made a number of events for a request, which can rule out its parts.
func (w *Watch) RecordEvents(r *Request, events int) {
	if events >= provenEvents {
		w.RecordProven(r)
	}
}

// RecordProven records that an engine has answered a request far enough to rule out its parts.
func (w *Watch) RecordProven(r *Request) {
	if r.proven {
		return
	}
	r.proven = true
	w.End(r)
	if w.table.HasEvidence() {
		w.table.RecordSound(time.Now(), r.spec.Service, r.parts())
	}
}

// RecordWhole records that an engine has answered a request completely, with a success or with a failure of its own. The
// engine has then not ended under the request; a failure proves nothing about parts that other requests share.
func (w *Watch) RecordWhole(r *Request, status int) {
	if status < http.StatusMultipleChoices {
		w.RecordProven(r)
		return
	}
	w.End(r)
	if w.table.HasEvidence() {
		w.table.RecordSound(time.Now(), r.spec.Service, []toucanquarantine.Part{r.fingerprint()})
	}
}
