package toucansidecar

import (
	"context"
	"sync"
)

// workCounter counts the requests in progress and lets a caller wait until there are none. It is safe for concurrent
// use.
type workCounter struct {
	mu sync.Mutex
	n  int
	// idle is closed when n falls to zero; nil if nobody waits.
	idle chan struct{}
}

func (w *workCounter) add() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
}

func (w *workCounter) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	if w.n == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

func (w *workCounter) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}

func (w *workCounter) wait(ctx context.Context) error {
	w.mu.Lock()
	if w.n == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
