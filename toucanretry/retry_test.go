package toucanretry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		budget := NewBudget()
		var plan *Plan
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "request":
				n := 1
				d.MaybeScanArgs(t, "n", &n)
				for range n {
					plan = NewPlan(now, budget, "s", now.Add(duration(t, d, "deadline")))
				}
				return ""
			case "advance":
				now = now.Add(duration(t, d, "by"))
				return ""
			case "withdraw":
				withdrawn := 0
				for budget.Withdraw(now, "s") {
					withdrawn++
				}
				return fmt.Sprint(withdrawn)
			case "fail":
				return next(plan, now, d, duration(t, d, "retryAfter"))
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func next(plan *Plan, now time.Time, d *datadriven.TestData, retryAfter time.Duration) string {
	delay, ok := plan.Next(now, Failure{
		NotRun:        d.HasArg("notRun"),
		AnswerStarted: d.HasArg("answerStarted"),
		Idempotent:    d.HasArg("idempotent"),
		Resumable:     d.HasArg("resumable"),
		Draining:      d.HasArg("draining"),
		RetryAfter:    retryAfter,
	})
	if !ok {
		return "final"
	}
	within := "within backoff"
	if delay > defaultMaxBackoff*3/2 {
		within = delay.String()
	}
	return fmt.Sprintf("attempt %d %s", plan.Attempts(), within)
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(t, key, &text)
	v, err := time.ParseDuration(strings.TrimSpace(text))
	assert.NilError(t, err)
	return v
}

// TestRetryProperties checks with random requests and failures that each retry is safe and begins before the deadline,
// and that all retries together stay within the fraction of requests plus the reserve.
func TestRetryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		start := now
		fraction := rapid.Float64Range(0, 0.5).Draw(t, "fraction")
		reserve := rapid.IntRange(1, 10).Draw(t, "reserve")
		budget := NewBudget(WithFraction(fraction), WithReserve(reserve))
		requests, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			deadline := now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Millisecond)
			plan := NewPlan(now, budget, "s", deadline, WithMaxAttempts(rapid.IntRange(1, 5).Draw(t, "attempts")))
			requests++
			at := now
			for {
				f := Failure{
					NotRun:        rapid.Bool().Draw(t, "notRun"),
					AnswerStarted: rapid.Bool().Draw(t, "handedOver"),
					Idempotent:    rapid.Bool().Draw(t, "repeatable"),
					Resumable:     rapid.Bool().Draw(t, "resumable"),
				}
				delay, ok := plan.Next(at, f)
				if !ok {
					break
				}
				retries++
				at = at.Add(delay)
				assert.Assert(t, (f.NotRun || f.Idempotent) && (!f.AnswerStarted || f.Resumable))
				assert.Assert(t, delay > 0 && at.Before(deadline))
			}
		}
		refilled := float64(reserve) * now.Sub(start).Seconds() / reserveRefill.Seconds()
		assert.Assert(t, float64(retries) <= fraction*float64(requests)+float64(reserve)+refilled+1)
	})
}
