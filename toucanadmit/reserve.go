package toucanadmit

import (
	"math"
	"time"
)

// reserve is the room that others leave to favoured briefs. Briefs come at random and are soon done, so that the number that
// would run at once, if none had to wait, is Poisson distributed around their rate times their duration.
type reserve struct {
	offered meter
	// running is how many briefs run, holding so many tokens of prompts.
	running int
	held    float64
	// seconds and tokens are the recent means of a brief's duration and of the memory that it takes.
	seconds float64
	tokens  float64
}

const (
	reserveWindow = 10 * time.Second
	// reserveShare bounds the reserve in the memory and in the batch, reserveShareOver for
	// workspaces that hold more than their share.
	reserveShare     = 0.06
	reserveShareOver = 0.25
	// reserveDeviations is how many standard deviations above the mean the reserve holds.
	reserveDeviations = 2
	reserveGain       = 0.05
)

func newReserve() reserve { return reserve{offered: meter{window: reserveWindow}} }

// offer counts a brief that came, whether it was refused or not.
func (r *reserve) offer(now time.Time) { r.offered.add(now, 1) }

func (r *reserve) started(promptTokens int) {
	r.running++
	r.held += float64(promptTokens)
}

func (r *reserve) ended(promptTokens, generated int, took time.Duration) {
	r.running--
	r.held -= float64(promptTokens)
	r.seconds += reserveGain * (took.Seconds() - r.seconds)
	r.tokens += reserveGain * (float64(promptTokens+generated) - r.tokens)
}

// slots returns the places in the batch that others leave free, at most a share of bound.
func (r *reserve) slots(now time.Time, bound int, share float64) int {
	free := max(0, r.wanted(now)-float64(r.running))
	return int(min(free, share*float64(bound)))
}

// memory returns the tokens that others leave free, at most a share of total.
func (r *reserve) memory(now time.Time, total, share float64) float64 {
	free := max(0, r.wanted(now)*r.tokens-r.held)
	return min(free, share*total)
}

// wanted returns how many briefs would run at once at most.
func (r *reserve) wanted(now time.Time) float64 {
	mean := r.offered.perSecond(now) * r.seconds
	return mean + reserveDeviations*math.Sqrt(mean)
}

// waitBias is how much longer requests waited than predicted.
type waitBias struct {
	// factor is the ratio of the actual to the predicted wait, from minWaitBias to maxWaitBias.
	factor float64
}

const (
	minWaitBias = 0.5
	maxWaitBias = 4
	biasGain    = 0.05
	// minBiasWait is the shortest prediction to learn from.
	minBiasWait = 50 * time.Millisecond
)

func (b *waitBias) learn(predicted, actual time.Duration) {
	if predicted < minBiasWait {
		return
	}
	ratio := min(max(actual.Seconds()/predicted.Seconds(), minWaitBias), maxWaitBias)
	b.factor += biasGain * (ratio - b.factor)
}

func (b *waitBias) correct(wait time.Duration) time.Duration {
	return time.Duration(b.factor * float64(wait))
}
