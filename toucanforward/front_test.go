package toucanforward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanhead"
	"toucanport/toucanlogtest"
	"toucanport/toucantraffic"
)

const (
	// headMemory is the memory in bytes for the heads of the requests of a deployment.
	headMemory = 16 << 20
	// closedEvents is more than the number of connections that a test opens.
	closedEvents = 1000
)

// startFront starts the server for callers, behind a gate as in the product.
func (sc *deployment) startFront() *httptest.Server {
	front := httptest.NewUnstartedServer(sc.server)
	closed := make(chan struct{}, closedEvents)
	front.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	gate := toucanhead.New(toucanhead.Limits{HeadBytes: func() int { return toucanhead.MaxHeadBytes }, MemoryBytes: headMemory}, func(toucanhead.Event) {})
	gate.Attach(front.Config)
	front.Listener = gate.Listen(front.Listener)
	front.Start()
	sc.front, sc.closed = front, closed
	return front
}

// TestRefusalReachesACallerThatSendsOn guards against a refusal that is lost to a reset (LOST): the body is not read to its end, as there is no
// memory for it, and the caller sends the rest and reads the answer only once the entry is done with the connection.
func TestRefusalReachesACallerThatSendsOn(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 600_000)
	const sentBefore = 100_000
	for _, header := range []string{"", "Connection: close\r\n"} {
		sc := &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}, bodies: toucanbody.NewMemory(0)}
		sc.start()
		route := toucantraffic.Route{
			Name: "r", Host: "host", Prefix: "/p/", Kind: toucantraffic.Stream, Timeout: testTimeout, MaxAttempts: 1, Anonymous: true,
			Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
		}
		sc.traffic.Offer(toucantraffic.New(1, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s"}}, nil, toucantraffic.Limits{BodyBytes: maxBody}))
		c, err := net.Dial("tcp", sc.front.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err = fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: host\r\n%s%s: id1\r\nContent-Length: %d\r\n\r\n%s", header, headerID, len(body), body[:sentBefore])
		assert.NilError(t, err)
		select {
		case <-sc.closed:
		case <-time.After(testTimeout):
			t.Fatal("the entry has not ended the connection")
		}
		_, err = c.Write(body[sentBefore:])
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		_, err = c.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF) // And not a reset.
	}
}
