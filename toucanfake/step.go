package toucanfake

import (
	"cmp"
	"slices"
	"time"

	"toucanport/toucanengine"
)

const (
	// endedRetention is how long an ended generation can still be resumed.
	endedRetention = 2 * time.Minute
	sweepInterval  = 10 * time.Second
)

// sequence is one generation inside the engine.
type sequence struct {
	id           string
	hash         uint32
	priority     int
	arrival      uint64
	prefixHash   uint64
	promptTokens int
	promptBlocks []uint64
	// target is the number of output tokens, which finish explains.
	target       int
	targetFinish string
	produced     int
	// prefillLeft is how many tokens must be computed before the next one is produced.
	prefillLeft int
	// blocks is the memory held; zero while waiting.
	blocks    int
	ran       bool
	cancelled bool
	finish    string
	endedAt   time.Time
	// watchers get a signal when produced, finish or cancelled change.
	watchers map[chan struct{}]struct{}
}

func (s *sequence) ended() bool { return !s.endedAt.IsZero() }

// limit cuts the output at n tokens.
func (s *sequence) limit(n int) {
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

// byRank orders sequences from the one that keeps its memory longest to the first to be preempted.
func byRank(a, b *sequence) int {
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

// beginStep chooses the step's work and returns its duration, zero when there is none, and the sequences
// that get a token at its end.
func (e *Engine) beginStep() (time.Duration, []*sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep()
	e.admit()
	if len(e.running) == 0 {
		return 0, nil
	}
	prefill := e.prefill()
	decoding := e.reserve()
	d := e.cfg.StepBase
	d += time.Duration(len(decoding)) * e.cfg.StepPerSequence
	d += time.Duration(prefill) * e.cfg.StepPerPrefillToken
	d = time.Duration(float64(d) * e.slowdown)
	e.lastStep = d
	return d, decoding
}

// admit moves waiting sequences into the batch while their present tokens fit into free memory.
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
			e.ledger.update(s, e.bootID)
		}
	}
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.cfg.BlockTokens - 1) / e.cfg.BlockTokens
}

// prefill spends the step's chunk on sequences that are not computed yet and returns the tokens spent.
func (e *Engine) prefill() int {
	left := e.cfg.PrefillChunk
	for _, s := range e.running {
		n := min(left, s.prefillLeft)
		s.prefillLeft -= n
		left -= n
		if n > 0 && s.prefillLeft == 0 {
			e.cachePrefix(s)
		}
	}
	return e.cfg.PrefillChunk - left
}

// reserve gives every computed sequence memory for its next token, preempting the lowest ranked when the
// memory is full, and returns those that decode.
func (e *Engine) reserve() []*sequence {
	ranked := slices.Clone(e.running)
	slices.SortFunc(ranked, byRank)
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

// preempt takes a sequence's memory; its tokens are computed again later.
func (e *Engine) preempt(s *sequence) {
	e.release(s)
	e.enqueue(s)
	e.preemptions++
	e.ledger.preempted()
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, byRank)
	e.waiting = slices.Insert(e.waiting, i, s)
}

// release takes a sequence out of the batch and frees its memory.
func (e *Engine) release(s *sequence) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	e.usedBlocks -= s.blocks
	s.blocks = 0
}

// endStep adds a token to every sequence that decoded and is still there.
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
		e.ledger.update(s, e.bootID)
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

// cancel ends a sequence at once.
func (e *Engine) cancel(s *sequence) {
	if s.ended() {
		return
	}
	s.cancelled = true
	e.end(s)
	e.ledger.update(s, e.bootID)
	s.notify()
}

// sweep forgets generations that ended long ago.
func (e *Engine) sweep() {
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

// start returns the sequence of id, which it adds when the engine has none.
func (e *Engine) start(r completionRequest) *sequence {
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
	s.limit(e.cfg.Blocks*e.cfg.BlockTokens - s.promptTokens)
	if r.MaxTokens > 0 {
		s.limit(r.MaxTokens)
	}
	e.arrivals++
	e.byID[s.id] = s
	e.ledger.received(GenerationRecord{
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
