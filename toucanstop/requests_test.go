package toucanstop

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlineWriter records the deadline of reads.
type deadlineWriter struct {
	http.ResponseWriter
	readDeadline time.Time
}

// SetReadDeadline is what http.ResponseController calls.
func (w *deadlineWriter) SetReadDeadline(at time.Time) error {
	w.readDeadline = at
	return nil
}

// TestBodyThatBeginsAtTheEndIsNotAwaited guards against a request whose caller gets no answer in a stop, since the reading of its body began
// just after the requests were ended.
func TestBodyThatBeginsAtTheEndIsNotAwaited(t *testing.T) {
	for _, begun := range []bool{true, false} {
		ctx, cancel := context.WithCancelCause(t.Context())
		w := &deadlineWriter{}
		h := NewHandle(cancel, w)
		var r Requests
		r.Add(&h)
		if begun {
			r.SetReading(&h, true)
			assert.Assert(t, w.readDeadline.IsZero())
		}
		r.EndAll()
		if !begun {
			r.SetReading(&h, true)
		}
		assert.Assert(t, HasEnded(ctx))
		assert.Assert(t, !w.readDeadline.IsZero() && !w.readDeadline.After(time.Now()), "begun %t", begun)
	}
}

// TestRequestThatIsAddedAtTheEndIsEnded checks that a request which the server takes while it ends all others is ended too.
func TestRequestThatIsAddedAtTheEndIsEnded(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	h := NewHandle(cancel, &deadlineWriter{})
	var r Requests
	r.EndAll()
	r.Add(&h)
	assert.Assert(t, HasEnded(ctx))
}
