package toucanlatestop

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanplace"
)

const (
	// attemptTimeout bounds one call that stops a generation at an endpoint whose stream broke, retryDelay is the time to
	// the next call.
	attemptTimeout = 200 * time.Millisecond
	retryDelay     = 25 * time.Millisecond
	// patience is how long an endpoint that was reached is asked to stop a generation. Callers give a silent stream up
	// soon after.
	patience = 3 * time.Second
)

// ErrSourceRuns means that the endpoint whose stream broke was reached and may go on with the generation.
var ErrSourceRuns = errors.New("endpoint may still run the generation")

// Stopper stops generations at endpoints whose streams broke, before they go on elsewhere.
type Stopper struct {
	Mover toucangeneration.Mover
	Log   *slog.Logger
	// Observe is called with the result of each call.
	Observe func(toucangeneration.SourceState)
}

// Broken is a generation whose stream broke.
type Broken struct {
	// ID is the id of its request.
	ID string
	// Source is the endpoint that may still run it.
	Source toucanplace.Endpoint
	// At is when the stream broke.
	At time.Time
}

// Stop asks the source of a broken stream to stop the generation, and to copy its memory to target. If the source was not reached, it is
// asked on in the background, as a part of late. The error wraps ErrSourceRuns if the source was reached and does not tell whether it runs
// the generation, which must not go on elsewhere then.
func (s *Stopper) Stop(ctx context.Context, late *Stops, b Broken, target toucanplace.Endpoint) (toucangeneration.StopResult, error) {
	order := toucangeneration.Stop{
		Mover:          s.Mover,
		Source:         b.Source.Address,
		ID:             b.ID,
		Target:         target.Address,
		AttemptTimeout: attemptTimeout,
		RetryDelay:     retryDelay,
		Patience:       patience,
	}
	result := order.Run(ctx)
	s.record(b, result)
	switch result.State {
	case toucangeneration.SourceStopped, toucangeneration.SourceKeepsMemory, toucangeneration.SourceIdle:
	case toucangeneration.SourceUnreached:
		late.Begin(ctx, order, s.Observe, s.Log)
	default:
		return result, errors.Wrap(ErrSourceRuns, result.Err.Error())
	}
	return result, nil
}

// record counts and logs what is known of a generation at the endpoint whose stream broke.
func (s *Stopper) record(b Broken, r toucangeneration.StopResult) {
	s.Observe(r.State)
	args := []any{
		toucanlog.RequestID, b.ID,
		toucanlog.Endpoint, b.Source.ID,
		toucanlog.State, string(r.State),
		toucanlog.Attempts, r.Attempts,
		toucanlog.TookMs, time.Since(b.At).Milliseconds(),
	}
	if r.Err != nil {
		args = append(args, toucanlog.Cause, r.Err.Error())
	}
	s.Log.Info(toucanlog.MsgSourceAsked, args...)
}
