package toucanstore

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakenet"
)

// slowTransport answers each call with a body that arrives over a slow link.
type slowTransport struct {
	link *toucanfakenet.Downlink
	body []byte
}

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(s.body))}
	return s.link.Throttle(r, resp), nil
}

// TestLongListArrivesOverSlowLink checks that a list that takes ten times the timeout of a call is read whole.
func TestLongListArrivesOverSlowLink(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const bytesPerSecond = 1 << 20
		body := append(bytes.Repeat([]byte(" "), 10*bytesPerSecond), "[]"...)
		c := NewClient("http://store.example", WithTimeout(time.Second), WithTransport(&slowTransport{link: toucanfakenet.NewDownlink(bytesPerSecond), body: body}))
		_, err := c.List(t.Context(), "documents/")
		assert.NilError(t, err)
	})
}

// endlessTransport answers each call with a body without end, and counts its bytes.
type endlessTransport struct{ sent int }

// RoundTrip implements http.RoundTripper.
func (e *endlessTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(e)}, nil
}

// Read implements io.Reader. It fails after some times the bound.
func (e *endlessTransport) Read(p []byte) (int, error) {
	if e.sent > 8*maxReplyBytes {
		return 0, io.ErrUnexpectedEOF
	}
	e.sent += len(p)
	return len(p), nil
}

// TestEndlessReplyIsBounded guards against a reply without end that takes the memory of the process.
func TestEndlessReplyIsBounded(t *testing.T) {
	var endless endlessTransport
	_, err := NewClient("http://store.example", WithTries(1), WithTransport(&endless)).List(t.Context(), "documents/")
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, endless.sent < 2*maxReplyBytes, "%d bytes were read", endless.sent)
}
