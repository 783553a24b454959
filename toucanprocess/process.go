// Package toucanprocess runs a program until SIGTERM or SIGINT: the first signal stops it gracefully, a SIGINT after that
// ends it immediately, and a repeated SIGTERM changes nothing.
package toucanprocess

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// signalBuffer is how many signals are kept until they are handled.
const signalBuffer = 16

// ErrStopped is returned when an interrupt ended the program while requests were in progress.
var ErrStopped = errors.New("stopped with requests in progress")

// signalTime is the key of the time of the signal in the context of Shutdown.
type signalTime struct{}

// StopBegan returns when the signal was received that led to a Shutdown with this context, or now if there was none.
func StopBegan(ctx context.Context) time.Time {
	if at, ok := ctx.Value(signalTime{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// Stopper is a running program.
type Stopper interface {
	// Shutdown refuses new requests and waits until those in progress have ended or ctx is done. StopBegan returns when the
	// stop began.
	Shutdown(ctx context.Context) error
	// Wait waits until the program has ended, either by itself or because its context is done.
	Wait()
	// Err returns the error that made the program end by itself, or nil.
	Err() error
}

// Option configures Run.
type Option func(*stopSignals)

// WithStopHook makes Run call f at the first signal, before the stop begins.
func WithStopHook(f func()) Option { return func(s *stopSignals) { s.hook = f } }

// Run starts a program and waits until it has stopped. grace is the maximum duration of a graceful stop, counted from its
// signal, which may come before the program has started. Run returns the program's error, or the error of the stop. A SIGTERM
// after that is ignored, so that the process can finish its log; an interrupt ends the process.
func Run(log *slog.Logger, grace time.Duration, start func(ctx context.Context) (Stopper, error), opts ...Option) error {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Reset(os.Interrupt)
	return run(log, grace, signals, start, opts...)
}

func run(log *slog.Logger, grace time.Duration, signals <-chan os.Signal, start func(ctx context.Context) (Stopper, error), opts ...Option) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := newStopSignals(log, opts...)
	go received.watch(ctx, signals)
	program, err := start(ctx)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		program.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return program.Err()
	case <-received.graceful:
	}
	err = stop(ctx, program, grace, received)
	cancel()
	<-ended
	return err
}

func stop(ctx context.Context, program Stopper, grace time.Duration, received *stopSignals) error {
	ctx, cancel := context.WithDeadline(context.WithValue(ctx, signalTime{}, received.began), received.began.Add(grace))
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- program.Shutdown(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-received.immediate:
		return ErrStopped
	}
}
