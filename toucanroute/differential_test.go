package toucanroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

const (
	simulated      = time.Minute
	reportInterval = 500 * time.Millisecond
	// serveTime is the mean time that an endpoint needs for a request.
	serveTime = 100 * time.Millisecond
)

// simulation is endpoints that serve one request after the other, and requests that come at random.
type simulation struct {
	endpoints int
	// load is the requests that come, relative to what all endpoints can serve.
	load float64
	// slowness multiplies the serve times of the first endpoint.
	slowness float64
	// dead endpoints fail every request at once, with their reports as if they were idle.
	dead int
}

type served struct {
	endpoint int
	query    Query
	at       time.Time
	sent     time.Time
}

// TestDifferential compares the 95th percentile of the time to an answer under both policies on the same arrivals.
func TestDifferential(t *testing.T) {
	datadriven.Walk(t, "testdata/differential", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := simulation{endpoints: 14, load: 0.7, slowness: 1}
			d.MaybeScanArgs(t, "endpoints", &s.endpoints)
			d.MaybeScanArgs(t, "dead", &s.dead)
			s.load, s.slowness = number(t, d, "load", s.load), number(t, d, "slowness", s.slowness)
			toucan, failures := s.run(NewToucan(Config{FailureDomain: "a", Rand: rand.NewPCG(1, 2)}))
			naive, naiveFailures := s.run(NewNaive())
			t.Logf("toucan %v, %d failures; naive %v, %d failures", toucan, failures, naive, naiveFailures)
			assert.Assert(t, toucan <= naive)
			assert.Assert(t, failures <= naiveFailures)
			even := s
			even.slowness = 1
			without, _ := even.run(NewToucan(Config{FailureDomain: "a", Rand: rand.NewPCG(1, 2)}))
			t.Logf("toucan without the slow endpoint %v", without)
			const maxGrowth = 1.25
			assert.Assert(t, toucan.Seconds() <= maxGrowth*without.Seconds())
			return ""
		})
	})
}

func number(t *testing.T, d *datadriven.TestData, key string, missing float64) float64 {
	if !d.HasArg(key) {
		return missing
	}
	var text string
	d.ScanArgs(t, key, &text)
	v, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return v
}

// run returns the 95th percentile and the requests that failed.
func (s simulation) run(r Router) (p95 time.Duration, failures int) {
	rnd := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(0, 0)
	end := now.Add(simulated)
	r.SetEndpoints(now, "s", newEndpoints(s.endpoints))
	free := make([]time.Time, s.endpoints)
	sequence := uint64(0)
	reported := time.Time{}
	var pending []served
	var took []time.Duration
	for now.Before(end) {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(serveTime) / s.load / float64(s.endpoints)))
		pending = s.finish(r, now, pending, &took)
		if now.Sub(reported) >= reportInterval {
			reported = now
			sequence++
			s.report(r, now, sequence, free, pending)
		}
		q := Query{Service: "s", PromptTokens: 10, MaxTokens: 10}
		needed := time.Duration(rnd.ExpFloat64() * float64(serveTime))
		e, err := r.Pick(now, q)
		if err != nil {
			failures++
			continue
		}
		i, _ := strconv.Atoi(e.Name[1:])
		r.Sent(now, e.Name, q)
		if i >= s.endpoints-s.dead {
			failures++
			r.Finished(now, e.Name, q, Failed, 0)
			continue
		}
		if i == 0 {
			needed = time.Duration(float64(needed) * s.slowness)
		}
		begin := now
		if free[i].After(now) {
			begin = free[i]
		}
		free[i] = begin.Add(needed)
		pending = append(pending, served{endpoint: i, query: q, at: free[i], sent: now})
	}
	slices.Sort(took)
	return took[len(took)*95/100], failures
}

func (s simulation) finish(r Router, now time.Time, pending []served, took *[]time.Duration) []served {
	return slices.DeleteFunc(pending, func(p served) bool {
		if p.at.After(now) {
			return false
		}
		d := p.at.Sub(p.sent)
		*took = append(*took, d)
		r.Finished(p.at, fmt.Sprintf("e%d", p.endpoint), p.query, Completed, d)
		return true
	})
}

func (s simulation) report(r Router, now time.Time, sequence uint64, free []time.Time, pending []served) {
	counts := make([]int, s.endpoints)
	for _, p := range pending {
		counts[p.endpoint]++
	}
	for i := range s.endpoints {
		step := serveTime / 10
		if i == 0 {
			step = time.Duration(float64(step) * s.slowness)
		}
		r.Report(now, Load{
			BootID: 1, Sequence: sequence, Endpoint: fmt.Sprintf("e%d", i), Healthy: true,
			Running: counts[i], StepTime: step, Wait: max(0, free[i].Sub(now)),
		})
	}
}
