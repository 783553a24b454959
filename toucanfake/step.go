package toucanfake

import (
	"cmp"
	"slices"
	"time"

	"toucanport/toucanengine"
)

const (
	// endedRetention is how long an ended generation can be resumed and its request id is recognized as repeated.
	endedRetention = 2 * time.Minute
	sweepInterval  = 10 * time.Second
)

// sequence is the engine's state of one generation.
type sequence struct {
	id           string
	hash         uint32
	priority     int
	arrival      uint64
	prefixHash   uint64
	promptTokens int
	promptBlocks []uint64
	// target is the number of output tokens after which the sequence finishes with the reason targetFinish.
	target       int
	targetFinish string
	produced     int
	// prefillLeft is the number of prompt and earlier output tokens to compute before the next one can be decoded.
	prefillLeft int
	// blocks is the number of memory blocks reserved; zero while waiting.
	blocks    int
	ran       bool
	cancelled bool
	finish    string
	endedAt   time.Time
	// watchers are signaled when produced, finish or cancelled changes.
	watchers map[chan struct{}]struct{}
}

func (s *sequence) ended() bool { return !s.endedAt.IsZero() }

// limitOutput caps the output at n tokens. A capped output finishes with FinishLength.
func (s *sequence) limitOutput(n int) {
	if s.target > n {
		s.target = n
		s.targetFinish = toucanengine.FinishLength
	}
}

func (s *sequence) notify() {
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// compareRank sorts sequences by descending priority, then by arrival. The last one is preempted first.
func compareRank(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
}

// loop runs steps until the engine is killed.
func (e *Engine) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for e.steps.wait(e.ctx) == nil {
		d, decoding := e.beginStep()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		timer.Reset(d)
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		if e.steps.wait(e.ctx) != nil {
			return
		}
		e.endStep(decoding)
	}
}

// beginStep schedules the work of a step. It returns the step's duration, zero when there is no work, and the
// sequences that get a token at its end.
func (e *Engine) beginStep() (time.Duration, []*sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired()
	e.admit()
	if len(e.running) == 0 {
		return 0, nil
	}
	prefill := e.prefill()
	decoding := e.reserveBlocks()
	d := e.cfg.StepBase
	d += time.Duration(len(decoding)) * e.cfg.StepPerSequence
	d += time.Duration(prefill) * e.cfg.StepPerPrefillToken
	d = time.Duration(float64(d) * e.slowdown)
	e.lastStep = d
	return d, decoding
}

// admit moves waiting sequences into the batch, in the order of the queue, until one does not fit into the free
// memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxSequences {
		s := e.waiting[0]
		need := e.blocksFor(s.promptTokens + s.produced + 1)
		if e.usedBlocks+need > e.cfg.Blocks {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		s.blocks = need
		e.usedBlocks += need
		s.prefillLeft = s.promptTokens + s.produced - e.cachedTokens(s)
		if !s.ran {
			s.ran = true
			e.ledger.recordProgress(s, e.bootID)
		}
	}
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.cfg.BlockTokens - 1) / e.cfg.BlockTokens
}

// prefill distributes the step's prefill tokens among the sequences that need them and returns the number used.
func (e *Engine) prefill() int {
	left := e.cfg.PrefillChunk
	for _, s := range e.running {
		n := min(left, s.prefillLeft)
		s.prefillLeft -= n
		left -= n
		if n > 0 && s.prefillLeft == 0 {
			e.cachePrompt(s)
		}
	}
	return e.cfg.PrefillChunk - left
}

// reserveBlocks reserves memory for the next token of every sequence that has no prefill left. When the memory is
// full, it preempts the lowest-ranked sequence. It returns the sequences that decode in this step.
func (e *Engine) reserveBlocks() []*sequence {
	ranked := slices.Clone(e.running)
	slices.SortFunc(ranked, compareRank)
	for i := 0; i < len(ranked); i++ {
		s := ranked[i]
		if s.prefillLeft > 0 {
			continue
		}
		need := e.blocksFor(s.promptTokens + s.produced + 1)
		for need > s.blocks && e.usedBlocks+need-s.blocks > e.cfg.Blocks && i < len(ranked) {
			e.preempt(ranked[len(ranked)-1])
			ranked = ranked[:len(ranked)-1]
		}
		if i < len(ranked) && need > s.blocks {
			e.usedBlocks += need - s.blocks
			s.blocks = need
		}
	}
	decoding := ranked[:0]
	for _, s := range ranked {
		if s.prefillLeft == 0 {
			decoding = append(decoding, s)
		}
	}
	return decoding
}

// preempt frees a sequence's memory and puts it back into the queue. Its tokens are computed again later.
func (e *Engine) preempt(s *sequence) {
	e.release(s)
	e.enqueue(s)
	e.preemptions++
	e.ledger.recordPreemption()
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, compareRank)
	e.waiting = slices.Insert(e.waiting, i, s)
}

// release removes a sequence from the batch and frees its memory.
func (e *Engine) release(s *sequence) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	e.usedBlocks -= s.blocks
	s.blocks = 0
}

// endStep adds a token to every decoding sequence that was not cancelled during the step.
func (e *Engine) endStep(decoding []*sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range decoding {
		if s.ended() {
			continue
		}
		s.produced++
		if s.produced >= s.target {
			s.finish = s.targetFinish
			e.end(s)
		}
		e.ledger.recordProgress(s, e.bootID)
		s.notify()
	}
}

func (e *Engine) end(s *sequence) {
	s.endedAt = time.Now()
	e.release(s)
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// cancel ends a sequence without a finish reason.
func (e *Engine) cancel(s *sequence) {
	if s.ended() {
		return
	}
	s.cancelled = true
	e.end(s)
	e.ledger.recordProgress(s, e.bootID)
	s.notify()
}

// removeExpired deletes the generations that ended more than endedRetention ago, once every sweepInterval.
func (e *Engine) removeExpired() {
	now := time.Now()
	if now.Sub(e.lastSweep) < sweepInterval {
		return
	}
	e.lastSweep = now
	for id, s := range e.byID {
		if s.ended() && now.Sub(s.endedAt) > endedRetention {
			delete(e.byID, id)
		}
	}
}

// getOrStart returns the sequence of the request's id. If there is none, it creates one and puts it into the queue.
func (e *Engine) getOrStart(r completionRequest) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.byID[r.RequestID]; ok {
		return s
	}
	prompt := r.promptText()
	d := parseDirectives(prompt)
	s := &sequence{
		id:           r.RequestID,
		hash:         IDHash(r.RequestID),
		priority:     r.Priority,
		arrival:      e.arrivals,
		prefixHash:   r.PrefixHash,
		promptTokens: promptTokens(prompt),
		promptBlocks: blockHashes(prompt, e.cfg.BlockTokens),
		target:       d.outputTokens,
		targetFinish: toucanengine.FinishStop,
		watchers:     make(map[chan struct{}]struct{}),
	}
	if s.target == 0 {
		s.target = seededOutputTokens(e.cfg.Seed, prompt)
	}
	s.limitOutput(e.cfg.Blocks*e.cfg.BlockTokens - s.promptTokens)
	if r.MaxTokens > 0 {
		s.limitOutput(r.MaxTokens)
	}
	e.arrivals++
	e.byID[s.id] = s
	e.ledger.recordReceived(GenerationRecord{
		ID: s.id, Engine: e.cfg.Name, BootID: e.bootID, Label: d.label, Received: time.Now(),
	})
	e.enqueue(s)
	e.signal()
	return s
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func promptTokens(prompt string) int {
	return max((len(prompt)+promptBytesPerToken-1)/promptBytesPerToken, 1)
}
