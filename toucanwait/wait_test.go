package toucanwait

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// TestSleep checks the duration of the wait, and that it stops when the context is done.
func TestSleep(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		assert.Assert(t, Sleep(ctx, 0))
		assert.Assert(t, Sleep(ctx, -time.Second))
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, Sleep(ctx, time.Second))
		assert.Assert(t, !Sleep(ctx, time.Minute))
		assert.Equal(t, time.Since(began), 3*time.Second)
		assert.Assert(t, !Sleep(ctx, 0))
	})
}

// TestSignal checks that the wait ends with the signal, the bound or the context.
func TestSignal(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		signal := make(chan struct{})
		began := time.Now()
		Signal(t.Context(), signal, time.Second)
		assert.Equal(t, time.Since(began), time.Second)
		close(signal)
		Signal(t.Context(), signal, time.Second)
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		Signal(ctx, make(chan int), time.Second)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
