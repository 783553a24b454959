package toucandispatch

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
	"toucanport/toucanupstream"
	"toucanport/toucanwire"
)

// application is an application instance that answers each request by a function, which returns false to close the connection.
func application(t *testing.T, answer func(l net.Listener, c net.Conn, n int) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		n := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, req.Body) // A cut body fails the test.
				n++
				if !answer(l, c, n) {
					break
				}
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestAnswerThatEndsWithItsApplicationIsNotComplete guards against the part of an answer without length that is taken for a whole one, and
// recorded as the outcome of an order, because the application ended while it answered.
func TestAnswerThatEndsWithItsApplicationIsNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name        string
		answer      string
		method      string
		ends, whole bool
	}{
		{"no length, ended", "HTTP/1.1 200 OK\r\n\r\nhalf", http.MethodPost, true, false},
		{"no length, lives", "HTTP/1.1 200 OK\r\n\r\nwhole", http.MethodPost, false, true},
		{"a length, ended", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", http.MethodPost, true, true},
		{"a length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", http.MethodPost, false, false},
		{"without a body, ended", "HTTP/1.1 200 OK\r\n\r\n", http.MethodHead, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url := application(t, func(l net.Listener, c net.Conn, _ int) bool {
				_, _ = io.WriteString(c, tc.answer) // A call without an answer fails the test.
				if tc.ends {
					_ = l.Close()
				}
				return false
			})
			claims := toucanorder.New(toucanfakestore.New())
			defer func() { assert.NilError(t, claims.Close(t.Context())) }()
			d := New(url, &http.Transport{}, claims, slog.New(slog.DiscardHandler), WithEndChecker(toucanupstream.NewPool()))
			call := &toucanwire.Call{Method: tc.method, Path: "/cuts", Body: []byte("two panels"), IdempotencyKey: "k1"}
			response, refusal := d.Dispatch(t.Context(), call)
			assert.Equal(t, response != nil, tc.whole, "%v", refusal)
			if tc.whole {
				return
			}
			assert.Equal(t, refusal.GetRan(), toucanwire.RanUnknown)
			recorded, refusal := d.Dispatch(t.Context(), call)
			assert.Assert(t, recorded == nil, "a part was recorded as the outcome")
			assert.Equal(t, refusal.GetCode(), toucanwire.CodeOrderUnknown)
		})
	}
}

// TestRepeatedCallThatFindsNoApplicationMayHaveRun guards against a refusal that says "not run" although it may not be true: the transport makes a GET
// again out of sight when its kept connection breaks, and the second call finds that nothing listens.
func TestRepeatedCallThatFindsNoApplicationMayHaveRun(t *testing.T) {
	url := application(t, func(l net.Listener, c net.Conn, n int) bool {
		if n > 1 {
			_ = l.Close() // The second request was read, and may have run.
			return false
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // A call without an answer fails the test.
		return true
	})
	d := New(url, &http.Transport{}, nil, slog.New(slog.DiscardHandler))
	get := &toucanwire.Call{Method: http.MethodGet, Path: "/cuts"}
	_, refusal := d.Dispatch(t.Context(), get)
	assert.Assert(t, refusal == nil)
	_, refusal = d.Dispatch(t.Context(), get)
	assert.Equal(t, refusal.GetRan(), toucanwire.RanUnknown)
	_, refusal = d.Dispatch(t.Context(), get)
	assert.Equal(t, refusal.GetRan(), toucanwire.RanNo)
}
