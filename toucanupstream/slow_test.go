package toucanupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readPause is how long an endpoint reads nothing, which is longer than the connection to a dead one is kept.
const readPause = 4 * time.Second

// TestEndpointThatReadsLaterKeepsItsConnection guards against an endpoint that reads nothing of a long body for some seconds being taken for a
// dead one (LOST): one that answers meanwhile, and one that answers once it has read the body.
func TestEndpointThatReadsLaterKeepsItsConnection(t *testing.T) {
	const part = "0123456789"
	for _, tc := range []struct {
		name  string
		early bool
	}{{"answers before it reads", true}, {"answers after it has read", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			received := make(chan int64, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: %d\r\n\r\n", 2*len(part))
				if tc.early {
					_, _ = io.WriteString(c, head+part) // If it fails, so does the test.
				}
				time.Sleep(readPause)
				if !tc.early {
					n, _ := io.Copy(io.Discard, r.Body) // If it fails, too few bytes have come.
					received <- n
					_, _ = io.WriteString(c, head+part) // As above.
				}
				_, _ = io.WriteString(c, part) // As above.
				_, _ = io.Copy(io.Discard, r.Body)
			}()
			m := message()
			m.Method, m.Body = http.MethodPost, Bytes(make([]byte, longBytes))
			resp, err := NewPool().Send(t.Context(), l.Addr().String(), 0, m)
			assert.NilError(t, err)
			defer resp.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), part+part)
			if !tc.early {
				assert.Equal(t, <-received, int64(longBytes))
			}
		})
	}
}
