package toucanstream

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanbubble"
)

// TestBufferMatchesSliceModel compares a buffer with a slice of tokens under random reads and random appends, some of
// which repeat tokens.
func TestBufferMatchesSliceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuffer(NewPool(1<<20), 0, 1<<20)
		var model []string
		ctx := context.Background()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "append") {
				first := rapid.IntRange(0, len(model)).Draw(t, "first")
				n := rapid.IntRange(0, 5).Draw(t, "count")
				var text []string
				for i := range n {
					text = append(text, fmt.Sprint(first+i))
				}
				added, err := b.Append(ctx, first, text)
				assert.NilError(t, err)
				assert.Equal(t, added, max(0, first+n-len(model)))
				for i := len(model); i < first+n; i++ {
					model = append(model, fmt.Sprint(i))
				}
				continue
			}
			if len(model) == 0 {
				continue
			}
			from := rapid.IntRange(0, len(model)-1).Draw(t, "from")
			limit := rapid.IntRange(1, 8).Draw(t, "limit")
			chunk, err := b.Read(ctx, from, limit)
			assert.NilError(t, err)
			assert.Equal(t, chunk.First, from)
			assert.DeepEqual(t, chunk.Text, model[from:min(from+limit, len(model))])
		}
		_, err := b.Append(ctx, len(model)+1, []string{"x"})
		assert.Assert(t, errors.Is(err, ErrGap))
	})
}

func TestWriterWaitsWhenBufferIsFull(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		ctx := context.Background()
		const size = 1 + tokenOverheadBytes
		b := NewBuffer(NewPool(1<<20), 0, 3*size)
		done := make(chan error, 1)
		go func() {
			_, err := b.Append(ctx, 0, []string{"a", "b", "c", "d", "e"})
			done <- err
		}()
		time.Sleep(time.Minute)
		assert.Equal(t, b.Next(), 3)

		chunk, err := b.Read(ctx, 0, 2)
		assert.NilError(t, err)
		assert.DeepEqual(t, chunk.Text, []string{"a", "b"})
		assert.NilError(t, <-done)
		_, err = b.Read(ctx, 0, 1)
		assert.Assert(t, errors.Is(err, ErrDropped))
		chunk, err = b.Read(ctx, 2, 9)
		assert.NilError(t, err)
		assert.DeepEqual(t, chunk.Text, []string{"c", "d", "e"})
	})
}

func TestWriterWaitsWhilePoolIsFull(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		ctx := context.Background()
		pool := NewPool(2 * (1 + tokenOverheadBytes))
		full, waiting := NewBuffer(pool, 0, 1<<20), NewBuffer(pool, 0, 1<<20)
		_, err := full.Append(ctx, 0, []string{"a", "b"})
		assert.NilError(t, err)
		done := make(chan error, 1)
		go func() {
			_, err := waiting.Append(ctx, 0, []string{"c"})
			done <- err
		}()
		time.Sleep(time.Minute)
		assert.Equal(t, waiting.Next(), 0)
		full.Discard()
		assert.NilError(t, <-done)
		assert.Equal(t, waiting.Next(), 1)
	})
}

func TestEndFollowsTheLastToken(t *testing.T) {
	ctx := context.Background()
	b := NewBuffer(NewPool(1<<10), 0, 1<<10)
	_, err := b.Append(ctx, 0, []string{"a"})
	assert.NilError(t, err)
	b.Finish(End{FinishReason: "stop"})
	b.Finish(End{Failure: "late"})
	chunk, err := b.Read(ctx, 0, 5)
	assert.NilError(t, err)
	assert.Assert(t, chunk.End != nil && chunk.End.Complete())
	_, err = b.Append(ctx, 1, []string{"b"})
	assert.Assert(t, errors.Is(err, ErrEnded))
}
