package toucanadmit

import "time"

// stepWatch tells the engine's steps apart by the tokens that arrive: all running requests get theirs at the end of
// a step, at nearly the same time.
type stepWatch struct {
	// began and previous are when the first tokens of the last step and of the one before arrived.
	began, previous time.Time
	step            watchedStep
	// continuing is how many requests of the last step had a token before.
	continuing int
}

// watchedStep is what was seen of a step.
type watchedStep struct {
	sequences     int
	prefillTokens int
	// tokens is the most tokens that a request got, in case the engine sends those of several steps at once.
	tokens int
	took   time.Duration
}

// token takes in that a request got tokens. first is true for its first ones, which prefillTokens of prompt were
// computed for. Tokens within the span belong to the same step. When a new step begins it returns the one before.
func (w *stepWatch) token(now time.Time, span time.Duration, tokens int, first bool, prefillTokens int) (watchedStep, bool) {
	var done watchedStep
	ended := false
	if now.Sub(w.began) > span {
		done, ended = w.finish()
		w.previous, w.began = w.began, now
		w.step, w.continuing = watchedStep{}, 0
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

// finish returns the last step when its duration is known: the engine was not idle before.
func (w *stepWatch) finish() (watchedStep, bool) {
	if w.continuing == 0 || w.previous.IsZero() {
		return watchedStep{}, false
	}
	done := w.step
	done.took = w.began.Sub(w.previous) / time.Duration(done.tokens)
	return done, true
}

// tracker follows a quantile of a sequence of positive values.
type tracker struct {
	quantile float64
	value    float64
}

const (
	trackerGain = 0.02
	trackerMin  = 16.0
)

func (q *tracker) add(x float64) {
	step := trackerGain * max(q.value, trackerMin)
	if x > q.value {
		q.value += step * q.quantile
		return
	}
	q.value -= step * (1 - q.quantile)
}
