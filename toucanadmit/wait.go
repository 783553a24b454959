package toucanadmit

import "time"

const (
	// maxWaitShare is the share of the first-token bound that a request's predicted wait for its start may take.
	maxWaitShare = 0.5
	// minRetryAfter and maxRetryAfter limit the retry time in a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxWait limits predicted waits.
	maxWait = time.Hour
)

// refuse returns a RefusalError if j's predicted wait exceeds its limit, nil if j can be queued. It also sets j's
// predicted wait.
func (t *toucan) refuse(now time.Time, j *job) error {
	j.predictedWait = t.estimateWait(now, j)
	wait := t.bias[j.item.Level].correct(j.predictedWait)
	limit := t.waitLimit(now, j)
	if wait <= limit {
		return nil
	}
	after := min(max(wait-limit, minRetryAfter), maxRetryAfter)
	return &RefusalError{RetryAfter: after}
}

// waitLimit returns the longest predicted wait for its start at which j is still queued rather than refused.
func (t *toucan) waitLimit(now time.Time, j *job) time.Duration {
	limit := time.Duration(maxWaitShare * float64(t.cfg.FirstToken))
	if !j.request.Deadline.IsZero() {
		limit = min(limit, j.request.Deadline.Sub(now)-t.estimateFirstToken(j))
	}
	return limit
}

// estimateFirstToken predicts the time from j's start to its first token.
func (t *toucan) estimateFirstToken(j *job) time.Duration {
	return t.step.Predict(t.running, j.request.uncached())
}

// estimateWait predicts how long j would wait for its start if it arrived now. The result is not corrected for past
// prediction errors.
func (t *toucan) estimateWait(now time.Time, j *job) time.Duration {
	if t.running == 0 && len(t.jobs) == 0 {
		return 0
	}
	return max(t.prefillWait(), t.capacityWait(now, j))
}

// prefillWait predicts how long the engine takes to compute all prompts that are queued or in progress.
func (t *toucan) prefillWait() time.Duration {
	rate := t.prefillRate.PerSecond()
	if rate == 0 {
		return 0
	}
	return clampWait(float64(t.queuedPrefill+t.prefillTokens) / rate)
}

// capacityWait predicts the time until the requests ahead of j have started and j fits. It assumes that a full engine
// frees capacity at the rate at which it generates tokens.
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

// tokensPerSecond returns the engine's measured token throughput, or the rate of a single running request if that is
// higher.
func (t *toucan) tokensPerSecond(now time.Time) float64 {
	step := t.step.Predict(t.running, 0).Seconds()
	return max(t.throughput.PerSecond(now), 1/step)
}

func clampWait(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// expiryFactor is the number of first-token bounds after which a queued request expires.
const expiryFactor = 1.0

func (t *toucan) Expired(now time.Time) []string {
	var expired []string
	for level := range 2 {
		for _, it := range t.queue.Waiting(level) {
			j := t.jobs[it.ID]
			if t.isLate(now, j) {
				t.bias[level].observe(j.predictedWait, now.Sub(j.request.Arrived))
				t.removeQueued(j)
				expired = append(expired, it.ID)
			}
		}
	}
	return expired
}

// isLate reports whether a queued job can no longer be served in time.
func (t *toucan) isLate(now time.Time, j *job) bool { return !now.Before(t.latestStart(j)) }

// latestStart returns the time at which j expires if it has not started.
func (t *toucan) latestStart(j *job) time.Time {
	last := j.request.Arrived.Add(time.Duration(expiryFactor * float64(t.cfg.FirstToken)))
	if d := j.request.Deadline; !d.IsZero() {
		if latest := d.Add(-t.estimateFirstToken(j)); latest.Before(last) {
			last = latest
		}
	}
	return last
}

func (t *toucan) Wake(now time.Time) time.Time {
	if len(t.jobs) == t.running {
		return time.Time{}
	}
	wake := now.Add(t.step.Predict(t.running, 0))
	for level := range 2 {
		for _, it := range t.queue.Waiting(level) {
			if last := t.latestStart(t.jobs[it.ID]); last.Before(wake) {
				wake = last
			}
		}
	}
	if wake.Before(now) {
		return now
	}
	return wake
}
