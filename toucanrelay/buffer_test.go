package toucanrelay

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanevent"
)

// TestAnswersShareTheMemoryOfBuffers guards against long answers that together take the memory of the process: those for which none is
// left are passed on without a whole buffer, and a released buffer makes room.
func TestAnswersShareTheMemoryOfBuffers(t *testing.T) {
	const answers = 100
	m := toucanbody.NewMemory(4 * MaxBuffered)
	long := bytes.Repeat([]byte("x"), MaxBuffered-1)
	buffered, held := 0, make([]*toucanbody.Reservation, answers)
	for i := range held {
		held[i] = m.Reservation(FreeBytes)
		r := bytes.NewReader(long)
		body, whole, err := Buffer(iotest.HalfReader(r), held[i])
		assert.NilError(t, err)
		rest, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(append(body, rest...), long))
		assert.Assert(t, whole == (len(rest) == 0))
		buffered += cap(body)
	}
	assert.Assert(t, buffered <= m.Usage().Limit+2*answers*FreeBytes, "%d bytes are held", buffered)
	small, whole, err := Buffer(bytes.NewReader(long[:FreeBytes-1]), m.Reservation(FreeBytes))
	assert.Assert(t, err == nil && whole && len(small) == FreeBytes-1)
	for _, r := range held {
		r.Release()
	}
	assert.Equal(t, m.Usage().Used, 0)
	_, whole, err = Buffer(bytes.NewReader(long), held[0])
	assert.Assert(t, err == nil && whole)
}

// TestEventsShareTheMemoryOfBuffers guards against long events that together take the memory of the process: a stream with one for which
// none is left is broken, and streams with short events are not.
func TestEventsShareTheMemoryOfBuffers(t *testing.T) {
	m := toucanbody.NewMemory(2 * toucanevent.MaxBytes)
	assert.Assert(t, m.Reservation(0).Cover(2*toucanevent.MaxBytes-1))
	long := toucanevent.New(toucanevent.WithMemory(m.Reservation(FreeBytes)))
	for range 2 * FreeBytes / readBytes {
		_, _ = long.Parse(bytes.Repeat([]byte("x"), readBytes))
	}
	assert.Assert(t, long.TooLong())
	short := toucanevent.New(toucanevent.WithMemory(m.Reservation(FreeBytes)))
	for id := range 100 {
		whole, gap := short.Parse([]byte(fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, bytes.Repeat([]byte("x"), readBytes))))
		assert.Assert(t, len(whole) > readBytes && !gap && !short.TooLong())
	}
}
