package toucanprocess

import (
	"context"
	"io"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// program is a fake Stopper whose requests end after a fixed time in Shutdown.
type program struct {
	ctx      context.Context
	requests time.Duration
	err      error
	failed   chan struct{}
	// stopBegan is when the stop began.
	stopBegan time.Time
}

func (p *program) Shutdown(ctx context.Context) error {
	p.stopBegan = StopBegan(ctx)
	select {
	case <-time.After(p.requests):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *program) Wait() {
	select {
	case <-p.ctx.Done():
	case <-p.failed:
	}
}

func (p *program) Err() error { return p.err }

func TestRun(t *testing.T) {
	errFailed := errors.New("failed")
	tests := []struct {
		name string
		// signals are sent immediately and in this order.
		signals  []os.Signal
		requests time.Duration
		// startTime is how long the start of the program takes.
		startTime time.Duration
		fails     bool
		want      error
		// duration is the expected duration of the run on the fake clock.
		duration time.Duration
	}{
		{name: "requests end within the grace", signals: []os.Signal{syscall.SIGTERM}, requests: 3 * time.Second, duration: 3 * time.Second},
		{name: "requests outlast the grace", signals: []os.Signal{syscall.SIGTERM}, requests: time.Hour, want: context.DeadlineExceeded, duration: time.Minute},
		{name: "a second signal stops the program immediately", signals: []os.Signal{syscall.SIGTERM, os.Interrupt}, requests: time.Hour, want: ErrStopped},
		{name: "a repeated SIGTERM does not cut requests", signals: []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, requests: 3 * time.Second, duration: 3 * time.Second},
		{
			name:     "an interrupt after a repeated SIGTERM stops the program immediately",
			signals:  []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, os.Interrupt},
			requests: time.Hour, want: ErrStopped,
		},
		{name: "a slow start shortens the stop", signals: []os.Signal{syscall.SIGTERM}, startTime: 20 * time.Second, requests: time.Hour, want: context.DeadlineExceeded, duration: time.Minute},
		{name: "the program fails", fails: true, want: errFailed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				signals := make(chan os.Signal, len(tc.signals))
				for _, s := range tc.signals {
					signals <- s
				}
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				start := time.Now()
				hooked := 0
				p := &program{requests: tc.requests, failed: make(chan struct{})}
				err := run(log, time.Minute, signals, func(ctx context.Context) (Stopper, error) {
					time.Sleep(tc.startTime)
					p.ctx = ctx
					if tc.fails {
						p.err = errFailed
						close(p.failed)
					}
					return p, nil
				}, WithStopHook(func() { hooked++ }))
				assert.Equal(t, hooked, min(len(tc.signals), 1))
				if len(tc.signals) > 0 && tc.want != ErrStopped { //nolint:errorlint // it is compared with the table's own value
					assert.Equal(t, p.stopBegan, start, "the stop does not begin with its signal")
				}
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				assert.Equal(t, time.Since(start), tc.duration)
			})
		})
	}
}

func TestSIGTERMAfterTheStopDoesNotEndTheProcess(t *testing.T) {
	err := Run(slog.New(slog.DiscardHandler), time.Minute, func(ctx context.Context) (Stopper, error) {
		p := &program{ctx: ctx, failed: make(chan struct{})}
		close(p.failed)
		return p, nil
	})
	assert.NilError(t, err)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
}

func TestSIGHUPAfterTheStopDoesNotEndTheProcess(t *testing.T) {
	reloads := CatchReloads()
	reloads.Handle(slog.New(slog.DiscardHandler), func() error { return nil })
	reloads.Stop()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}

func TestSIGHUPDuringTheStartIsHandledLater(t *testing.T) {
	reloads := CatchReloads()
	defer reloads.Stop()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	handled := make(chan struct{})
	reloads.Handle(slog.New(slog.DiscardHandler), func() error {
		close(handled)
		return nil
	})
	<-handled
}
