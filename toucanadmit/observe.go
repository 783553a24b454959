package toucanadmit

import "time"

// unaccountedGain is the weight of the newest report in the moving average of unaccounted memory.
const unaccountedGain = 0.3

// detectedStepFreshness is how long steps detected from token arrivals take precedence over the step times in
// reports.
const detectedStepFreshness = 2 * time.Second

func (t *toucan) Report(now time.Time, e EngineReport) {
	if e.At.Before(t.report.At) {
		return
	}
	last := t.report
	t.report = e
	t.margin.decay(now)
	t.countPreemptions(last, e)
	t.updateUnaccounted(e)
	if now.Sub(t.stepDetector.LastAt()) > detectedStepFreshness {
		t.step.Observe(e.Running, 0, e.StepTime)
	}
	t.recomputeDemands()
	t.shares.expire(now)
	t.checkForecast(now)
}

func (t *toucan) countPreemptions(last, e EngineReport) {
	if last.At.IsZero() || e.Preemptions <= last.Preemptions {
		return
	}
	t.margin.addPreemptions(e.Preemptions - last.Preemptions)
}

// updateUnaccounted compares the memory use in a report with the estimate for the running jobs at the time that the
// report describes.
func (t *toucan) updateUnaccounted(e EngineReport) {
	own, ok := t.usedHistory.At(e.At)
	if !ok {
		return
	}
	beyond := float64(e.UsedBlocks*t.blockTokens()) - own
	if e.Waiting > 0 && beyond < 0 {
		// The requests that wait inside the engine will use this memory again.
		return
	}
	t.unaccounted += unaccountedGain * (beyond - t.unaccounted)
}

// recomputeDemands recomputes every running job's demand from the current length estimates.
func (t *toucan) recomputeDemands() {
	t.forecast = forecast{}
	for _, j := range t.jobs {
		if j.running {
			j.demand = t.demand(j)
			t.forecast.add(&j.demand)
		}
	}
}

// checkForecast compares the forecast of the last checkpoint with the current use of the requests that it covered,
// then makes the next checkpoint.
func (t *toucan) checkForecast(now time.Time) {
	c := &t.margin.check
	total := t.totalTokens()
	if total == 0 {
		return
	}
	due := time.Duration(checkpointSteps) * t.step.Predict(t.running, 0)
	if c.set && now.Sub(c.at) < due {
		return
	}
	if c.set {
		used := 0.0
		for _, j := range t.jobs {
			if j.running && !j.started.After(c.at) {
				used += j.demand.mean[0]
			}
		}
		c.steps = checkpointSteps
		t.margin.checkAgainstUse(used, total)
	}
	*c = checkpoint{set: true, forecast: t.forecast, at: now}
}
