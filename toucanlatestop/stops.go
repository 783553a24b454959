// Package toucanlatestop stops generations at endpoints whose streams broke: before they go on elsewhere and, at endpoints that were not
// reached then, after it, so that no generation runs at two endpoints for longer than the first one is cut off.
package toucanlatestop

import (
	"context"
	"log/slog"
	"time"

	"toucanport/toucangeneration"
	"toucanport/toucanlog"
	"toucanport/toucanwait"
)

const (
	// minDelay is the first time between two calls to an endpoint. It doubles up to maxDelay.
	minDelay = 50 * time.Millisecond
	maxDelay = time.Second
)

// Stops are the calls that stop one generation in the background. The zero value has none. It is not safe for concurrent use.
type Stops struct {
	running []running
}

// running is the work at one endpoint.
type running struct {
	address string
	cancel  context.CancelFunc
	// done is closed when no further call is made.
	done chan struct{}
}

// Begin calls the source of order until it has stopped the generation, or ctx ends. observe is called with each result.
func (s *Stops) Begin(ctx context.Context, order toucangeneration.Stop, observe func(toucangeneration.SourceState), log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	r := running{address: order.Source, cancel: cancel, done: make(chan struct{})}
	s.running = append(s.running, r)
	go func() {
		defer close(r.done)
		defer cancel()
		run(ctx, order, observe, log)
	}()
}

// End ends the calls to an address and waits for the last one. It must be called before the generation resumes there, since they would
// stop it again.
func (s *Stops) End(address string) {
	for _, r := range s.running {
		if r.address == address {
			r.cancel()
			<-r.done
		}
	}
}

// run stops a generation as soon as its endpoint is reached, and frees the copy of its memory.
func run(ctx context.Context, order toucangeneration.Stop, observe func(toucangeneration.SourceState), log *slog.Logger) {
	for delay := minDelay; toucanwait.Sleep(ctx, delay); delay = min(2*delay, maxDelay) {
		r := order.Run(ctx)
		observe(r.State)
		switch r.State {
		case toucangeneration.SourceStopped, toucangeneration.SourceKeepsMemory:
			Drop(ctx, order.Mover, order.Source, r.Handle, log)
			return
		case toucangeneration.SourceIdle:
			return
		}
	}
}

// Drop frees a copy of a generation's memory that is not needed.
func Drop(ctx context.Context, m toucangeneration.Mover, source, handle string, log *slog.Logger) {
	if err := m.Drop(ctx, source, handle); err != nil {
		// The endpoints free an unused copy after a timeout.
		log.Debug(toucanlog.MsgCopyNotDropped,
			toucanlog.Address, source,
			toucanlog.Cause, err.Error(),
		)
	}
}
