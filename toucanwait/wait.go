// Package toucanwait waits for a duration or a signal until a context is done.
package toucanwait

import (
	"context"
	"time"
)

// Sleep waits for d and returns false if ctx is done before. If d is zero or negative, it doesn't wait and reports whether
// ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Signal waits until signal is closed or delivers a value, ctx is done, or bound has passed.
func Signal[T any](ctx context.Context, signal <-chan T, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
	}
}
