package toucanforward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanlogtest"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

// TestAdmitsWhileStopping checks which requests a server that stops sends to an endpoint: before callers can know of the stop, and after.
func TestAdmitsWhileStopping(t *testing.T) {
	now := time.Now()
	until := now.Add(5 * time.Second)
	tests := []struct {
		name     string
		kind     toucantraffic.Kind
		deadline time.Duration
		// early and late are the admissions before and after the arrivals of new connections have ended.
		early, late admission
	}{
		{"order that ends in time", toucantraffic.AtMostOnce, 5 * time.Second, admittedDeadline, admittedDeadline},
		{"order with a later deadline", toucantraffic.AtMostOnce, 6 * time.Second, "", ""},
		{"read with a later deadline", toucantraffic.Idempotent, 6 * time.Second, admittedPace, ""},
		{"short stream that ends in time", toucantraffic.Stream, 5 * time.Second, admittedDeadline, admittedDeadline},
		{"short stream with a later deadline", toucantraffic.Stream, 6 * time.Second, admittedPace, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			j := &job{deadline: now.Add(tc.deadline), route: toucantraffic.Route{Kind: tc.kind, Goal: 1500 * time.Millisecond}}
			j.demand.Output = 3
			assert.Equal(t, stopTimes{began: now, until: until, arrivals: now.Add(time.Second)}.admit(now, j), tc.early)
			assert.Equal(t, stopTimes{began: now, until: until, arrivals: now.Add(-time.Second)}.admit(now, j), tc.late)
			assert.Equal(t, stopTimes{began: now}.admit(now, j), admittedNoBound)
		})
	}
}

// TestRequestThatWaitedIsNotSentLateInAStop guards against requests that are taken in time, wait for an endpoint, and are cut at the end of the
// stop (LOST).
func TestRequestThatWaitedIsNotSentLateInAStop(t *testing.T) {
	sc := &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}
	sc.start()
	arrived := make(chan struct{}, 1)
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- struct{}{} }))
	t.Cleanup(endpoint.Close)
	route := toucantraffic.Route{
		Name: "r", Host: "host", Prefix: "/p/", Kind: toucantraffic.Idempotent, Timeout: testTimeout, MaxAttempts: 1, Anonymous: true,
		Goal: 2 * time.Second, Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
	}
	sc.traffic.Offer(toucantraffic.New(1, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s"}}, nil, toucantraffic.Limits{}))
	const arrivals = 200 * time.Millisecond
	sc.server.BeginStop(Stop{End: time.Now().Add(testTimeout / 2), Arrivals: arrivals})

	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		r := httptest.NewRequest(http.MethodPost, "/p/x", nil)
		r.Host = "host"
		r.Header.Set(headerID, "waits")
		w := httptest.NewRecorder()
		sc.server.ServeHTTP(w, r)
		answered <- w
	}()
	assert.Assert(t, strings.Contains(sc.log.Next(t, 1), "request held"))
	time.Sleep(arrivals)
	address := strings.TrimPrefix(endpoint.URL, "http://")
	sc.placer.SetEndpoints([]toucanplace.Endpoint{{ID: "a", Address: address, FailureDomain: "d1", Service: "s", Slots: 1}})
	assert.Equal(t, (<-answered).Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(arrived), 0)
}
