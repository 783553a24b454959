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

// Timeouts for the engine and for readers.
const (
	// engineSilenceTimeout is how long a stream from the engine can deliver no tokens before the sidecar reopens it.
	engineSilenceTimeout = 2 * time.Second
	// engineOpenTimeout limits the wait for the engine to open a stream.
	engineOpenTimeout = 2 * time.Second
	// engineLostAfter is how long the engine can fail to answer before a generation is ended as lost.
	engineLostAfter = 6 * time.Second
	// engineRetryDelay is the pause between attempts to open a stream.
	engineRetryDelay = 200 * time.Millisecond
	// cancelTimeout limits one request to the engine to cancel a generation.
	cancelTimeout = 2 * time.Second
	// reapInterval is the time between checks for abandoned generations.
	reapInterval = time.Second
	// maxChunkTokens is the maximum number of tokens in one message to an entry.
	maxChunkTokens = 64
)

// generation is the state of one generation: queued, running, or ended and still readable.
type generation struct {
	id        string
	workspace string
	request   toucanengine.Request
	buffer    *toucanstream.Buffer
	// resumed is true if a previous process of this sidecar started the generation.
	resumed bool
	// deadline is the time by which the generation must have started; zero if there is none.
	deadline time.Time
	// startDecided is set once, either when the generation starts at the engine or when it is ended before that.
	startDecided atomic.Bool
	// ctx ends when the generation is cancelled.
	ctx     context.Context
	cancel  context.CancelFunc
	release func()

	mu sync.Mutex
	// owner is the id of the only reader whose requests to resume or cancel are accepted.
	owner string
	// closeReader closes the stream of the attached reader; nil if none is attached.
	closeReader func()
	// epoch is incremented whenever a reader is attached, so that a late detach call of an earlier reader has no effect.
	epoch int
	// idleSince is when the last reader detached or, if none was attached yet, when the generation was created.
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
		release:   sync.OnceFunc(s.inProgress.done),
		idleSince: time.Now(),
	}
	s.inProgress.add()
	return g
}

// checkOwner reports whether reader is the owner. With takeover, it first makes reader the owner.
func (g *generation) checkOwner(reader string, takeover bool) bool {
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
	if g.closeReader != nil {
		g.closeReader()
	}
	g.epoch++
	epoch := g.epoch
	g.closeReader = func() { stream.Close() }
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.epoch != epoch {
			return
		}
		g.closeReader = nil
		g.idleSince = time.Now()
	}
}

// idleTime returns how long no reader has been attached; zero while one is.
func (g *generation) idleTime(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closeReader != nil {
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

// admit adds a request to the queue. If the id is already known, it returns the existing generation.
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
	if s.refusesNewWork() {
		s.mu.Unlock()
		return nil, refusal(codeLeaving, ranNo, "the endpoint is leaving")
	}
	g := s.newGeneration(r.GenerationId, r.Workspace, 0)
	g.owner = r.Reader
	g.request = toEngineRequest(r)
	if r.DeadlineUnixMillis != 0 {
		g.deadline = time.UnixMilli(r.DeadlineUnixMillis)
	}
	s.generations[r.GenerationId] = g
	s.mu.Unlock()

	if err := s.schedule.Offer(toAdmitRequest(r)); err != nil {
		s.remove(g)
		return nil, overloadRefusal(err)
	}
	return g, nil
}

func toEngineRequest(r *toucanwire.Generate) toucanengine.Request {
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

func toAdmitRequest(r *toucanwire.Generate) toucanadmit.Request {
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

// startGeneration starts a queued request at the engine. The schedule calls it.
func (s *Sidecar) startGeneration(id string, priority int) {
	g := s.find(id)
	if g == nil {
		s.schedule.Done(id, 0, false)
		return
	}
	if !g.startDecided.CompareAndSwap(false, true) {
		return
	}
	g.request.Priority = priority
	go s.pump(g)
}

// expireGeneration ends a queued request that can no longer start in time. The schedule calls it.
func (s *Sidecar) expireGeneration(id string, retryAfter time.Duration) {
	g := s.find(id)
	if g == nil || !g.startDecided.CompareAndSwap(false, true) {
		return
	}
	g.buffer.Finish(expiryEnd(g.deadline, time.Now(), retryAfter))
}

// expiryEnd returns the end of a request that expired before it ran.
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

// remove removes a generation and prevents a later start under its id.
func (s *Sidecar) remove(g *generation) {
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

// pump copies tokens from the engine into the buffer until the generation ends.
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
		s.log.Warn("engine stream reopened", "generation", g.id, "error", errorText(err))
		toucanwait.Sleep(g.ctx, engineRetryDelay)
	}
}

// pumpStream reads one engine stream. It returns the end, or nil if the stream broke or delivered nothing for
// engineSilenceTimeout. opened reports whether the engine answered.
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
		watchdog.Reset(engineSilenceTimeout)
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

// deliver sends a generation's tokens, starting at index from, until its end or until the stream breaks.
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
		chunk, err := g.buffer.Read(ctx, from, maxChunkTokens)
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

// endTimeout limits the wait for an entry to close the stream after the last message.
const endTimeout = 2 * time.Second

// awaitClosed calls release once the entry has closed the stream, which it does after it has received the end. If it
// does not, the end may be lost with the link, so the generation is kept for a resume.
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

// tokenSender sends chunks over one stream. It reuses its messages.
type tokenSender struct {
	stream *toucanwire.Stream
	tokens toucanwire.Tokens
	event  toucanwire.Event
	// deadline is the current write deadline of the stream.
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

// findOrAdopt finds a generation, or adopts a generation that a previous process of this sidecar started at the engine.
// Adopting registers the id even if the engine does not know it, so that a delayed request with the id cannot start.
func (s *Sidecar) findOrAdopt(r *toucanwire.Resume) (*generation, *toucanwire.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.generations[r.GenerationId]; ok {
		if !g.checkOwner(r.Reader, r.Takeover) {
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
	g.startDecided.Store(true)
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
	if g := s.find(r.GenerationId); g == nil || r.Reader == "" || g.checkOwner(r.Reader, false) {
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
	s.remove(g)
	s.schedule.Done(id, g.buffer.Next(), false)
	go s.cancelAtEngine(id)
}

// reapGenerations regularly cancels the abandoned generations that are still running, and removes the others.
func (s *Sidecar) reapGenerations(ctx context.Context) {
	for toucanwait.Sleep(ctx, reapInterval) {
		for _, g := range s.abandoned(time.Now()) {
			if g.buffer.Ended() == nil {
				s.cancelGeneration(g.id)
				continue
			}
			s.remove(g)
		}
	}
}

// abandoned returns the generations without a reader for longer than ResumeWindow. If less than a quarter of the
// buffer space is free, it returns all ended generations without a reader.
func (s *Sidecar) abandoned(now time.Time) []*generation {
	window := s.cfg.ResumeWindow
	if s.pool.Free() < s.cfg.BufferBytes/4 {
		window = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*generation
	for _, g := range s.generations {
		idle := g.idleTime(now)
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
