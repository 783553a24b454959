package toucanadmit

import "time"

// stepDetector recognizes the engine's steps by the arrival times of tokens: all running requests receive their
// tokens at the end of a step, at nearly the same time.
type stepDetector struct {
	// lastAt and previousAt are the arrival times of the first tokens of the last step and of the step before it.
	lastAt, previousAt time.Time
	step               detectedStep
	// continuing counts the requests in the last step that had received a token before.
	continuing int
}

// detectedStep describes a step recognized from its tokens.
type detectedStep struct {
	sequences     int
	prefillTokens int
	// tokens is the largest number of tokens that one request received; above 1 if the engine sends the tokens of
	// several steps at once.
	tokens int
	took   time.Duration
}

// observeTokens records that a request received tokens. first is true for the request's first tokens; prefillTokens
// prompt tokens were then computed for them. Tokens that arrive within span of the first one belong to the same step.
// When a new step begins, observeTokens returns the one before, if its duration is known.
func (w *stepDetector) observeTokens(now time.Time, span time.Duration, tokens int, first bool, prefillTokens int) (detectedStep, bool) {
	var done detectedStep
	ended := false
	if now.Sub(w.lastAt) > span {
		done, ended = w.lastStep()
		w.previousAt, w.lastAt = w.lastAt, now
		w.step, w.continuing = detectedStep{}, 0
	}
	w.step.sequences++
	w.step.tokens = max(w.step.tokens, tokens)
	if first {
		w.step.prefillTokens += prefillTokens
	} else {
		w.continuing++
	}
	return done, ended
}

// lastStep returns the last step if its duration is known, which requires that the engine was not idle before it.
func (w *stepDetector) lastStep() (detectedStep, bool) {
	if w.continuing == 0 || w.previousAt.IsZero() {
		return detectedStep{}, false
	}
	done := w.step
	done.took = w.lastAt.Sub(w.previousAt) / time.Duration(done.tokens)
	return done, true
}

// quantileTracker estimates a quantile of a sequence of positive values.
type quantileTracker struct {
	quantile float64
	value    float64
}

const (
	trackerGain = 0.02
	trackerMin  = 16.0
)

func (q *quantileTracker) add(x float64) {
	step := trackerGain * max(q.value, trackerMin)
	if x > q.value {
		q.value += step * q.quantile
		return
	}
	q.value -= step * (1 - q.quantile)
}
