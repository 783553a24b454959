package toucanlog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// stalledWriter is a writer that blocks until open is closed.
type stalledWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestWriteNeverBlocks checks that writes far beyond the buffer's size do not block while the writer stalls, and that
// the dropped lines are reported afterwards.
func TestWriteNeverBlocks(t *testing.T) {
	w := &stalledWriter{open: make(chan struct{})}
	r := NewRing(w)
	const lines = 5 * ringLines
	for range lines {
		n, err := r.Write([]byte("{}\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 3)
	}
	assert.Assert(t, r.Dropped() >= lines-ringLines-1)
	close(w.open)
	assert.NilError(t, r.Close())
	assert.Assert(t, strings.Contains(w.buf.String(), `"msg":"log lines dropped"`))
}

func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		w := &stalledWriter{open: make(chan struct{})}
		defer close(w.open)
		r := NewRing(w)
		_, _ = r.Write([]byte("{}\n")) // Never fails.
		assert.ErrorIs(t, r.Close(), ErrNotWritten)
	})
}

// TestRingLimitsLinesPerSecond checks that at four times linesPerSecond the excess lines are dropped.
func TestRingLimitsLinesPerSecond(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		r := NewRing(&w)
		for range 3 {
			for range 4 * linesPerSecond {
				_, _ = r.Write([]byte("line\n")) // Never fails.
				time.Sleep(time.Second / (4 * linesPerSecond))
			}
		}
		assert.NilError(t, r.Close())
		got := strings.Count(w.String(), "line\n")
		assert.Assert(t, got >= 2*linesPerSecond && got <= 4*linesPerSecond, "%d lines", got)
	})
}

func BenchmarkWriteStalled(b *testing.B) {
	w := &stalledWriter{open: make(chan struct{})}
	r := NewRing(w)
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = r.Write(line) // Never fails.
	}
	close(w.open)
	_ = r.Close()
}

func BenchmarkWrite(b *testing.B) {
	r := NewRing(io.Discard)
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = r.Write(line) // Never fails.
	}
	_ = r.Close()
}
