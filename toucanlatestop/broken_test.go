package toucanlatestop

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucangeneration"
	"toucanport/toucanplace"
)

// fixedMover answers each copy with the same handle and error.
type fixedMover struct {
	handle string
	err    error
}

func (m fixedMover) Copy(context.Context, string, string, string, bool) (string, error) {
	return m.handle, m.err
}

func (fixedMover) Drop(context.Context, string, string) error { return nil }

// TestOnlyAStoppedGenerationGoesOn checks, for each answer of the source of a broken stream, whether the generation may go on elsewhere,
// and whether the source is asked on in the background.
func TestOnlyAStoppedGenerationGoesOn(t *testing.T) {
	for _, tc := range []struct {
		name  string
		mover fixedMover
		state toucangeneration.SourceState
		runs  bool
		late  int
	}{
		{"copied", fixedMover{handle: "h"}, toucangeneration.SourceStopped, false, 0},
		{"no room for the copy", fixedMover{handle: "h", err: toucangeneration.ErrNoCapacity}, toucangeneration.SourceKeepsMemory, false, 0},
		{"not running", fixedMover{err: toucangeneration.ErrNotRunning}, toucangeneration.SourceIdle, false, 0},
		{"unreached", fixedMover{err: toucangeneration.ErrUnreached}, toucangeneration.SourceUnreached, false, 1},
		{"unanswered", fixedMover{err: io.ErrUnexpectedEOF}, toucangeneration.SourceUnknown, true, 0},
	} {
		toucanbubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var observed []toucangeneration.SourceState
			var late Stops
			s := Stopper{Mover: tc.mover, Log: slog.New(slog.DiscardHandler), Observe: func(state toucangeneration.SourceState) { observed = append(observed, state) }}
			result, err := s.Stop(ctx, &late, Broken{ID: "id1", Source: toucanplace.Endpoint{ID: "a"}, At: time.Now()}, toucanplace.Endpoint{ID: "b"})
			assert.Equal(t, errors.Is(err, ErrSourceRuns), tc.runs, tc.name)
			assert.Equal(t, result.State, tc.state, tc.name)
			assert.DeepEqual(t, observed, []toucangeneration.SourceState{tc.state})
			assert.Equal(t, len(late.running), tc.late, tc.name)
		})
	}
}
