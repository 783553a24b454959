package toucanroute_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanretry"
	"toucanport/toucanroute"
)

// outcomeFunc returns the outcome of a request at an endpoint.
type outcomeFunc func(endpoint int) toucanroute.Outcome

func failHalfRefuseHalf(endpoint int) toucanroute.Outcome {
	if endpoint%2 == 0 {
		return toucanroute.Failed
	}
	return toucanroute.Refused
}

func failHalfServeHalf(endpoint int) toucanroute.Outcome {
	if endpoint%2 == 0 {
		return toucanroute.Failed
	}
	return toucanroute.Completed
}

// TestAttemptsPerRequestStayBoundedWhenHalfTheEndpointsFail checks that retries do not multiply the load: while half
// of the endpoints fail and the others serve or refuse requests, there are at most 1.2 attempts per request at any
// rate.
func TestAttemptsPerRequestStayBoundedWhenHalfTheEndpointsFail(t *testing.T) {
	const maxAttemptsPerRequest = 1.2
	for _, perSecond := range []int{1, 10, 100, 1000} {
		for name, a := range map[string]outcomeFunc{"refuse": failHalfRefuseHalf, "serve": failHalfServeHalf} {
			t.Run(fmt.Sprintf("%s at %d a second", name, perSecond), func(t *testing.T) {
				r := toucanroute.NewToucan(toucanroute.Config{Rand: rand.NewPCG(1, 2)})
				got := attemptsPerRequest(r, a, perSecond)
				t.Logf("attempts per request: toucan %.3f, naive %.3f", got, attemptsPerRequest(toucanroute.NewNaive(), a, perSecond))
				assert.Assert(t, got <= maxAttemptsPerRequest)
			})
		}
	}
}

// attemptsPerRequest runs one minute without faults, then one minute with outcomes from a, and returns the attempts
// per request of the second minute.
func attemptsPerRequest(r toucanroute.Router, a outcomeFunc, perSecond int) float64 {
	const endpoints = 16
	now := time.Unix(0, 0)
	es := make([]toucanroute.Endpoint, 0, endpoints)
	index := make(map[string]int)
	for i := range endpoints {
		es = append(es, toucanroute.Endpoint{Name: fmt.Sprint(i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1")})
		index[es[i].Name] = i
	}
	r.SetEndpoints(now, "s", es)
	budget := toucanretry.NewBudget()
	requests, attempts := 60*perSecond, 0
	serve := func(int) toucanroute.Outcome { return toucanroute.Completed }
	for range requests {
		now = now.Add(time.Second / time.Duration(perSecond))
		runRequest(r, serve, index, budget, now)
	}
	for range requests {
		now = now.Add(time.Second / time.Duration(perSecond))
		attempts += runRequest(r, a, index, budget, now)
	}
	return float64(attempts) / float64(requests)
}

func runRequest(r toucanroute.Router, a outcomeFunc, index map[string]int, budget *toucanretry.Budget, now time.Time) int {
	q := toucanroute.Query{Service: "s", PromptTokens: 100}
	plan := toucanretry.NewPlan(now, budget, "s", now.Add(time.Second))
	attempts := 0
	for {
		e, err := r.Pick(now, q)
		if err != nil {
			return attempts
		}
		attempts++
		r.RecordSent(now, e.Name, q)
		o := a(index[e.Name])
		r.RecordOutcome(now, e.Name, q, o, 0)
		if o == toucanroute.Completed {
			return attempts
		}
		delay, ok := plan.Next(now, toucanretry.Failure{NotRun: true})
		if !ok {
			return attempts
		}
		now = now.Add(delay)
		q.Exclude = append(q.Exclude, e.Name)
	}
}
