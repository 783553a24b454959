package toucanwait

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// TestWithProgress checks when a transfer ends that makes progress in steps, given as the times between them.
func TestWithProgress(t *testing.T) {
	limits := TransferLimits{Begin: time.Second, Stall: 300 * time.Millisecond, Total: 5 * time.Second}
	for _, tc := range []struct {
		name  string
		steps []time.Duration
		ends  time.Duration
	}{
		{"silent", nil, time.Second},
		{"stalls after the first part", []time.Duration{900 * time.Millisecond}, 1200 * time.Millisecond},
		{"slow parts", repeat(200*time.Millisecond, 20), 4300 * time.Millisecond},
		{"without end", repeat(200*time.Millisecond, 100), 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, progress, cancel := WithProgress(t.Context(), limits)
				defer cancel()
				for _, step := range tc.steps {
					if !Sleep(ctx, step) {
						break
					}
					progress()
				}
				<-ctx.Done()
				assert.Equal(t, time.Since(began), tc.ends)
				assert.Assert(t, errors.Is(context.Cause(ctx), ErrNoProgress))
			})
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	steps := make([]time.Duration, n)
	for i := range steps {
		steps[i] = d
	}
	return steps
}

// TestWithProgressEndsWithItsCaller checks that a transfer ends with its parent, and that cancel is not reported as a stall.
func TestWithProgressEndsWithItsCaller(t *testing.T) {
	ctx, _, cancel := WithProgress(t.Context(), TransferLimits{Begin: time.Hour, Stall: time.Hour, Total: time.Hour})
	cancel()
	assert.Assert(t, !errors.Is(context.Cause(ctx), ErrNoProgress))
}

// fillingReader fills each buffer before it returns, at a rate, as the reader of a long HTTP chunk does.
type fillingReader struct{ bytesPerSecond int }

// Read implements io.Reader.
func (f fillingReader) Read(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(f.bytesPerSecond))
	return len(p), nil
}

// TestReaderSeesProgressWithinLargeReads checks that a read into a large buffer does not look like a stall while bytes arrive.
func TestReaderSeesProgressWithinLargeReads(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const bytesPerSecond = 100_000
		ctx, progress, cancel := WithProgress(t.Context(), TransferLimits{Begin: time.Second, Stall: time.Second, Total: time.Hour})
		defer cancel()
		r := NewReader(fillingReader{bytesPerSecond}, progress)
		buf := make([]byte, 10*bytesPerSecond)
		_, err := io.ReadFull(r, buf)
		assert.NilError(t, err)
		assert.NilError(t, context.Cause(ctx))
	})
}
