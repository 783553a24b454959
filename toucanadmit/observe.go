package toucanadmit

import "time"

// unaccountedGain is the weight of the newest report in what the engine holds beyond the running jobs.
const unaccountedGain = 0.3

// watchFreshness is how long steps seen in the tokens go before those in reports.
const watchFreshness = 2 * time.Second

func (t *toucan) Report(now time.Time, e EngineReport) {
	if e.At.Before(t.report.At) {
		return
	}
	last := t.report
	t.report = e
	t.margin.decay(now)
	t.countPreemptions(last, e)
	t.reconcile(e)
	if now.Sub(t.watch.began) > watchFreshness {
		t.step.observe(e.Running, 0, e.StepTime)
	}
	t.redraw()
	t.shares.expire(now)
	t.checkForecast(now)
}

func (t *toucan) countPreemptions(last, e EngineReport) {
	if last.At.IsZero() || e.Preemptions <= last.Preemptions {
		return
	}
	t.margin.preempted(e.Preemptions - last.Preemptions)
}

// reconcile compares what the engine held at its report's time with what the jobs were thought to hold then.
func (t *toucan) reconcile(e EngineReport) {
	own, ok := t.used.at(e.At)
	if !ok {
		return
	}
	beyond := float64(e.UsedBlocks*t.blockTokens()) - own
	if e.Waiting > 0 && beyond < 0 {
		// Requests that wait inside the engine will take their memory back.
		return
	}
	t.unaccounted += unaccountedGain * (beyond - t.unaccounted)
}

// redraw computes every running job's demand anew, with the lengths learned since.
func (t *toucan) redraw() {
	t.sum = forecast{}
	for _, j := range t.jobs {
		if j.running {
			j.demand = t.demand(j)
			t.sum.add(&j.demand)
		}
	}
}

// checkForecast holds the last checkpoint's forecast against what its requests use now, and makes the next.
func (t *toucan) checkForecast(now time.Time) {
	c := &t.margin.check
	total := t.totalTokens()
	if total == 0 {
		return
	}
	due := time.Duration(checkpointSteps) * t.step.predict(t.running, 0)
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
		t.margin.compare(used, total)
	}
	*c = checkpoint{set: true, forecast: t.sum, at: now}
}
