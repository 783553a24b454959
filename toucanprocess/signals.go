package toucanprocess

import (
	"context"
	"log/slog"
	"os"
	"time"

	"toucanport/toucanlog"
)

// stopSignals tells what the signals received so far ask of a program. The first signal of either kind asks for a graceful
// stop, and an interrupt after that for an immediate one. A repeated SIGTERM changes nothing.
type stopSignals struct {
	log *slog.Logger
	// graceful is closed by the first signal, immediate by an interrupt that follows.
	graceful, immediate chan struct{}
	// began is when the first signal was received; it does not change once graceful is closed.
	began time.Time
	// hook is called by the first signal.
	hook func()
}

func newStopSignals(log *slog.Logger, opts ...Option) *stopSignals {
	s := &stopSignals{log: log, graceful: make(chan struct{}), immediate: make(chan struct{}), hook: func() {}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// watch handles signals until an immediate stop is asked for or ctx is done.
func (s *stopSignals) watch(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case received := <-signals:
			if s.handle(received) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// handle reports whether the signal asks for an immediate stop.
func (s *stopSignals) handle(received os.Signal) bool {
	if s.began.IsZero() {
		s.began = time.Now()
		s.log.Info("stopping", "signal", received.String())
		s.hook()
		close(s.graceful)
		return false
	}
	immediate := received == os.Interrupt
	s.log.Info("signal while stopping",
		"signal", received.String(),
		"immediate", immediate,
		toucanlog.StopMs, time.Since(s.began).Milliseconds(),
	)
	if immediate {
		close(s.immediate)
	}
	return immediate
}
