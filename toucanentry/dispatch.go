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
	// resumeWindow is how long a broken generation is resumed at its own sidecar before it is given up.
	resumeWindow = 12 * time.Second
	// restartAfter is how long a broken generation whose caller has no token yet is resumed before it is
	// started anew elsewhere.
	restartAfter = 1500 * time.Millisecond
	// resumeDelay is the pause between attempts to resume.
	resumeDelay = 100 * time.Millisecond
	// cancelWindow bounds the attempts to carry a cancel to a sidecar.
	cancelWindow = 5 * time.Second
)

// sink takes the tokens of one answer, in order and each once.
type sink interface {
	// begin is called with the generation id before its first token; a later call replaces an id whose
	// generation was given up before its first token.
	begin(id string) error
	tokens(first int, text []string) error
	// handedOver reports whether the caller has any part of the answer.
	handedOver() bool
}

// generationRequest is one caller's generation on its way through the entry.
type generationRequest struct {
	message   *toucanwire.Generate
	workspace string
	query     toucanroute.Query
	chat      bool
	deadline  time.Time
}

// progress is how far the caller's answer has come.
type progress struct {
	// next is the index of the token that the caller needs next.
	next int
	// mayHaveRun is true once any attempt may have reached an engine.
	mayHaveRun bool
	// attempts counts the endpoints tried.
	attempts int
	// endpoint is the last one tried.
	endpoint toucanroute.Endpoint
}

// result is how a generation ended at one endpoint; exactly one of its fields is set.
type result struct {
	end     *toucanwire.End
	refusal *toucanwire.Refusal
}

// dispatch runs a generation to its end, at several endpoints in turn where that is safe.
func (e *Entry) dispatch(ctx context.Context, r *generationRequest, out sink) (result, *progress, error) {
	prog := &progress{}
	plan := toucanretry.NewPlan(time.Now(), e.cfg.Budget, r.query.Service, r.deadline)
	for {
		ep, err := e.cfg.Router.Pick(time.Now(), r.query)
		if err != nil {
			return result{}, prog, e.noEndpoint(err, prog)
		}
		prog.attempts++
		prog.endpoint = ep
		res, err := e.runAt(ctx, ep, r, prog, out)
		if err != nil || res.end != nil {
			return res, prog, err
		}
		delay, again := plan.Next(time.Now(), retryFailure(res.refusal, out))
		if !again {
			return truthful(res, prog), prog, nil
		}
		r.query.Exclude = append(r.query.Exclude, ep.Name)
		if !toucanwait.Sleep(ctx, delay) {
			return result{}, prog, gone(ctx, prog)
		}
	}
}

func retryFailure(ref *toucanwire.Refusal, out sink) toucanretry.Failure {
	if everywhereTheSame(ref.Code) {
		return toucanretry.Failure{}
	}
	return toucanretry.Failure{
		NotRun:        ref.Ran == toucanwire.RanNo,
		AnswerStarted: out.handedOver(),
		Idempotent:    true,
		Draining:      ref.Code == toucanwire.CodeLeaving || ref.Code == toucanwire.CodeReclaimed,
	}
}

// everywhereTheSame reports whether every endpoint would refuse alike.
func everywhereTheSame(code string) bool {
	return code == toucanwire.CodeCancelled || code == toucanwire.CodeSuperseded || code == toucanwire.CodeRejected || code == toucanwire.CodeDeadline
}

// noEndpoint is final: an earlier attempt decides what may be said about the request having run.
func (e *Entry) noEndpoint(err error, prog *progress) error {
	f := e.asFailure(err)
	if prog.mayHaveRun {
		f.body.Ran = toucanwire.RanUnknown
	}
	return f
}

// truthful corrects the last refusal by what earlier attempts did.
func truthful(res result, prog *progress) result {
	switch {
	case prog.next > 0:
		res.refusal.Ran = toucanwire.RanPartly
	case prog.mayHaveRun && res.refusal.Ran == toucanwire.RanNo:
		res.refusal.Ran = toucanwire.RanUnknown
	}
	return res
}

// runAt runs a generation at one endpoint, through as many links as it takes.
func (e *Entry) runAt(ctx context.Context, ep toucanroute.Endpoint, r *generationRequest, prog *progress, out sink) (result, error) {
	id := toucanstream.ID{Address: ep.Address, Boot: e.boot, Serial: e.serial.Add(1), Chat: r.chat}
	text := e.cfg.Signer.Sign(id, r.workspace)
	if err := out.begin(text); err != nil {
		return result{}, err
	}
	// What an earlier endpoint gave is dropped: the answer comes from one generation.
	prog.next = 0
	sent := time.Now()
	e.cfg.Router.RecordSent(sent, ep.Name, r.query)
	run := &run{entry: e, id: text, workspace: r.workspace, address: ep.Address, reader: e.newReader(), prog: prog, out: out}
	run.began = func() { e.cfg.Router.RecordFirstToken(time.Now(), ep.Name, time.Since(sent)) }
	res, err := run.start(ctx, r.message)
	if ctx.Err() != nil && !stopped(ctx) {
		go run.cancel()
	}
	e.cfg.Router.RecordOutcome(time.Now(), ep.Name, r.query, run.outcome(ctx, res), 0)
	if err != nil && ctx.Err() != nil {
		err = gone(ctx, prog)
	}
	if res.refusal == nil || res.refusal.Ran != toucanwire.RanNo {
		prog.mayHaveRun = true
	}
	return res, err
}

// run is one generation at one sidecar.
type run struct {
	entry     *Entry
	id        string
	workspace string
	address   netip.AddrPort
	// reader names this run to the sidecar; a run that another has taken over from neither resumes nor cancels.
	reader string
	// takeover is true until the sidecar has answered a caller's own request to resume.
	takeover bool
	prog     *progress
	out      sink
	// sentTo is the boot id of the sidecar that the request was sent to first; zero before.
	sentTo uint64
	// answeredBy is the boot id of the sidecar at the other end of the last link.
	answeredBy uint64
	// began is called at the first tokens; nil when nobody asks.
	began  func()
	broken bool
}

func (r *run) outcome(ctx context.Context, res result) toucanroute.Outcome {
	switch {
	case ctx.Err() != nil:
		return toucanroute.Cancelled
	case res.end != nil:
		return toucanroute.Completed
	case res.refusal != nil && res.refusal.Ran == toucanwire.RanNo && !r.broken:
		return toucanroute.Refused
	}
	return toucanroute.Failed
}

// start sends the request and relays the answer. The error is the caller's: it went away or broke off.
func (r *run) start(ctx context.Context, m *toucanwire.Generate) (result, error) {
	m.GenerationId = r.id
	m.Reader = r.reader
	res, err := r.relay(ctx, &toucanwire.Open{Request: &toucanwire.Open_Generate{Generate: m}})
	if err == nil || !isLinkError(err) {
		return res, err
	}
	r.broken = true
	if r.sentTo == 0 {
		return notConnected(), nil
	}
	return r.resume(ctx)
}

// resume asks the same sidecar for the rest until the end or until the window has passed.
func (r *run) resume(ctx context.Context) (result, error) {
	lost := time.Now()
	for {
		before := r.prog.next
		res, err := r.relay(ctx, r.resumeMessage())
		if err == nil {
			return r.settle(res), nil
		}
		if !isLinkError(err) {
			return res, err
		}
		if r.prog.next > before {
			lost = time.Now()
		}
		if time.Since(lost) > r.window() {
			go r.cancel()
			return lostSidecar(), nil
		}
		if !toucanwait.Sleep(ctx, resumeDelay) {
			return result{}, ctx.Err()
		}
	}
}

func (r *run) resumeMessage() *toucanwire.Open {
	return &toucanwire.Open{Request: &toucanwire.Open_Resume{Resume: &toucanwire.Resume{
		GenerationId: r.id,
		Workspace:    r.workspace,
		NextIndex:    uint32(r.prog.next),
		Reader:       r.reader,
		Takeover:     r.takeover,
	}}}
}

func (r *run) window() time.Duration {
	if r.prog.next == 0 {
		return restartAfter
	}
	return resumeWindow
}

// settle decides what an answer to a resume proves. A sidecar that does not know the id will not start it any
// more; if it is the same process that the request was sent to, the request has not run.
func (r *run) settle(res result) result {
	ref := res.refusal
	if ref != nil && ref.Code == toucanwire.CodeUnknownGeneration && r.answeredBy == r.sentTo && r.prog.next == 0 {
		ref.Code = toucanwire.CodeEndpointFailed
		ref.Ran = toucanwire.RanNo
		ref.Retryable = true
	}
	return res
}

// linkError is a failure between entry and sidecar, after which the answer can be resumed.
type linkError struct{ error }

// Unwrap returns the cause.
func (l linkError) Unwrap() error { return l.error }

func isLinkError(err error) bool {
	var l linkError
	return errors.As(err, &l)
}

// relay sends one message and hands on what comes back until the end.
func (r *run) relay(ctx context.Context, open *toucanwire.Open) (result, error) {
	p, err := r.entry.links.Get(ctx, r.address.String())
	if err != nil {
		return result{}, r.cause(ctx, err)
	}
	r.answeredBy = p.Peer.BootId
	if r.sentTo == 0 {
		r.sentTo = r.answeredBy
	}
	stream, err := p.Open(open)
	if err != nil {
		return result{}, r.cause(ctx, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetReadDeadline(time.Now()) })
	defer stop()
	for {
		event := &toucanwire.Event{}
		if err := stream.Receive(event); err != nil {
			return result{}, r.cause(ctx, err)
		}
		res, done, err := r.take(event)
		if err != nil || done {
			return res, err
		}
	}
}

// cause tells a caller that went away from a broken link.
func (r *run) cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return linkError{err}
}

// take hands one event on. done is true with the last one.
func (r *run) take(event *toucanwire.Event) (res result, done bool, err error) {
	r.takeover = false
	r.entry.takeReport(event.Load)
	switch ev := event.Event.(type) {
	case *toucanwire.Event_Accepted:
		return result{}, false, nil
	case *toucanwire.Event_Tokens:
		return result{}, false, r.takeTokens(ev.Tokens)
	case *toucanwire.Event_End:
		return r.takeEnd(ev.End)
	case *toucanwire.Event_Refusal:
		return result{refusal: ev.Refusal}, true, nil
	}
	return result{}, false, linkError{errors.New("unexpected event")}
}

func (r *run) takeTokens(t *toucanwire.Tokens) error {
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
	if r.began != nil {
		r.began()
		r.began = nil
	}
	err := r.out.tokens(r.prog.next, text)
	r.prog.next += len(text)
	return err
}

// takeEnd accepts an end only when every token before it has been handed on.
func (r *run) takeEnd(end *toucanwire.End) (result, bool, error) {
	if int(end.CompletionTokens) != r.prog.next {
		return result{}, false, linkError{errors.Errorf("end after %d tokens came when %d was next", end.CompletionTokens, r.prog.next)}
	}
	return result{end: end}, true, nil
}

func notConnected() result {
	return result{refusal: &toucanwire.Refusal{
		Code:      toucanwire.CodeEndpointFailed,
		Message:   "no link to the endpoint",
		Ran:       toucanwire.RanNo,
		Retryable: true,
	}}
}

func lostSidecar() result {
	return result{refusal: &toucanwire.Refusal{
		Code:      toucanwire.CodeEndpointFailed,
		Message:   "the endpoint does not answer any more",
		Ran:       toucanwire.RanUnknown,
		Retryable: true,
	}}
}

// newReader returns a name for one run of a generation, unique over all entries.
func (e *Entry) newReader() string {
	return strconv.FormatUint(e.boot, 36) + "-" + strconv.FormatUint(e.serial.Add(1), 36)
}

// cancel cancels the generation while this run is its reader, over a new link if it must.
func (r *run) cancel() {
	r.entry.cancelAt(r.address, &toucanwire.Cancel{GenerationId: r.id, Workspace: r.workspace, Reader: r.reader})
}

// cancelAt carries a cancel to a sidecar.
func (e *Entry) cancelAt(address netip.AddrPort, m *toucanwire.Cancel) {
	ctx, cancel := context.WithTimeout(e.life, cancelWindow)
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

// refusalFailure is the answer to a caller for a refusal of the inner protocol.
func refusalFailure(ref *toucanwire.Refusal) *failure {
	f := fail(refusalStatus(ref.Code), ref.Code, ref.Message)
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
