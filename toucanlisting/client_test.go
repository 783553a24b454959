package toucanlisting_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakemember"
	"toucanport/toucanfakenet"
	"toucanport/toucanlisting"
	"toucanport/toucanmember"
)

// handlerTransport passes requests to a handler without a connection. It counts all requests and those answered with a
// list.
type handlerTransport struct {
	handler     http.Handler
	fullAnswers atomic.Int64
	calls       atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (h *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	h.calls.Add(1)
	if w.Code == http.StatusOK {
		h.fullAnswers.Add(1)
	}
	return w.Result(), nil
}

func TestListArrivesAfterLagAndOnlyWhenChanged(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		list := toucanfakemember.New(10 * time.Second)
		transport := &handlerTransport{handler: list}
		client := toucanlisting.New("http://10.0.0.3:80", toucanlisting.WithTransport(transport))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var latest atomic.Pointer[[]toucanmember.Listed]
		go client.Run(ctx, func(l []toucanmember.Listed) { latest.Store(&l) })
		list.Put(toucanmember.Listed{Instance: "a", State: toucanmember.StateLive})
		time.Sleep(9 * time.Second)
		assert.Equal(t, len(*latest.Load()), 0)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(*latest.Load()), 1)
		list.SetDown(true)
		list.Remove("a")
		time.Sleep(time.Minute)
		assert.Equal(t, len(*latest.Load()), 1)
		list.SetDown(false)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(*latest.Load()), 0)
		assert.Equal(t, transport.fullAnswers.Load(), int64(3))
		assert.Assert(t, transport.calls.Load() < 60)
		cancel()
		synctest.Wait()
	})
}

// TestLongListArrivesOverSlowLink checks that a list of many instances is read whole although it takes seconds to arrive.
func TestLongListArrivesOverSlowLink(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const bytesPerSecond = 64 << 10
		link := toucanfakenet.NewDownlink(bytesPerSecond)
		body := append(bytes.Repeat([]byte(" "), 4*bytesPerSecond), `{"instances":[]}`...)
		client := toucanlisting.New("http://10.0.0.3:80", toucanlisting.WithTransport(roundTripFunc(func(r *http.Request) (*http.Response, error) {
			return link.Throttle(r, &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}), nil
		})))
		_, changed, err := client.Poll(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, changed)
	})
}

// roundTripFunc adapts a function to http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
