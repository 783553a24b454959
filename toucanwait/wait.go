// Package toucanwait waits for a time or a signal, and no longer than a context lasts.
package toucanwait

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx still goes on. It does not wait when d is not positive.
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

// Signal waits until signal is closed or sends, for at most bound.
func Signal[T any](ctx context.Context, signal <-chan T, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
	}
}
