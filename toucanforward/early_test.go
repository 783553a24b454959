package toucanforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanlogtest"
	"toucanport/toucanplace"
	"toucanport/toucantraffic"
)

// earlyEndpoint begins its answer before it has read a long body, and reads on. bodies receives each body.
func earlyEndpoint(t *testing.T, bodies chan<- []byte) *httptest.Server {
	const early = 64 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		assert.Check(t, control.EnableFullDuplex() == nil)
		var body bytes.Buffer
		_, err := io.CopyN(&body, r.Body, early)
		assert.Check(t, err == nil)
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerGenuine, "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n") // The body that arrives tells.
		_ = control.Flush()
		_, _ = io.Copy(&body, r.Body)
		bodies <- body.Bytes()
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server
}

// TestEarlyAnswerLeavesTheBodyWhole guards against a body with a hole (UNASKED): the endpoint begins its answer before it has read a long
// body, and the rest arrives after that. With memory for the body and without.
func TestEarlyAnswerLeavesTheBodyWhole(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789abcdef"), 43_750)
	for _, memory := range []int{0, 16 << 20} {
		sc := &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}, bodies: toucanbody.NewMemory(memory)}
		t.Cleanup(func() {
			if t.Failed() {
				t.Log(sc.log.All())
			}
		})
		sc.start()
		route := toucantraffic.Route{
			Name: "r", Host: "host", Prefix: "/p/", Kind: toucantraffic.Stream, Timeout: testTimeout, MaxAttempts: 1, Anonymous: true,
			Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
		}
		sc.traffic.Offer(toucantraffic.New(1, []toucantraffic.Route{route}, []toucantraffic.Service{{Name: "s"}}, nil, toucantraffic.Limits{BodyBytes: maxBody}))
		bodies := make(chan []byte, 1)
		address := strings.TrimPrefix(earlyEndpoint(t, bodies).URL, "http://")
		sc.placer.SetEndpoints([]toucanplace.Endpoint{{ID: "a", Address: address, FailureDomain: "d1", Service: "s", Slots: 4}})

		body, send := io.Pipe()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, sc.front.URL+"/p/x", body)
		assert.NilError(t, err)
		r.Host = "host"
		r.Header.Set(headerID, "id1")
		answered := make(chan struct{})
		go func() {
			half := len(want) / 2
			_, _ = send.Write(want[:half])
			if memory == 0 {
				<-answered // Otherwise the entry reads the whole body first.
			}
			_, _ = send.Write(want[half:])
			_ = send.Close()
		}()
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		close(answered)
		var got []byte
		select {
		case got = <-bodies:
		case <-ctx.Done():
		}
		assert.Assert(t, bytes.Equal(got, want), "memory %d: %d of %d bytes", memory, len(got), len(want))
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
}
