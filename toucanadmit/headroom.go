package toucanadmit

import (
	"math"
	"time"

	"toucanport/toucanmeter"
)

// headroom computes the memory and batch slots that other requests leave free for prioritized briefs. Briefs arrive
// at random and are short, so the number that would run at once without waiting is Poisson distributed, with the
// product of their arrival rate and duration as its mean.
type headroom struct {
	offered toucanmeter.Rate
	// running is the number of running briefs; heldPromptTokens is the sum of their prompt tokens.
	running          int
	heldPromptTokens float64
	// meanSeconds and meanTokens are moving averages of a brief's duration and memory use.
	meanSeconds float64
	meanTokens  float64
}

const (
	headroomWindow = 10 * time.Second
	// maxHeadroom limits the headroom to a share of the memory and of the batch. maxHeadroomOverShare is the limit
	// for requests of workspaces that exceed their share.
	maxHeadroom          = 0.06
	maxHeadroomOverShare = 0.25
	// headroomDeviations is how many standard deviations above the mean the headroom covers.
	headroomDeviations = 2
	headroomGain       = 0.05
)

func newHeadroom() headroom { return headroom{offered: toucanmeter.Rate{Window: headroomWindow}} }

// recordOffer counts an arriving brief, whether or not it is refused.
func (r *headroom) recordOffer(now time.Time) { r.offered.Add(now, 1) }

func (r *headroom) recordStart(promptTokens int) {
	r.running++
	r.heldPromptTokens += float64(promptTokens)
}

func (r *headroom) recordEnd(promptTokens, generated int, took time.Duration) {
	r.running--
	r.heldPromptTokens -= float64(promptTokens)
	r.meanSeconds += headroomGain * (took.Seconds() - r.meanSeconds)
	r.meanTokens += headroomGain * (float64(promptTokens+generated) - r.meanTokens)
}

// slots returns the number of batch slots to leave free for briefs, at most a share of bound.
func (r *headroom) slots(now time.Time, bound int, share float64) int {
	free := max(0, r.concurrencyBound(now)-float64(r.running))
	return int(min(free, share*float64(bound)))
}

// memory returns the number of tokens of memory to leave free for briefs, at most a share of total.
func (r *headroom) memory(now time.Time, total, share float64) float64 {
	free := max(0, r.concurrencyBound(now)*r.meanTokens-r.heldPromptTokens)
	return min(free, share*total)
}

// concurrencyBound returns an upper estimate of the number of briefs that would run at once if none had to wait.
func (r *headroom) concurrencyBound(now time.Time) float64 {
	mean := r.offered.PerSecond(now) * r.meanSeconds
	return mean + headroomDeviations*math.Sqrt(mean)
}

// waitBias corrects predicted waits by the ratio of actual to predicted waits.
type waitBias struct {
	// factor is a moving average of the ratio, between minWaitBias and maxWaitBias.
	factor float64
}

const (
	minWaitBias = 0.5
	maxWaitBias = 4
	biasGain    = 0.05
	// minBiasWait is the shortest predicted wait that updates the factor.
	minBiasWait = 50 * time.Millisecond
)

func (b *waitBias) observe(predicted, actual time.Duration) {
	if predicted < minBiasWait {
		return
	}
	ratio := min(max(actual.Seconds()/predicted.Seconds(), minWaitBias), maxWaitBias)
	b.factor += biasGain * (ratio - b.factor)
}

func (b *waitBias) correct(wait time.Duration) time.Duration {
	return time.Duration(b.factor * float64(wait))
}
