package toucanrelay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanevent"
	"toucanport/toucanupstream"
)

// running is a Generation that no endpoint was asked to stop.
type running struct{}

// Passing implements Generation.
func (running) Passing() {}

// StopRequested implements Generation.
func (running) StopRequested() bool { return false }

// liveEndpoint is an EndChecker of an endpoint that has not ended.
type liveEndpoint struct{}

// HasEnded implements EndChecker.
func (liveEndpoint) HasEnded(context.Context, string) bool { return false }

// TestWholeStreamIsDeliveredAlsoAtItsEnd guards against a stream that is cut although its framed end was read, since its request was ended
// at the same moment. Without that end, it is not whole.
func TestWholeStreamIsDeliveredAlsoAtItsEnd(t *testing.T) {
	for _, framed := range []bool{true, false} {
		ctx, cancel := context.WithCancelCause(t.Context())
		out := httptest.NewRecorder()
		w := NewWriter(out)
		w.HoldHead(Answer{Status: 200})
		s := Stream{Writer: &w, Events: toucanevent.New(toucanevent.WithMemory(toucanbody.NewMemory(1 << 20).Reservation(FreeBytes))), Ends: liveEndpoint{}}
		cancel(errors.New("the entry stops"))
		err := s.Pass(ctx, &toucanupstream.Response{Framed: framed, Body: strings.NewReader("id: 1\ndata: a\n\n")}, "", running{})
		assert.Equal(t, err == nil, framed, "%v", err)
		assert.Equal(t, out.Body.String(), "id: 1\ndata: a\n\n")
	}
}
