package toucanlatestop

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucangeneration"
)

// unreachedMover reaches no endpoint and counts the calls.
type unreachedMover struct{ calls atomic.Int64 }

func (m *unreachedMover) Copy(context.Context, string, string, string, bool) (string, error) {
	m.calls.Add(1)
	return "", toucangeneration.ErrUnreached
}

func (*unreachedMover) Drop(context.Context, string, string) error { return nil }

// TestLateStopEndsBeforeTheGenerationReturns guards against a stream that is cut because an entry goes on to stop it at an endpoint to
// which it has moved back.
func TestLateStopEndsBeforeTheGenerationReturns(t *testing.T) {
	m := &unreachedMover{}
	stop := toucangeneration.Stop{Mover: m, Source: "a", ID: "id1", Target: "b", AttemptTimeout: time.Second, RetryDelay: time.Millisecond, Patience: time.Second}
	var s Stops
	s.Begin(t.Context(), stop, func(toucangeneration.SourceState) {}, slog.New(slog.DiscardHandler))
	for m.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.End("elsewhere")
	s.End("a")
	calls := m.calls.Load()
	time.Sleep(4 * minDelay)
	assert.Equal(t, m.calls.Load(), calls)
}
