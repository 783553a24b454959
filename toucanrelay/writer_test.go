package toucanrelay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanhead"
)

// TestCutAnswerIsNoWholeOne guards against a cut stream that reaches its caller as a complete success: in HTTP/1.0, the end of the
// connection is the end of the answer. The connections of entries are those of a gate.
func TestCutAnswerIsNoWholeOne(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, gated := range []bool{false, true} {
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				w := NewWriter(rw)
				w.HoldHead(Answer{Status: http.StatusOK})
				assert.Check(t, w.WriteEvents([]byte(event)) == nil)
				w.Abort(r)
			}))
			if gated {
				g := toucanhead.New(toucanhead.Limits{HeadBytes: func() int { return 1 << 10 }, MemoryBytes: 1 << 20}, func(toucanhead.Event) {})
				s.Listener = g.Listen(s.Listener)
				g.Attach(s.Config)
			}
			s.Start()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "GET / "+proto+"\r\nHost: host\r\n\r\n")
			assert.NilError(t, err)
			assert.Assert(t, !isWhole(conn), "%s, gated %t", proto, gated)
			assert.NilError(t, conn.Close())
			s.Close()
		}
	}
}

// isWhole reports whether a whole answer can be read.
func isWhole(r io.Reader) bool {
	in := &http.Request{Method: http.MethodGet}
	resp, err := http.ReadResponse(bufio.NewReader(r), in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.Body.Close() == nil
}
