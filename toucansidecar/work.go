package toucansidecar

import (
	"context"
	"sync"
)

// work counts requests in progress and lets one caller wait until there are none.
type work struct {
	mu sync.Mutex
	n  int
	// idle is closed when n falls to zero; nil while nobody waits.
	idle chan struct{}
}

func (w *work) add() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
}

func (w *work) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	if w.n == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}

func (w *work) wait(ctx context.Context) error {
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
