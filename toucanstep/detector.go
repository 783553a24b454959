package toucanstep

import "time"

// Detector recognizes the engine's steps by the arrival times of tokens: all running requests receive their
// tokens at the end of a step, at nearly the same time. Its zero value knows of no step. It is not safe for concurrent use.
type Detector struct {
	// lastAt and previousAt are the arrival times of the first tokens of the last step and of the step before it.
	lastAt, previousAt time.Time
	step               Step
	// continuing counts the requests in the last step that had received a token before.
	continuing int
}

// Step describes a step recognized from its tokens.
type Step struct {
	// Sequences is the number of requests that received tokens, PrefillTokens that of the prompt tokens that were computed.
	Sequences     int
	PrefillTokens int
	// Tokens is the largest number of tokens that one request received; above 1 if the engine sends the tokens of
	// several steps at once.
	Tokens int
	Took   time.Duration
}

// LastAt returns the arrival time of the first tokens of the last step; zero before the first one.
func (w *Detector) LastAt() time.Time { return w.lastAt }

// ObserveTokens records that a request received tokens. first is true for the request's first tokens; prefillTokens
// prompt tokens were then computed for them. Tokens that arrive within span of the first one belong to the same step.
// When a new step begins, ObserveTokens returns the one before, if its duration is known.
func (w *Detector) ObserveTokens(now time.Time, span time.Duration, tokens int, first bool, prefillTokens int) (Step, bool) {
	var done Step
	ended := false
	if now.Sub(w.lastAt) > span {
		done, ended = w.lastStep()
		w.previousAt, w.lastAt = w.lastAt, now
		w.step, w.continuing = Step{}, 0
	}
	w.step.Sequences++
	w.step.Tokens = max(w.step.Tokens, tokens)
	if first {
		w.step.PrefillTokens += prefillTokens
	} else {
		w.continuing++
	}
	return done, ended
}

// lastStep returns the last step if its duration is known, which requires that the engine was not idle before it.
func (w *Detector) lastStep() (Step, bool) {
	if w.continuing == 0 || w.previousAt.IsZero() {
		return Step{}, false
	}
	done := w.step
	done.Took = w.lastAt.Sub(w.previousAt) / time.Duration(done.Tokens)
	return done, true
}
