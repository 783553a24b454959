package toucanforward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucangeneration"
	"toucanport/toucanlogtest"
	"toucanport/toucantraffic"
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
	sc := &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}
	sc.start()
	m := &unreachedMover{}
	stop := toucangeneration.Stop{Mover: m, Source: "a", ID: "id1", Target: "b", AttemptTimeout: time.Second, RetryDelay: time.Millisecond, Patience: time.Second}
	j := &job{}
	j.lateStops = append(j.lateStops, sc.server.beginLateStop(t.Context(), stop))
	for m.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	j.endLateStops("elsewhere")
	j.endLateStops("a")
	calls := m.calls.Load()
	time.Sleep(4 * lateStopDelay)
	assert.Equal(t, m.calls.Load(), calls)
}
