package toucansidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanadmit"
	"toucanport/toucanengine"
	"toucanport/toucanstream"
	"toucanport/toucanwait"
	"toucanport/toucanwire"
)

// Timeouts towards the engine.
const (
	// engineSilence is how long a stream may bring nothing before the sidecar opens it anew.
	engineSilence = 2 * time.Second
	// engineOpenTimeout bounds the wait for the engine to answer a request to open a stream.
	engineOpenTimeout = 2 * time.Second
	// engineLostAfter is how long the engine may fail to answer before its generations are given up.
	engineLostAfter = 6 * time.Second
	// engineRetryDelay is the pause between attempts to open a stream.
	engineRetryDelay = 200 * time.Millisecond
	// cancelTimeout bounds one attempt to cancel at the engine.
	cancelTimeout = 2 * time.Second
	// reapInterval is the time between looks for abandoned generations.
	reapInterval = time.Second
	// readChunk is the most tokens in one message to an entry.
	readChunk = 64
)

// generation is one generation that this sidecar holds.
type generation struct {
	id        string
	workspace string
	request   toucanengine.Request
	buffer    *toucanstream.Buffer
	// resumed is true when a predecessor of this process started the generation.
	resumed bool
	// deadline is when the caller gives up; zero means never.
	deadline time.Time
	// settled is set by whichever comes first: the start at the engine, or an end before it.
	settled atomic.Bool
	// ctx ends when the generation is cancelled.
	ctx     context.Context
	cancel  context.CancelFunc
	release func()

	mu sync.Mutex
	// owner is the reader whose requests to resume or cancel count.
	owner string
	// reader closes the stream of the reader attached now; nil when nobody is attached.
	reader func()
	// epoch grows with each attachment, so that a late detachment changes nothing.
	epoch int
	// idleSince is when the last reader left or, before that, when the generation came.
	idleSince time.Time
}

func (s *Sidecar) newGeneration(id, workspace string, first int) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{
		id:        id,
		workspace: workspace,
		buffer:    toucanstream.NewBuffer(s.pool, first, s.cfg.GenerationBytes),
		ctx:       ctx,
		cancel:    cancel,
		release:   sync.OnceFunc(s.working.done),
		idleSince: time.Now(),
	}
	s.working.add()
	return g
}

// claim makes reader the owner if it takes over, and reports whether it is the owner.
func (g *generation) claim(reader string, takeover bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if takeover {
		g.owner = reader
	}
	return g.owner == reader
}

// attach makes stream the only reader and returns a function that detaches it.
func (g *generation) attach(stream *toucanwire.Stream) (detach func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reader != nil {
		g.reader()
	}
	g.epoch++
	epoch := g.epoch
	g.reader = func() { stream.Close() }
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.epoch != epoch {
			return
		}
		g.reader = nil
		g.idleSince = time.Now()
	}
}

// idle returns how long nobody has been attached.
func (g *generation) idle(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reader != nil {
		return 0
	}
	return now.Sub(g.idleSince)
}

func (s *Sidecar) serveGenerate(ctx context.Context, stream *toucanwire.Stream, r *toucanwire.Generate) {
	if _, err := s.cfg.Signer.Verify(r.GenerationId, r.Workspace); err != nil {
		s.refuse(stream, refusal(codeUnknownGeneration, ranNo, "the generation id is not valid"))
		return
	}
	g, ref := s.admit(r)
	if ref != nil {
		s.refuse(stream, ref)
		return
	}
	accepted := &toucanwire.Accepted{GenerationId: r.GenerationId}
	if err := s.send(stream, &toucanwire.Event{Event: &toucanwire.Event_Accepted{Accepted: accepted}, Load: s.answerReport()}); err != nil {
		return
	}
	s.deliver(ctx, stream, g, 0)
}

// admit takes a request into the queue, finds the generation if the id is already running, or refuses.
func (s *Sidecar) admit(r *toucanwire.Generate) (*generation, *toucanwire.Refusal) {
	s.mu.Lock()
	if g, ok := s.generations[r.GenerationId]; ok {
		s.mu.Unlock()
		return g, nil
	}
	if s.closedIDs.Contains(r.GenerationId) {
		s.mu.Unlock()
		return nil, refusal(codeGenerationClosed, ranUnknown, "the generation has ended or was cancelled")
	}
	if s.turnsAway() {
		s.mu.Unlock()
		return nil, refusal(codeLeaving, ranNo, "the endpoint is leaving")
	}
	g := s.newGeneration(r.GenerationId, r.Workspace, 0)
	g.owner = r.Reader
	g.request = engineRequest(r)
	if r.DeadlineUnixMillis != 0 {
		g.deadline = time.UnixMilli(r.DeadlineUnixMillis)
	}
	s.generations[r.GenerationId] = g
	s.mu.Unlock()

	if err := s.schedule.Offer(admitRequest(r)); err != nil {
		s.forget(g)
		return nil, overloadRefusal(err)
	}
	return g, nil
}

func engineRequest(r *toucanwire.Generate) toucanengine.Request {
	return toucanengine.Request{
		ID:           r.GenerationId,
		Prompt:       r.Prompt,
		Chat:         r.Chat,
		PromptTokens: int(r.PromptTokens),
		MaxTokens:    int(r.MaxTokens),
		Parameters:   r.Parameters,
		PrefixHash:   r.PrefixHash,
	}
}

func admitRequest(r *toucanwire.Generate) toucanadmit.Request {
	req := toucanadmit.Request{
		ID:           r.GenerationId,
		Workspace:    r.Workspace,
		Class:        toucanadmit.Class(r.Class),
		Weight:       r.Weight,
		PromptTokens: int(r.PromptTokens),
		MaxTokens:    int(r.MaxTokens),
		Arrived:      time.Now(),
	}
	if r.DeadlineUnixMillis != 0 {
		req.Deadline = time.UnixMilli(r.DeadlineUnixMillis)
	}
	return req
}

// startGeneration is called by the schedule when the engine may have the request.
func (s *Sidecar) startGeneration(id string, priority int) {
	g := s.find(id)
	if g == nil {
		s.schedule.Done(id, 0, false)
		return
	}
	if !g.settled.CompareAndSwap(false, true) {
		return
	}
	g.request.Priority = priority
	go s.pump(g)
}

// expireGeneration is called by the schedule when a queued request can no longer be served in time.
func (s *Sidecar) expireGeneration(id string, retryAfter time.Duration) {
	g := s.find(id)
	if g == nil || !g.settled.CompareAndSwap(false, true) {
		return
	}
	g.buffer.Finish(expiryEnd(g.deadline, time.Now(), retryAfter))
}

// expiryEnd is the end of a request that was given up on before it ran.
func expiryEnd(deadline, now time.Time, retryAfter time.Duration) toucanstream.End {
	if !deadline.IsZero() && now.Add(retryAfter).After(deadline) {
		return toucanstream.End{Failure: codeDeadline, Message: "the request could not start before its deadline"}
	}
	return toucanstream.End{
		Failure:    codeOverloaded,
		Message:    "the endpoint is overloaded",
		RetryAfter: retryAfter,
	}
}

func (s *Sidecar) find(id string) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generations[id]
}

// forget removes a generation whose id must not start again.
func (s *Sidecar) forget(g *generation) {
	s.mu.Lock()
	if s.generations[g.id] == g {
		delete(s.generations, g.id)
	}
	s.closedIDs.Add(g.id, struct{}{})
	s.mu.Unlock()
	g.cancel()
	g.buffer.Discard()
	g.release()
}

// pump moves tokens from the engine into the buffer until the generation ends.
func (s *Sidecar) pump(g *generation) {
	end := s.pumpToEnd(g)
	s.schedule.Done(g.id, g.buffer.Next(), end.Complete())
	g.buffer.Finish(end)
	if end.Failure != "" {
		s.cancelAtEngine(g.id)
	}
}

func (s *Sidecar) pumpToEnd(g *generation) toucanstream.End {
	answered := time.Now()
	for {
		end, opened, err := s.pumpStream(g)
		switch {
		case end != nil:
			return *end
		case g.ctx.Err() != nil:
			return toucanstream.End{Failure: codeCancelled, Message: "the generation was cancelled"}
		case errors.Is(err, toucanengine.ErrRejected):
			return toucanstream.End{Failure: codeRejected, Message: "the engine refused the request: " + err.Error()}
		case errors.Is(err, toucanengine.ErrUnknownGeneration), errors.Is(err, toucanstream.ErrGap):
			return toucanstream.End{Failure: codeEngineLost, Message: "the engine lost the generation"}
		}
		if opened {
			answered = time.Now()
		}
		if time.Since(answered) > engineLostAfter {
			return toucanstream.End{Failure: codeEngineLost, Message: "the engine does not answer"}
		}
		s.log.Warn("engine stream opened anew", "generation", g.id, "error", errorText(err))
		toucanwait.Sleep(g.ctx, engineRetryDelay)
	}
}

// pumpStream reads one engine stream. It returns the end, or nil when the stream broke or fell silent;
// opened tells whether the engine answered.
func (s *Sidecar) pumpStream(g *generation) (end *toucanstream.End, opened bool, err error) {
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	watchdog := time.AfterFunc(engineOpenTimeout, cancel)
	defer watchdog.Stop()
	stream, err := s.openEngineStream(ctx, g)
	if err != nil {
		return nil, false, err
	}
	defer stream.Close()
	for {
		watchdog.Reset(engineSilence)
		batch, err := stream.Next()
		if err != nil {
			return nil, true, err
		}
		watchdog.Stop()
		if _, err := g.buffer.Append(ctx, batch.FirstIndex, batch.Text); err != nil {
			return nil, true, err
		}
		if batch.Finish != "" {
			return &toucanstream.End{FinishReason: batch.Finish, PromptTokens: batch.PromptTokens}, true, nil
		}
		s.schedule.Progress(g.id, g.buffer.Next())
	}
}

func (s *Sidecar) openEngineStream(ctx context.Context, g *generation) (toucanengine.Stream, error) {
	next := g.buffer.Next()
	if g.resumed || next > 0 {
		return s.cfg.Engine.Resume(ctx, g.id, next)
	}
	return s.cfg.Engine.Generate(ctx, g.request)
}

func (s *Sidecar) cancelAtEngine(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.cfg.Engine.Cancel(ctx, id); err != nil {
		s.log.Warn("cancel did not reach the engine", "generation", id, "error", err.Error())
	}
}

// deliver sends a generation's tokens from an index on, until its end or until the stream breaks.
func (s *Sidecar) deliver(ctx context.Context, stream *toucanwire.Stream, g *generation, from int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	detach := g.attach(stream)
	defer detach()
	closed := make(chan bool, 1)
	go func() {
		closed <- stream.AwaitClose()
		cancel()
	}()
	sender := newTokenSender(stream)
	for {
		chunk, err := g.buffer.Read(ctx, from, readChunk)
		if errors.Is(err, toucanstream.ErrDropped) || errors.Is(err, toucanstream.ErrGap) {
			s.refuse(stream, refusal(codeTokensDropped, ranPartly, err.Error()))
			return
		}
		if err != nil {
			return
		}
		if err := sender.send(chunk); err != nil {
			return
		}
		from = chunk.First + len(chunk.Text)
		if chunk.End != nil {
			s.sendEnd(stream, *chunk.End, from)
			awaitClosed(closed, g.release)
			return
		}
	}
}

// endTimeout bounds the wait for an entry to close the stream behind its end.
const endTimeout = 2 * time.Second

// awaitClosed calls release once the entry has closed the stream, which it does when it has the end. Without
// that the end may be lost with the link, and the generation stays to be resumed.
func awaitClosed(closed <-chan bool, release func()) {
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case byEntry := <-closed:
		if byEntry {
			release()
		}
	case <-timer.C:
	}
}

// tokenSender sends chunks over one stream. Its messages are used again for each chunk.
type tokenSender struct {
	stream *toucanwire.Stream
	tokens toucanwire.Tokens
	event  toucanwire.Event
	// deadline is the write deadline that is set on the stream.
	deadline time.Time
}

func newTokenSender(stream *toucanwire.Stream) *tokenSender {
	t := &tokenSender{stream: stream}
	t.event.Event = &toucanwire.Event_Tokens{Tokens: &t.tokens}
	return t
}

func (t *tokenSender) send(chunk toucanstream.Chunk) error {
	if len(chunk.Text) == 0 {
		return nil
	}
	if now := time.Now(); t.deadline.Sub(now) < sendTimeout/2 {
		t.deadline = now.Add(sendTimeout)
		t.stream.SetWriteDeadline(t.deadline)
	}
	t.tokens.FirstIndex = uint32(chunk.First)
	t.tokens.Text = chunk.Text
	return t.stream.Send(&t.event)
}

func (s *Sidecar) sendEnd(stream *toucanwire.Stream, end toucanstream.End, tokens int) {
	if !end.Complete() {
		s.refuse(stream, endRefusal(end, tokens))
		return
	}
	e := &toucanwire.End{
		FinishReason:     end.FinishReason,
		PromptTokens:     uint32(end.PromptTokens),
		CompletionTokens: uint32(tokens),
	}
	_ = s.send(stream, &toucanwire.Event{Event: &toucanwire.Event_End{End: e}, Load: s.answerReport()})
}

func (s *Sidecar) serveResume(ctx context.Context, stream *toucanwire.Stream, r *toucanwire.Resume) {
	if _, err := s.cfg.Signer.Verify(r.GenerationId, r.Workspace); err != nil {
		s.refuse(stream, refusal(codeUnknownGeneration, ranUnknown, "the generation id is not valid"))
		return
	}
	g, ref := s.findOrAdopt(r)
	if ref != nil {
		s.refuse(stream, ref)
		return
	}
	s.deliver(ctx, stream, g, int(r.NextIndex))
}

// findOrAdopt finds a generation, or takes over one that a predecessor of this process left at the engine.
// An id that neither knows is closed, so that a delayed request with it cannot start.
func (s *Sidecar) findOrAdopt(r *toucanwire.Resume) (*generation, *toucanwire.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.generations[r.GenerationId]; ok {
		if !g.claim(r.Reader, r.Takeover) {
			return nil, refusal(codeSuperseded, ranPartly, "the generation goes on over another connection")
		}
		return g, nil
	}
	if s.closedIDs.Contains(r.GenerationId) {
		return nil, refusal(codeGenerationClosed, ranUnknown, "the generation has ended or was cancelled")
	}
	g := s.newGeneration(r.GenerationId, r.Workspace, int(r.NextIndex))
	g.owner = r.Reader
	g.resumed = true
	g.settled.Store(true)
	s.generations[r.GenerationId] = g
	go s.adopt(g)
	return g, nil
}

func (s *Sidecar) adopt(g *generation) {
	end := s.pumpToEnd(g)
	if end.Failure == codeEngineLost && g.buffer.Next() == g.buffer.First() {
		end.Failure = codeUnknownGeneration
	}
	g.buffer.Finish(end)
}

func (s *Sidecar) serveCancel(stream *toucanwire.Stream, r *toucanwire.Cancel) {
	if _, err := s.cfg.Signer.Verify(r.GenerationId, r.Workspace); err != nil {
		s.refuse(stream, refusal(codeUnknownGeneration, ranUnknown, "the generation id is not valid"))
		return
	}
	if g := s.find(r.GenerationId); g == nil || r.Reader == "" || g.claim(r.Reader, false) {
		s.cancelGeneration(r.GenerationId)
	}
	accepted := &toucanwire.Accepted{GenerationId: r.GenerationId}
	_ = s.send(stream, &toucanwire.Event{Event: &toucanwire.Event_Accepted{Accepted: accepted}})
}

func (s *Sidecar) cancelGeneration(id string) {
	g := s.find(id)
	if g == nil {
		s.mu.Lock()
		s.closedIDs.Add(id, struct{}{})
		s.mu.Unlock()
		go s.cancelAtEngine(id)
		return
	}
	s.forget(g)
	s.schedule.Done(id, g.buffer.Next(), false)
	go s.cancelAtEngine(id)
}

// reapGenerations ends generations that nobody asks for any more.
func (s *Sidecar) reapGenerations(ctx context.Context) {
	for toucanwait.Sleep(ctx, reapInterval) {
		for _, g := range s.abandoned(time.Now()) {
			if g.buffer.Ended() == nil {
				s.cancelGeneration(g.id)
				continue
			}
			s.forget(g)
		}
	}
}

func (s *Sidecar) abandoned(now time.Time) []*generation {
	window := s.cfg.ResumeWindow
	if s.pool.Free() < s.cfg.BufferBytes/4 {
		window = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*generation
	for _, g := range s.generations {
		idle := g.idle(now)
		if idle > s.cfg.ResumeWindow || idle > window && g.buffer.Ended() != nil {
			found = append(found, g)
		}
	}
	return found
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
