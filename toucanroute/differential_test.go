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
	// serveTime is the mean time that an endpoint takes to serve a request.
	serveTime = 100 * time.Millisecond
)

// simulation describes endpoints that serve one request at a time, and requests that arrive at random.
type simulation struct {
	endpoints int
	// load is the rate of arriving requests relative to the capacity of all endpoints.
	load float64
	// slowness is the factor by which the first endpoint takes longer to serve requests.
	slowness float64
	// dead is the number of endpoints that fail every request immediately and report that they are idle.
	dead int
}

type pendingRequest struct {
	endpoint int
	query    Query
	at       time.Time
	sent     time.Time
}

// TestToucanIsNoSlowerThanNaive compares both policies on the same arrivals. The toucan policy must not have a higher
// 95th percentile of response times, nor more failures. A slow endpoint must not raise its percentile by more than a
// quarter.
func TestToucanIsNoSlowerThanNaive(t *testing.T) {
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

// run returns the 95th percentile of response times and the number of failed requests.
func (s simulation) run(r Router) (p95 time.Duration, failures int) {
	rnd := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(0, 0)
	end := now.Add(simulated)
	r.SetEndpoints(now, "s", newEndpoints(s.endpoints))
	free := make([]time.Time, s.endpoints)
	sequence := uint64(0)
	reported := time.Time{}
	var pending []pendingRequest
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
		r.RecordSent(now, e.Name, q)
		if i >= s.endpoints-s.dead {
			failures++
			r.RecordOutcome(now, e.Name, q, Failed, 0)
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
		pending = append(pending, pendingRequest{endpoint: i, query: q, at: free[i], sent: now})
	}
	slices.Sort(took)
	return took[len(took)*95/100], failures
}

func (s simulation) finish(r Router, now time.Time, pending []pendingRequest, took *[]time.Duration) []pendingRequest {
	return slices.DeleteFunc(pending, func(p pendingRequest) bool {
		if p.at.After(now) {
			return false
		}
		d := p.at.Sub(p.sent)
		*took = append(*took, d)
		r.RecordOutcome(p.at, fmt.Sprintf("e%d", p.endpoint), p.query, Completed, d)
		return true
	})
}

func (s simulation) report(r Router, now time.Time, sequence uint64, free []time.Time, pending []pendingRequest) {
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
