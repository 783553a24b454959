package toucanupstream

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerWithoutStatusIsNone checks that neither a pool nor a checked transport returns an answer whose status line has no status.
func TestAnswerWithoutStatusIsNone(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 599 Odd": true, "HTTP/1.1 000 Zero": false, "HTTP/1.1 099 Below": false, "HTTP/1.1 +99 Sign": false,
		"HTTP/1.1 600 Above": false, "HTTP/1.1 999 Above": false, "HTTP/1.1 101 Switching Protocols": false,
	} {
		answer := head + "\r\nContent-Length: 2\r\n\r\nok" + closeMark
		s := serve(t, answer, answer)
		r, err := NewPool().Send(t.Context(), s.Addr().String(), 0, Message{Method: http.MethodGet, Target: "/", Host: "h"})
		assert.Equal(t, err == nil, valid, "%s: %v", head, err)
		if err == nil {
			r.Close()
		} else {
			assert.ErrorIs(t, err, ErrLost)
		}
		client := http.Client{Transport: CheckStatus(&http.Transport{DisableKeepAlives: true})}
		resp, err := client.Get("http://" + s.Addr().String())
		assert.Equal(t, err == nil, valid, "%s: %v", head, err)
		if err == nil {
			assert.NilError(t, resp.Body.Close())
		} else {
			assert.Assert(t, errors.Is(err, errNoStatus), "%v", err)
		}
	}
}
