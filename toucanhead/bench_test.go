package toucanhead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures an ordinary request on a kept connection, with and without a gate.
func BenchmarkRequest(b *testing.B) {
	for _, gated := range []bool{false, true} {
		name := "plain"
		if gated {
			name = "gated"
		}
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, gated) })
	}
}

func benchmarkRequest(b *testing.B, gated bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	address := ln.Addr().String()
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The answer shows that the request is whole.
		_, _ = io.WriteString(w, "answer")
	})}
	if gated {
		g := New(Limits{MemoryBytes: 1 << 20, HeadBytes: func() int { return headLimit }}, func(Event) {})
		g.Attach(h)
		ln = g.Listen(ln)
	}
	go func() { _ = h.Serve(ln) }()
	b.Cleanup(func() { _ = h.Close() })
	c, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = c.Close() })
	request := "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nUser-Agent: client\r\nRequest-Id: 9c41d07be2a35f68\r\nDeadline: 1000\r\n" +
		"Key: xd9dnn2ctnfzs989anu6\r\nContent-Type: application/json\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
	answers := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(c, request)
		assert.NilError(b, err)
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		assert.NilError(b, resp.Body.Close())
	}
}
