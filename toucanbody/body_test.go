package toucanbody

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// content returns n bytes that differ from one place to the next.
func content(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 7 / 3)
	}
	return b
}

// sizes are the lengths of bodies at and around the ends of blocks, and the longest ones.
var sizes = []int{0, 1, freeBytes - 1, freeBytes, freeBytes + 1, freeBytes + blockBytes, freeBytes + blockBytes + 1, 262_145, 700_000, 4_194_304}

// TestBodyIsReadWholeAnyNumberOfTimes guards against a request that is sent again with a truncated body.
func TestBodyIsReadWholeAnyNumberOfTimes(t *testing.T) {
	for _, n := range sizes {
		m := NewMemory(8 << 20)
		want := content(n)
		b, err := Read(iotest.HalfReader(bytes.NewReader(want)), int64(n), m)
		assert.NilError(t, err)
		assert.Assert(t, b.Whole() && b.Repeatable() && !b.Unread())
		assert.Equal(t, b.Length(), int64(n))
		for range 2 {
			got, err := io.ReadAll(b.Reader())
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want), "%d bytes", n)
		}
		for _, prefix := range sizes {
			var got bytes.Buffer
			_, err := io.Copy(&got, b.Prefix(int64(prefix)))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got.Bytes(), want[:min(prefix, n)]), "%d of %d bytes", prefix, n)
		}
		b.Release()
		b.Release()
		assert.Equal(t, m.Usage().Used, 0)
	}
}

// TestBodyWithoutMemoryIsReadOnce checks that a body that is not kept is read whole by one reader, with and without blocks that were
// kept, and by no second one.
func TestBodyWithoutMemoryIsReadOnce(t *testing.T) {
	for _, n := range sizes[4:] {
		for _, limit := range []int{0, blockBytes, 3 * blockBytes} {
			m := NewMemory(limit)
			want := content(n)
			b, err := Read(bytes.NewReader(want), 0, m)
			assert.NilError(t, err)
			if b.Whole() {
				assert.Assert(t, n <= freeBytes+limit)
				continue
			}
			assert.Assert(t, b.Repeatable() && b.Unread())
			assert.Equal(t, b.Length(), int64(-1))
			unused, r := b.Reader(), b.Reader()
			got, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want), "%d bytes, limit %d", n, limit)
			assert.Assert(t, !b.Repeatable() && !b.Unread())
			assert.Equal(t, m.Usage().Used, 0)
			_, err = io.ReadAll(unused)
			assert.ErrorIs(t, err, ErrSpent)
			b.Release()
			assert.Equal(t, m.Usage(), Usage{Limit: limit, Declined: 1})
		}
	}
}

// TestCutBodyIsAnError checks that a body that breaks off, at any place, is not taken for a whole one.
func TestCutBodyIsAnError(t *testing.T) {
	broken := errors.New("broken")
	for _, n := range sizes {
		for _, cause := range []error{io.ErrUnexpectedEOF, broken} {
			m := NewMemory(8 << 20)
			_, err := Read(io.MultiReader(bytes.NewReader(content(n)), iotest.ErrReader(cause)), 0, m)
			assert.ErrorIs(t, err, cause)
			assert.Equal(t, m.Usage().Used, 0)
		}
	}
	b, err := Read(io.MultiReader(bytes.NewReader(content(700_000)), iotest.ErrReader(broken)), 0, NewMemory(0))
	assert.NilError(t, err)
	_, err = io.ReadAll(b.Reader())
	assert.ErrorIs(t, err, broken)
}

// TestTooLongBodyIsRefused checks the bound on a body's length, also where the body is not kept.
func TestTooLongBodyIsRefused(t *testing.T) {
	_, err := Read(strings.NewReader("12345"), 4, NewMemory(0))
	assert.ErrorIs(t, err, ErrTooLong)
	b, err := Read(bytes.NewReader(content(700_001)), 700_000, NewMemory(0))
	assert.NilError(t, err)
	_, err = io.ReadAll(b.Reader())
	assert.ErrorIs(t, err, ErrTooLong)
}

// TestManyLongBodiesStayWithinTheBound guards against an entry that runs out of memory under many long bodies at once: what is kept
// stays within the bound, every body is read whole, and all memory is free in the end.
func TestManyLongBodiesStayWithinTheBound(t *testing.T) {
	const limit = 14 << 20
	m := NewMemory(limit)
	want := content(4 << 20)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			b, err := Read(bytes.NewReader(want), 4<<20, m)
			assert.Check(t, err == nil)
			assert.Check(t, m.Usage().Used <= limit)
			got, err := io.ReadAll(b.Reader())
			assert.Check(t, err == nil && bytes.Equal(got, want))
			b.Release()
		})
	}
	wg.Wait()
	assert.Equal(t, m.Usage().Used, 0)
	assert.Assert(t, m.Usage().Declined > 0)
}
