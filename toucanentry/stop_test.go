package toucanentry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanadmit"
	"toucanport/toucanapi"
	"toucanport/toucanrig"
)

// stopGrace is the time that an entry has for a stop.
const stopGrace = 5 * time.Second

// stopAfter begins a graceful stop of the entry after a delay and returns the channel for its result.
func (p *deployment) stopAfter(delay time.Duration) <-chan error {
	stopped := make(chan error, 1)
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		stopped <- p.entry.Shutdown(ctx)
	})
	return stopped
}

// assertLeaving checks that an answer is a refusal by a stopping entry.
func assertLeaving(t *testing.T, resp *http.Response, ran string) {
	t.Helper()
	var b toucanapi.ErrorBody
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&b))
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, "%+v", b.Error)
	assert.Equal(t, b.Error.Code, "leaving")
	assert.Equal(t, b.Error.Ran, ran)
}

func TestStreamWithoutATokenIsAnsweredAtTheEndOfAStop(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeploymentWithPolicy(t, &pausedPolicy{Policy: toucanadmit.NewNaive(toucanadmit.Config{})})
		defer p.stop()
		stopped := p.stopAfter(time.Second)
		resp := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 50))
		defer resp.Body.Close()
		assertLeaving(t, resp, "unknown")
		assert.NilError(t, <-stopped)
	})
}

func TestResumedStreamEndsWithAnErrorAtTheEndOfAStop(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		first := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 20000))
		defer first.Body.Close()
		resumed := p.do(t, http.MethodGet, "/v1/generations/"+first.Header.Get("Toucan-Generation-Id"), testKey, "")
		defer resumed.Body.Close()
		stopped := p.stopAfter(0)
		tokens, e := readUntilError(t, resumed.Body)
		assert.Assert(t, tokens > 0)
		assert.Equal(t, e.Code, "leaving")
		assert.Equal(t, e.Ran, "partly")
		assert.NilError(t, <-stopped)
		time.Sleep(time.Minute) // The sidecar ends a generation that nobody reads.
	})
}

func TestResumeWithoutATokenIsAnsweredAtTheEndOfAStop(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		first := p.do(t, http.MethodPost, "/v1/completions", testKey, fmt.Sprintf(streamBody, 20000))
		defer first.Body.Close()
		id := first.Header.Get("Toucan-Generation-Id")
		p.net.Set(toucanrig.LinkName{From: "10.0.0.1", To: sidecarAddr}, toucanrig.LinkState{RepliesStalled: true})
		stopped := p.stopAfter(time.Second)
		resumed := p.do(t, http.MethodGet, "/v1/generations/"+id, testKey, "", "Last-Event-ID", id+":0")
		defer resumed.Body.Close()
		assertLeaving(t, resumed, "partly")
		assert.NilError(t, <-stopped)
		time.Sleep(time.Minute) // The sidecar ends a generation that nobody reads.
	})
}

// postSlowly sends a request whose body is whole only after a delay, and returns the answer.
func (p *deployment) postSlowly(t *testing.T, body string, delay time.Duration) *http.Response {
	t.Helper()
	conn := p.connect(t, entryAddr)
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body[:10])
	assert.NilError(t, err)
	time.AfterFunc(delay, func() { _, _ = conn.Write([]byte(body[10:])) }) // Fails if the entry has closed.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return resp
}

func TestSlowBodyIsAnsweredAtTheEndOfAStop(t *testing.T) {
	for _, delay := range []time.Duration{500*time.Millisecond + stopGrace, 2 * stopGrace} {
		t.Run(delay.String(), func(t *testing.T) {
			withFakeClock(t, func(t *testing.T) {
				p := startDeployment(t)
				defer p.stop()
				stopped := p.stopAfter(time.Second)
				begun := time.Now()
				resp := p.postSlowly(t, fmt.Sprintf(streamBody, 50), delay)
				defer resp.Body.Close()
				assert.Assert(t, time.Since(begun) < time.Second+stopGrace)
				assertLeaving(t, resp, "no")
				assert.NilError(t, <-stopped)
				assert.Equal(t, len(p.ledger.Generations()), 0)
			})
		})
	}
}

func TestStalledLinkDoesNotDelayTheAnswersAtTheEndOfAStop(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		stopped := p.stopAfter(time.Second)
		begun := time.Now()
		link := toucanrig.LinkName{From: "10.0.0.1", To: sidecarAddr}
		time.AfterFunc(stopGrace-200*time.Millisecond, func() { p.net.Set(link, toucanrig.LinkState{RequestsStalled: true}) })
		body := fmt.Sprintf(streamBody, 50)
		body = strings.Replace(body, "a plan", strings.Repeat("a plan ", 1<<17), 1) // More than the link's window.
		resp := p.postSlowly(t, body, stopGrace-100*time.Millisecond)
		defer resp.Body.Close()
		assert.Assert(t, time.Since(begun) < time.Second+stopGrace)
		assertLeaving(t, resp, "unknown")
		assert.NilError(t, <-stopped)
		p.net.Set(link, toucanrig.LinkState{})
		time.Sleep(time.Minute) // Dials and generations end.
	})
}

// answer is a whole answer that was read from a connection.
type answer struct {
	status       int
	generationID string
	closes       bool
	body         string
}

// send writes a request to an open connection and returns its answer.
func send(t *testing.T, conn net.Conn, request string) answer {
	t.Helper()
	_, err := io.WriteString(conn, request)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return answer{status: resp.StatusCode, generationID: resp.Header.Get("Toucan-Generation-Id"), closes: resp.Close, body: string(body)}
}

// rawStream is a request for a stream of a number of tokens.
func rawStream(tokens int) string {
	body := fmt.Sprintf(streamBody, tokens)
	return rawPost(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

func TestRequestOnAnOpenConnectionIsAnsweredDuringAStop(t *testing.T) {
	const health = "GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n"
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		balancer, caller := p.connect(t, entryAddr), p.connect(t, entryAddr)
		for _, conn := range []net.Conn{balancer, caller} {
			defer conn.Close()
			assert.Equal(t, send(t, conn, health).status, http.StatusOK)
		}
		stopped := p.stopAfter(0)
		time.Sleep(time.Second)
		unready := send(t, balancer, health)
		assert.Equal(t, unready.status, http.StatusServiceUnavailable)
		assert.Assert(t, unready.closes)
		served := send(t, caller, rawStream(50))
		checkStream(t, strings.NewReader(served.body), served.generationID, 0, 50)
		assert.Assert(t, served.closes)
		assert.NilError(t, <-stopped)
	})
}
