package toucancrash

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanbubble"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
)

// ended is a Prober of endpoints that have ended, or live.
type ended bool

// Refuses implements Prober.
func (e ended) Refuses(context.Context, string) bool { return bool(e) }

// newRequest returns a request with a part of its prompt. cancel ends it.
func newRequest(id string, part toucanquarantine.Part, cancel context.CancelCauseFunc) *Request {
	r := NewRequest(Spec{
		ID: id, Service: "s", Workspace: "w", PromptParts: id, SharedParts: []toucanquarantine.Part{part},
		In: httptest.NewRequest(http.MethodPost, "/", nil), Body: &toucanbody.Body{}, Ender: ender(cancel),
	})
	return &r
}

// ender is an Ender that cancels a context.
type ender context.CancelCauseFunc

// End implements Ender.
func (e ender) End(cause error) { e(cause) }

// TestRequestsOnAnEvilPartAreEnded checks that the requests on a part of a prompt under which engines end are ended before they have got
// far, and those that are proven or on another part are not; and that connections which break while their endpoints live prove nothing.
func TestRequestsOnAnEvilPartAreEnded(t *testing.T) {
	for _, e := range []ended{true, false} {
		toucanbubble.Test(t, func(t *testing.T) {
			const evil, good = 1, 2
			w := New(toucanquarantine.New(), e, slog.New(slog.DiscardHandler))
			ctx, stop := context.WithCancel(t.Context())
			go w.Run(ctx)
			var contexts []context.Context
			var running []*Request
			for i, part := range []toucanquarantine.Part{evil, evil, good} {
				ctx, cancel := context.WithCancelCause(t.Context())
				contexts = append(contexts, ctx)
				running = append(running, newRequest(fmt.Sprint("running", i), part, cancel))
				assert.Assert(t, w.Begin(running[i]))
			}
			w.RecordEvents(running[1], provenEvents)
			for i := range 3 {
				r := newRequest(fmt.Sprint("broken", i), evil, nil)
				assert.Assert(t, w.Begin(r))
				startedAt := time.Now()
				time.Sleep(time.Second)
				w.RecordBreak(r, toucanplace.Endpoint{ID: fmt.Sprint(i), Service: "s"}, startedAt, provenEvents-1)
				synctest.Wait()
			}
			for i, want := range []bool{bool(e), false, false} {
				assert.Equal(t, errors.Is(context.Cause(contexts[i]), toucanquarantine.ErrQuarantined), want, "request %d, ended %t", i, e)
			}
			assert.Equal(t, w.IsQuarantined(newRequest("late", evil, nil)), bool(e))
			assert.Assert(t, !w.IsQuarantined(newRequest("other", good, nil)))
			stop()
		})
	}
}
