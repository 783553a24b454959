package toucanadmit

import "time"

const (
	// acceptShare is the part of the first-token bound that a request may be predicted to wait for its start.
	acceptShare = 0.5
	// minRetryAfter and maxRetryAfter bound what a refusal tells its caller.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxWait bounds predictions.
	maxWait = time.Hour
)

// refuse returns a refusal when j would get its first token too late, nil when it may be queued.
func (t *toucan) refuse(now time.Time, j *job) error {
	j.predicted = t.wait(now, j)
	wait := t.bias[j.item.Level].correct(j.predicted)
	limit := t.waitLimit(now, j)
	if wait <= limit {
		return nil
	}
	after := min(max(wait-limit, minRetryAfter), maxRetryAfter)
	return &RefusalError{RetryAfter: after}
}

// waitLimit returns how long j may wait for its start.
func (t *toucan) waitLimit(now time.Time, j *job) time.Duration {
	limit := time.Duration(acceptShare * float64(t.cfg.FirstToken))
	if !j.request.Deadline.IsZero() {
		limit = min(limit, j.request.Deadline.Sub(now)-t.firstToken(j))
	}
	return limit
}

// firstToken returns how long j takes from its start to its first token.
func (t *toucan) firstToken(j *job) time.Duration {
	return t.step.predict(t.running, j.request.uncached())
}

// wait predicts how long j would wait for its start if it came now, without the correction for past errors.
func (t *toucan) wait(now time.Time, j *job) time.Duration {
	if t.running == 0 && len(t.jobs) == 0 {
		return 0
	}
	return max(t.prefillWait(), t.capacityWait(now, j))
}

// prefillWait predicts how long the prompts before a newcomer's take.
func (t *toucan) prefillWait() time.Duration {
	rate := t.prefillRate.perSecond()
	if rate == 0 {
		return 0
	}
	return clampWait(float64(t.queuedPrefill+t.prefillTokens) / rate)
}

// capacityWait predicts how long it takes until the requests before j have started and j fits: in a full engine work
// starts as fast as tokens are generated.
func (t *toucan) capacityWait(now time.Time, j *job) time.Duration {
	ahead := t.queue.Ahead(j.item.Workspace, j.item.Weight, j.item.Level)
	if j.item.Level == levelPlan {
		ahead += t.queue.Cost(levelBrief)
	}
	if !t.blocked {
		ahead = 0
	}
	if !t.hasSlot(j) {
		ahead += t.meanOutput
	}
	if t.running > 0 && t.report.TotalBlocks > 0 {
		ahead += max(0, t.shortfall(j))
	}
	if ahead == 0 {
		return 0
	}
	return clampWait(ahead / t.tokensPerSecond(now))
}

// tokensPerSecond returns how fast the engine generates: as measured, but no less than what one running request gets.
func (t *toucan) tokensPerSecond(now time.Time) float64 {
	step := t.step.predict(t.running, 0).Seconds()
	return max(t.throughput.perSecond(now), 1/step)
}

func clampWait(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// giveUpFactor is how many first-token bounds a request may have waited before it is given up on.
const giveUpFactor = 1.0

func (t *toucan) Expired(now time.Time) []string {
	var expired []string
	for level := range 2 {
		for _, it := range t.queue.Waiting(level) {
			j := t.jobs[it.ID]
			if t.late(now, j) {
				t.bias[level].learn(j.predicted, now.Sub(j.request.Arrived))
				t.drop(j)
				expired = append(expired, it.ID)
			}
		}
	}
	return expired
}

// late says whether a queued job can no longer be served in time.
func (t *toucan) late(now time.Time, j *job) bool { return !now.Before(t.lastStart(j)) }

// lastStart returns the time at which j is given up on if it has not started.
func (t *toucan) lastStart(j *job) time.Time {
	last := j.request.Arrived.Add(time.Duration(giveUpFactor * float64(t.cfg.FirstToken)))
	if d := j.request.Deadline; !d.IsZero() {
		if latest := d.Add(-t.firstToken(j)); latest.Before(last) {
			last = latest
		}
	}
	return last
}

func (t *toucan) Wake(now time.Time) time.Time {
	if len(t.jobs) == t.running {
		return time.Time{}
	}
	wake := now.Add(t.step.predict(t.running, 0))
	for level := range 2 {
		for _, it := range t.queue.Waiting(level) {
			if last := t.lastStart(t.jobs[it.ID]); last.Before(wake) {
				wake = last
			}
		}
	}
	if wake.Before(now) {
		return now
	}
	return wake
}
