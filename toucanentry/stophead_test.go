package toucanentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestWhoseHeadIsBeingReadIsAnsweredInAStop guards against a request on a used connection that is cut without an answer, because the entry
// closes the connections of callers while the head is being read.
func TestRequestWhoseHeadIsBeingReadIsAnsweredInAStop(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		conn := p.connect(t, entryAddr)
		defer func() { _ = conn.Close() }()
		answers := bufio.NewReader(conn)
		body := strings.Replace(fmt.Sprintf(streamBody, 5), `"stream":true`, `"stream":false`, 1)
		request := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		answer := func() int {
			resp, err := http.ReadResponse(answers, nil)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			return resp.StatusCode
		}
		_, err := io.WriteString(conn, request)
		assert.NilError(t, err)
		assert.Equal(t, answer(), http.StatusOK)
		stopped := p.stopAfter(0)
		time.Sleep(stopGrace/2 - time.Millisecond) // The entry closes connections after half of its time.
		_, err = io.WriteString(conn, request[:len(request)/4])
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, request[len(request)/4:])
		assert.NilError(t, err)
		assert.Equal(t, answer(), http.StatusOK)
		assert.NilError(t, <-stopped)
		time.Sleep(time.Minute) // The sidecar forgets the generations.
	})
}
