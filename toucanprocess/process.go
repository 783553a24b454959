// Package toucanprocess runs a program until a signal asks it to stop: the first signal stops it gracefully,
// the second ends it at once.
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

// ErrStopped is returned when a second signal ended the program before its requests had ended.
var ErrStopped = errors.New("stopped with requests in progress")

// Stopper is a running program.
type Stopper interface {
	// Shutdown takes no new requests and waits until those in progress have ended or ctx is done.
	Shutdown(ctx context.Context) error
	// Wait returns when the program has ended by itself or after its context was done.
	Wait()
	// Err returns what made the program end by itself; nil when nothing did.
	Err() error
}

// Run starts a program and blocks until it has stopped. A graceful stop takes at most grace.
func Run(log *slog.Logger, grace time.Duration, start func(ctx context.Context) (Stopper, error)) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return run(log, grace, signals, start)
}

func run(log *slog.Logger, grace time.Duration, signals <-chan os.Signal, start func(ctx context.Context) (Stopper, error)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
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
	case s := <-signals:
		log.Info("stopping", "signal", s.String())
	}
	err = stop(ctx, program, grace, signals)
	cancel()
	<-ended
	return err
}

func stop(ctx context.Context, program Stopper, grace time.Duration, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- program.Shutdown(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-signals:
		return ErrStopped
	}
}
