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
	"toucanport/toucanrelay"
	"toucanport/toucanstop"
	"toucanport/toucantraffic"
)

// maxBufferedAnswer is the longest answer, in bytes, that is passed on only when it is whole.
const maxBufferedAnswer = toucanrelay.MaxBuffered

// TestLongFailureOfAnEndpointGetsAnAnswer guards against a failure of an engine's own that is longer than what is buffered, and that its caller gets
// cut (LOST).
func TestLongFailureOfAnEndpointGetsAnAnswer(t *testing.T) {
	s := newWaitingScene(t)
	s.setRoute(toucantraffic.AtMostOnce)
	s.answer = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, 2*maxBufferedAnswer)) // The server may not read all.
	}
	s.listEndpoint()
	assert.Equal(t, s.request(), http.StatusBadGateway)
}

// TestRequestThatWaitsIsNotSentLateInAStop guards against requests that are taken in time, wait for an endpoint, and are cut at the end of the
// stop (LOST), and against their being held when they can't be sent any more.
func TestRequestThatWaitsIsNotSentLateInAStop(t *testing.T) {
	for _, listed := range []bool{false, true} {
		s := newWaitingScene(t)
		const arrivals = 200 * time.Millisecond
		s.server.BeginStop(toucanstop.Stop{Began: time.Now(), End: time.Now().Add(testTimeout / 2), Arrivals: arrivals})
		answered := make(chan int, 1)
		go func() { answered <- s.request() }()
		assert.Assert(t, strings.Contains(s.log.Next(t, 1), "request held"))
		time.Sleep(arrivals)
		if listed {
			s.listEndpoint()
		}
		assert.Equal(t, <-answered, http.StatusServiceUnavailable)
		assert.Equal(t, len(s.arrived), 0)
		assert.Assert(t, strings.Contains(s.log.All(), `"reason":"stopping"`))
	}
}

// TestBrokenAttemptIsNotCalledUnrunInAStop guards against a 503 for a request that an engine may have run, as its retry comes too late in a stop (REFUSED).
func TestBrokenAttemptIsNotCalledUnrunInAStop(t *testing.T) {
	s := newWaitingScene(t)
	const arrivals = 100 * time.Millisecond
	s.answer = func(http.ResponseWriter, *http.Request) {
		time.Sleep(2 * arrivals)
		panic(http.ErrAbortHandler)
	}
	s.listEndpoint()
	s.server.BeginStop(toucanstop.Stop{Began: time.Now(), End: time.Now().Add(testTimeout / 2), Arrivals: arrivals})
	assert.Equal(t, s.request(), http.StatusBadGateway)
	assert.Equal(t, len(s.arrived), 1)
	assert.Assert(t, strings.Contains(s.log.All(), `"reason":"stopping"`))
}

// waitingScene is a server without endpoints, at which requests wait until the only one is listed.
type waitingScene struct {
	*deployment
	endpoint *httptest.Server
	// arrived receives a value for each request that reaches the endpoint.
	arrived chan struct{}
	// answer is how the endpoint answers.
	answer http.HandlerFunc
}

func newWaitingScene(t *testing.T) *waitingScene {
	s := &waitingScene{deployment: &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}, arrived: make(chan struct{}, 8)}
	s.start()
	s.answer = func(http.ResponseWriter, *http.Request) {}
	s.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived <- struct{}{}
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerGenuine, "yes")
		s.answer(w, r)
	}))
	t.Cleanup(s.endpoint.Close)
	s.setRoute(toucantraffic.Idempotent)
	return s
}

// setRoute sets the kind of the only route's requests.
func (s *waitingScene) setRoute(kind toucantraffic.Kind) {
	route := toucantraffic.Route{
		Name: "r", Host: "host", Prefix: "/p/", Kind: kind, Timeout: testTimeout, MaxAttempts: 2, Anonymous: true,
		Goal: 2 * time.Second, Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
	}
	version := uint64(1)
	if table := s.traffic.Table(); table != nil {
		version = table.Version + 1
	}
	s.traffic.Offer(toucantraffic.New(version, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s"}}, nil, toucantraffic.Limits{}))
}

// listEndpoint makes the endpoint known to the server, by two ids.
func (s *waitingScene) listEndpoint() {
	address := strings.TrimPrefix(s.endpoint.URL, "http://")
	var list []toucanplace.Endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, toucanplace.Endpoint{ID: id, Address: address, FailureDomain: "d1", Service: "s", Slots: 1})
	}
	s.placer.SetEndpoints(list)
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
