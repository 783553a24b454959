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

// TestClosedServerSendsNothing guards against a request that is read from an idle connection while that is being closed, is sent to an endpoint
// and gets no answer (LOST).
func TestClosedServerSendsNothing(t *testing.T) {
	s := newWaitingScene(t)
	s.listEndpoint()
	s.server.BeginStop(Stop{End: time.Now().Add(2 * testTimeout)})
	assert.Assert(t, s.server.Close())
	assert.Equal(t, s.request(), http.StatusServiceUnavailable)
	assert.Equal(t, len(s.arrived), 0)
}

// TestServerWithARequestIsNotClosed checks that Close refuses nothing while a request is in progress.
func TestServerWithARequestIsNotClosed(t *testing.T) {
	s := newWaitingScene(t)
	answered := make(chan int, 1)
	go func() { answered <- s.request() }()
	assert.Assert(t, strings.Contains(s.log.Next(t, 1), "request held"))
	assert.Assert(t, !s.server.Close())
	s.listEndpoint()
	assert.Equal(t, <-answered, http.StatusBadGateway) // The endpoint's answer is not signed.
	assert.Assert(t, s.server.Close())
}

// TestRequestThatWaitedIsNotSentLateInAStop guards against requests that are taken in time, wait for an endpoint, and are cut at the end of the
// stop (LOST).
func TestRequestThatWaitedIsNotSentLateInAStop(t *testing.T) {
	s := newWaitingScene(t)
	const arrivals = 200 * time.Millisecond
	s.server.BeginStop(Stop{End: time.Now().Add(testTimeout / 2), Arrivals: arrivals})
	answered := make(chan int, 1)
	go func() { answered <- s.request() }()
	assert.Assert(t, strings.Contains(s.log.Next(t, 1), "request held"))
	time.Sleep(arrivals)
	s.listEndpoint()
	assert.Equal(t, <-answered, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.arrived), 0)
}

// waitingScene is a server without endpoints, at which requests wait until the only one is listed.
type waitingScene struct {
	*deployment
	endpoint *httptest.Server
	// arrived receives a value for each request that reaches the endpoint.
	arrived chan struct{}
}

func newWaitingScene(t *testing.T) *waitingScene {
	s := &waitingScene{deployment: &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}, arrived: make(chan struct{}, 1)}
	s.start()
	s.endpoint = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.arrived <- struct{}{} }))
	t.Cleanup(s.endpoint.Close)
	route := toucantraffic.Route{
		Name: "r", Host: "host", Prefix: "/p/", Kind: toucantraffic.Idempotent, Timeout: testTimeout, MaxAttempts: 1, Anonymous: true,
		Goal: 2 * time.Second, Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
	}
	s.traffic.Offer(toucantraffic.New(1, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s"}}, nil, toucantraffic.Limits{}))
	return s
}

// listEndpoint makes the endpoint known to the server.
func (s *waitingScene) listEndpoint() {
	address := strings.TrimPrefix(s.endpoint.URL, "http://")
	s.placer.SetEndpoints([]toucanplace.Endpoint{{ID: "a", Address: address, FailureDomain: "d1", Service: "s", Slots: 1}})
}

// request makes a request and returns the status of its answer.
func (s *waitingScene) request() int {
	r := httptest.NewRequest(http.MethodPost, "/p/x", nil)
	r.Host = "host"
	r.Header.Set(headerID, "one")
	w := httptest.NewRecorder()
	s.server.ServeHTTP(w, r)
	return w.Code
}
