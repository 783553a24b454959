package toucaninstance

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerOfAResetEndpointIsNotComplete guards against the part of an answer without length that is taken for a whole one: the endpoint resets the
// connection while the request's body is being written.
func TestAnswerOfAResetEndpointIsNotComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf") // The client fails if it gets nothing.
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	client := http.Client{Transport: transport(1)}
	for range 400 {
		resp, err := client.Post("http://"+l.Addr().String(), "text/plain", io.MultiReader(bytes.NewReader(make([]byte, 8<<20))))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.Assert(t, err != nil, "%q as a whole answer", body)
	}
}
