package toucanforward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanplace"
	"toucanport/toucanretry"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
)

// benchEvents is the number of events of the streams of BenchmarkStream.
const benchEvents = 200

// BenchmarkPlain measures one plain request.
func BenchmarkPlain(b *testing.B) { benchmarkRequest(b, toucantraffic.Idempotent, 0) }

// BenchmarkStream measures one stream of benchEvents events, each of which arrives alone.
func BenchmarkStream(b *testing.B) { benchmarkRequest(b, toucantraffic.Stream, benchEvents) }

func benchmarkRequest(b *testing.B, kind toucantraffic.Kind, events int) {
	traffic := &toucantraffic.Current{}
	route := toucantraffic.Route{
		Name: "r", Host: "host", Prefix: "/p/", Kind: kind, Timeout: testTimeout, MaxAttempts: 1, Anonymous: true,
		Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
	}
	traffic.Offer(toucantraffic.New(1, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s"}}, nil, toucantraffic.Limits{}))
	s := New(Config{
		Codec: testCodec{}, Moves: &coordinatorWithoutPeers{}, Traffic: traffic, Placer: toucanplace.NewPlacer("d1"),
		Pool: toucanupstream.NewPool(), Budget: toucanretry.NewBudget(), Log: slog.New(slog.DiscardHandler),
	})
	s.placer.SetEndpoints([]toucanplace.Endpoint{{ID: "a", Address: benchEndpoint(b, events), FailureDomain: "d1", Service: "s", Slots: 4}})
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/p/x", nil)
		r.Host = "host"
		r.Header.Set(headerID, "one")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		assert.Equal(b, w.Code, http.StatusOK)
	}
}

// benchEndpoint answers every request with the same bytes and returns its address. Without events, its answer is plain.
func benchEndpoint(b *testing.B, events int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: one\r\n%s: yes\r\n", headerID, headerGenuine)
	parts := [][]byte{[]byte(head + "Content-Length: 2\r\n\r\nok")}
	if events > 0 {
		parts = [][]byte{[]byte(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")}
	}
	for i := range events {
		event := fmt.Sprintf("id: %d\ndata: t\n\n", i+1)
		parts = append(parts, fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event))
	}
	if events > 0 {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, parts)
		}
	}()
	return listener.Addr().String()
}

// answerAll answers the requests without bodies on a connection until it ends.
func answerAll(conn io.ReadWriteCloser, parts [][]byte) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewReader(conn)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		for _, p := range parts {
			if _, err := conn.Write(p); err != nil {
				return
			}
		}
	}
}
