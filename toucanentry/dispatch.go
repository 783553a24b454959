package toucanentry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlink"
	"toucanport/toucanretry"
	"toucanport/toucanroute"
	"toucanport/toucanstream"
	"toucanport/toucanwait"
	"toucanport/toucanwire"
)

const (
	// resumeWindow is how long the entry tries to resume a broken generation at its sidecar without receiving a new
	// token.
	resumeWindow = 12 * time.Second
	// restartAfter replaces resumeWindow while no token was received. It is shorter because the generation can still
	// be restarted at another endpoint.
	restartAfter = 1500 * time.Millisecond
	// resumeDelay is the pause between attempts to resume or to cancel.
	resumeDelay = 100 * time.Millisecond
	// cancelWindow limits how long the entry tries to deliver a cancellation to a sidecar.
	cancelWindow = 5 * time.Second
)

// sink receives the tokens of one answer in order, each token exactly once.
type sink interface {
	// begin is called with the generation id before the first token. A later call means that the earlier generation
	// was abandoned and the answer restarts with the new id.
	begin(id string) error
	tokens(first int, text []string) error
	// answerStarted reports whether any part of the answer has been sent to the caller.
	answerStarted() bool
}

// generationRequest is a caller's request for a generation, with the data for routing it.
type generationRequest struct {
	message   *toucanwire.Generate
	workspace string
	query     toucanroute.Query
	chat      bool
	deadline  time.Time
}

// progress is the state of a generation over all attempts.
type progress struct {
	// next is the index of the next token to send to the caller.
	next int
	// mayHaveRun is true if any attempt may have reached an engine.
	mayHaveRun bool
	// attempts counts the endpoints tried.
	attempts int
	// endpoint is the endpoint tried last.
	endpoint toucanroute.Endpoint
}

// result is the outcome of a request at one endpoint; exactly one of end and refusal is set.
type result struct {
	end     *toucanwire.End
	refusal *toucanwire.Refusal
	// unsent is true if refusal means that nothing was sent to the endpoint.
	unsent bool
}

// dispatch runs a generation until it ends. It retries at other endpoints while nothing was sent to the caller and
// the retry budget allows it.
func (e *Entry) dispatch(ctx context.Context, r *generationRequest, out sink) (result, *progress, error) {
	prog := &progress{}
	plan := toucanretry.NewPlan(time.Now(), e.cfg.Budget, r.query.Service, r.deadline)
	for {
		if endedByStop(ctx) {
			return result{}, prog, stoppingFailure(prog)
		}
		ep, err := e.pick(ctx, r.query, r.deadline)
		if err != nil {
			return result{}, prog, e.noEndpoint(err, prog)
		}
		prog.attempts++
		prog.endpoint = ep
		res, err := e.runAtEndpoint(ctx, ep, r, prog, out)
		if err != nil || res.end != nil {
			return res, prog, err
		}
		delay, again := plan.Next(time.Now(), retryFailure(res, out))
		if !again {
			return correctRan(res, prog), prog, nil
		}
		r.query.Exclude = append(r.query.Exclude, ep.Name)
		if !toucanwait.Sleep(ctx, delay) {
			return result{}, prog, endedError(ctx, prog)
		}
	}
}

func retryFailure(res result, out sink) toucanretry.Failure {
	ref := res.refusal
	if failsEverywhere(ref.Code) {
		return toucanretry.Failure{}
	}
	return toucanretry.Failure{
		NotRun:        ref.Ran == toucanwire.RanNo,
		AnswerStarted: out.answerStarted(),
		Idempotent:    true,
		Draining:      ref.Code == toucanwire.CodeLeaving || ref.Code == toucanwire.CodeReclaimed,
		Unsent:        res.unsent,
	}
}

// failsEverywhere reports whether every endpoint would refuse with this code.
func failsEverywhere(code string) bool {
	return code == toucanwire.CodeCancelled || code == toucanwire.CodeSuperseded || code == toucanwire.CodeRejected || code == toucanwire.CodeDeadline
}

// noEndpoint returns the failure for an error of the router. `ran` is "unknown" if an earlier attempt may have run.
func (e *Entry) noEndpoint(err error, prog *progress) error {
	f := e.asFailure(err)
	if prog.mayHaveRun {
		f.body.Ran = toucanwire.RanUnknown
	}
	return f
}

// correctRan corrects `ran` of the last refusal if an earlier attempt delivered tokens or may have run.
func correctRan(res result, prog *progress) result {
	switch {
	case prog.next > 0:
		res.refusal.Ran = toucanwire.RanPartly
	case prog.mayHaveRun && res.refusal.Ran == toucanwire.RanNo:
		res.refusal.Ran = toucanwire.RanUnknown
	}
	return res
}

// runAtEndpoint runs a generation at one endpoint. It reconnects and resumes when a link breaks.
func (e *Entry) runAtEndpoint(ctx context.Context, ep toucanroute.Endpoint, r *generationRequest, prog *progress, out sink) (result, error) {
	id := toucanstream.ID{Address: ep.Address, Boot: e.boot, Serial: e.serial.Add(1), Chat: r.chat}
	text := e.cfg.Signer.Sign(id, r.workspace)
	if err := out.begin(text); err != nil {
		return result{}, err
	}
	// Tokens of earlier endpoints are discarded: an answer consists of one generation.
	prog.next = 0
	sent := time.Now()
	e.cfg.Router.RecordSent(sent, ep.Name, r.query)
	a := &attempt{entry: e, id: text, workspace: r.workspace, address: ep.Address, readerID: e.newReaderID(), prog: prog, out: out}
	a.onFirstToken = func() { e.cfg.Router.RecordFirstToken(time.Now(), ep.Name, time.Since(sent)) }
	res, err := a.start(ctx, r.message)
	if ctx.Err() != nil && !endedByStop(ctx) {
		go a.cancel()
	}
	e.cfg.Router.RecordOutcome(time.Now(), ep.Name, r.query, a.outcome(ctx, res), 0)
	if res.refusal == nil || res.refusal.Ran != toucanwire.RanNo {
		prog.mayHaveRun = true
	}
	if err != nil && ctx.Err() != nil {
		err = endedError(ctx, prog)
	}
	return res, err
}

// attempt is the run of a generation at one sidecar.
type attempt struct {
	entry     *Entry
	id        string
	workspace string
	address   netip.AddrPort
	// readerID identifies this attempt to the sidecar. An attempt that another reader has replaced can neither resume
	// nor cancel the generation.
	readerID string
	// takeover makes this attempt the only reader of the generation. It is set when the caller resumes a generation,
	// until the first event from the sidecar.
	takeover bool
	prog     *progress
	out      sink
	// sentToBoot is the boot id of the sidecar that the request was first sent to; zero before that.
	sentToBoot uint64
	// linkedBoot is the boot id of the sidecar that the last link leads to.
	linkedBoot uint64
	// onFirstToken is called once, before the first tokens are passed on; it may be nil.
	onFirstToken func()
	linkBroken   bool
}

func (r *attempt) outcome(ctx context.Context, res result) toucanroute.Outcome {
	switch {
	case ctx.Err() != nil:
		return toucanroute.Cancelled
	case res.end != nil:
		return toucanroute.Completed
	case res.refusal != nil && res.refusal.Ran == toucanwire.RanNo && !r.linkBroken:
		return toucanroute.Refused
	}
	return toucanroute.Failed
}

// start sends the request and relays the answer. It returns an error only if the caller disconnected or ctx ended;
// failures of the sidecar become refusals.
func (r *attempt) start(ctx context.Context, m *toucanwire.Generate) (result, error) {
	m.GenerationId = r.id
	m.Reader = r.readerID
	res, err := r.relay(ctx, &toucanwire.Open{Request: &toucanwire.Open_Generate{Generate: m}})
	if err == nil || !isLinkError(err) {
		return res, err
	}
	r.linkBroken = true
	if r.sentToBoot == 0 {
		return notConnectedResult(), nil
	}
	return r.resume(ctx)
}

// resume requests the remaining tokens from the same sidecar until the generation ends, or until no token has arrived
// for the duration of window.
func (r *attempt) resume(ctx context.Context) (result, error) {
	lost := time.Now()
	for attempts := 1; ; attempts++ {
		before := r.prog.next
		res, err := r.relay(ctx, r.resumeMessage())
		if err == nil {
			return r.interpretResume(res), nil
		}
		if !isLinkError(err) {
			return res, err
		}
		if r.prog.next > before {
			lost = time.Now()
		}
		if time.Since(lost) > r.window() {
			go r.cancel()
			r.entry.log.Warn("generation not resumed", "generation", r.id, "address", r.address.String(), "attempts", attempts, "error", err.Error())
			return sidecarLostResult(), nil
		}
		if !toucanwait.Sleep(ctx, resumeDelay) {
			return result{}, ctx.Err()
		}
	}
}

func (r *attempt) resumeMessage() *toucanwire.Open {
	return &toucanwire.Open{Request: &toucanwire.Open_Resume{Resume: &toucanwire.Resume{
		GenerationId: r.id,
		Workspace:    r.workspace,
		NextIndex:    uint32(r.prog.next),
		Reader:       r.readerID,
		Takeover:     r.takeover,
	}}}
}

func (r *attempt) window() time.Duration {
	if r.prog.next == 0 {
		return restartAfter
	}
	return resumeWindow
}

// interpretResume interprets the answer to a resume request. If the sidecar does not know the generation, is still the
// process that the request was sent to, and no token has arrived, then the request has not run and never will: the
// refusal becomes retryable, with `ran` "no".
func (r *attempt) interpretResume(res result) result {
	ref := res.refusal
	if ref != nil && ref.Code == toucanwire.CodeUnknownGeneration && r.linkedBoot == r.sentToBoot && r.prog.next == 0 {
		ref.Code = toucanwire.CodeEndpointFailed
		ref.Ran = toucanwire.RanNo
		ref.Retryable = true
	}
	return res
}

// linkError is a failure of the link to a sidecar, after which the generation can be resumed.
type linkError struct{ error }

// Unwrap returns the cause.
func (l linkError) Unwrap() error { return l.error }

func isLinkError(err error) bool {
	var l linkError
	return errors.As(err, &l)
}

// relay opens a stream with one request and processes its events up to the last one.
func (r *attempt) relay(ctx context.Context, open *toucanwire.Open) (result, error) {
	p, err := r.entry.links.Get(ctx, r.address.String())
	if err != nil {
		return result{}, r.classifyError(ctx, err)
	}
	r.linkedBoot = p.Peer.BootId
	if r.sentToBoot == 0 {
		r.sentToBoot = r.linkedBoot
	}
	stream, err := p.Open(open)
	if err != nil {
		return result{}, r.classifyError(ctx, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetReadDeadline(time.Now()) })
	defer stop()
	for {
		event := &toucanwire.Event{}
		if err := stream.Receive(event); err != nil {
			return result{}, r.classifyError(ctx, err)
		}
		res, done, err := r.handleEvent(event)
		if err != nil || done {
			return res, err
		}
	}
}

// classifyError returns the error of ctx if ctx has ended, and a linkError otherwise.
func (r *attempt) classifyError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return linkError{err}
}

// handleEvent processes one event. done is true for the last event.
func (r *attempt) handleEvent(event *toucanwire.Event) (res result, done bool, err error) {
	r.takeover = false
	r.entry.applyReport(event.Load)
	switch ev := event.Event.(type) {
	case *toucanwire.Event_Accepted:
		return result{}, false, nil
	case *toucanwire.Event_Tokens:
		return result{}, false, r.handleTokens(ev.Tokens)
	case *toucanwire.Event_End:
		return r.handleEnd(ev.End)
	case *toucanwire.Event_Refusal:
		return result{refusal: ev.Refusal}, true, nil
	}
	return result{}, false, linkError{errors.New("unexpected event")}
}

func (r *attempt) handleTokens(t *toucanwire.Tokens) error {
	first, text := int(t.FirstIndex), t.Text
	if first > r.prog.next {
		return linkError{errors.Errorf("tokens from %d came when %d was next", first, r.prog.next)}
	}
	if skip := r.prog.next - first; skip > 0 {
		text = text[min(skip, len(text)):]
	}
	if len(text) == 0 {
		return nil
	}
	if r.onFirstToken != nil {
		r.onFirstToken()
		r.onFirstToken = nil
	}
	err := r.out.tokens(r.prog.next, text)
	r.prog.next += len(text)
	return err
}

// handleEnd accepts the end only if all earlier tokens have been sent to the caller; otherwise it returns a linkError.
func (r *attempt) handleEnd(end *toucanwire.End) (result, bool, error) {
	if int(end.CompletionTokens) != r.prog.next {
		return result{}, false, linkError{errors.Errorf("end after %d tokens came when %d was next", end.CompletionTokens, r.prog.next)}
	}
	return result{end: end}, true, nil
}

func notConnectedResult() result {
	return result{unsent: true, refusal: &toucanwire.Refusal{
		Code:      toucanwire.CodeEndpointFailed,
		Message:   "no link to the endpoint",
		Ran:       toucanwire.RanNo,
		Retryable: true,
	}}
}

func sidecarLostResult() result {
	return result{refusal: &toucanwire.Refusal{
		Code:      toucanwire.CodeEndpointFailed,
		Message:   "the endpoint does not answer any more",
		Ran:       toucanwire.RanUnknown,
		Retryable: true,
	}}
}

// newReaderID returns a reader id that is unique across all entries.
func (e *Entry) newReaderID() string {
	return strconv.FormatUint(e.boot, 36) + "-" + strconv.FormatUint(e.serial.Add(1), 36)
}

// cancel cancels the generation, unless another reader has replaced this attempt.
func (r *attempt) cancel() {
	r.entry.cancelAt(r.address, &toucanwire.Cancel{GenerationId: r.id, Workspace: r.workspace, Reader: r.readerID})
}

// cancelAt delivers a cancellation to a sidecar. It retries until cancelWindow has passed.
func (e *Entry) cancelAt(address netip.AddrPort, m *toucanwire.Cancel) {
	ctx, cancel := context.WithTimeout(e.lifetime, cancelWindow)
	defer cancel()
	for {
		if e.tryCancel(ctx, address, m) == nil {
			return
		}
		if !toucanwait.Sleep(ctx, resumeDelay) {
			e.log.Warn("cancel did not reach the sidecar", "address", address.String(), "generation", m.GenerationId)
			return
		}
	}
}

func (e *Entry) tryCancel(ctx context.Context, address netip.AddrPort, m *toucanwire.Cancel) error {
	p, err := e.links.Get(ctx, address.String())
	if err != nil {
		return err
	}
	stream, err := p.Open(&toucanwire.Open{Request: &toucanwire.Open_Cancel{Cancel: m}})
	if err != nil {
		return err
	}
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(toucanlink.HeartbeatTimeout))
	return stream.Receive(&toucanwire.Event{})
}

// failureFromRefusal converts a refusal of a sidecar to the failure for the caller.
func failureFromRefusal(ref *toucanwire.Refusal) *failure {
	f := newFailure(refusalStatus(ref.Code), ref.Code, ref.Message)
	f.body.Ran = ref.Ran
	f.body.Retryable = ref.Retryable
	f.orderAbsent = ref.OrderAbsent || ref.Code == toucanwire.CodeKeyReused
	f.retryAfter = time.Duration(ref.RetryAfterMillis) * time.Millisecond
	return f
}

func refusalStatus(code string) int {
	switch code {
	case toucanwire.CodeOverloaded:
		return http.StatusTooManyRequests
	case toucanwire.CodeUnknownGeneration:
		return http.StatusNotFound
	case toucanwire.CodeGenerationClosed, toucanwire.CodeTokensDropped:
		return http.StatusGone
	case toucanwire.CodeRejected:
		return http.StatusBadRequest
	case toucanwire.CodeSuperseded:
		return http.StatusConflict
	case toucanwire.CodeOrderInProgress, toucanwire.CodeOrderCarriedOut, toucanwire.CodeOrderUnknown:
		return http.StatusConflict
	case toucanwire.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case toucanwire.CodeDeadline:
		return http.StatusGatewayTimeout
	case toucanwire.CodeEngineLost, toucanwire.CodeEndpointFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
