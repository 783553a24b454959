package toucanevent

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// testBuffer is the size of the reads of the tests, in bytes.
const testBuffer = 8 << 10

// TestEventWithoutEndIsBounded checks that bytes without the end of an event are not kept without limit.
func TestEventWithoutEndIsBounded(t *testing.T) {
	var e Parser
	piece := bytes.Repeat([]byte("x"), testBuffer)
	for range 4 * MaxBytes / testBuffer {
		_, _ = e.Parse(piece)
	}
	assert.Assert(t, e.TooLong())
	assert.Assert(t, len(e.pending) <= MaxBytes+testBuffer, "%d bytes are kept", len(e.pending))
}

// TestStreamWithoutProgressIsBounded guards against streams of comments, of events without an id and of repeated events without
// end.
func TestStreamWithoutProgressIsBounded(t *testing.T) {
	for _, piece := range []string{": keep-alive\n\n", "\n\n", "data: x\n\n", "id: 1\ndata: x\n\n", ": x\n"} {
		var e Parser
		_, _ = e.Parse([]byte("id: 1\ndata: x\n\n"))
		read, passed := 0, 0
		for flood := []byte(strings.Repeat(piece, testBuffer/len(piece))); !e.TooLong() && read < 4*MaxBytes; read += len(flood) {
			whole, _ := e.Parse(flood)
			passed += len(whole)
		}
		assert.Assert(t, e.TooLong(), "%q: %d bytes were read, %d passed on", piece, read, passed)
		assert.Assert(t, passed <= MaxBytes+testBuffer, "%q", piece)
		e.NextEndpoint()
		assert.Assert(t, !e.TooLong(), "%q: not resumed", piece)
	}
}

// TestKeepAliveCommentsAreNotBoundedInSum checks that comments between events may exceed the bound as long as events come.
func TestKeepAliveCommentsAreNotBoundedInSum(t *testing.T) {
	var e Parser
	comments := strings.Repeat(": keep-alive\n\n", testBuffer)
	for id := 1; id <= 4*MaxBytes/len(comments); id++ {
		whole, gap := e.Parse([]byte(comments + fmt.Sprintf("id: %d\n\n", id)))
		assert.Assert(t, !gap && !e.TooLong() && len(whole) > len(comments))
	}
}

// TestEventsNeverRepeat checks that a stream that breaks and starts over yields each event once, with reads of every
// size.
func TestEventsNeverRepeat(t *testing.T) {
	var stream strings.Builder
	for i := 1; i <= 9; i++ {
		fmt.Fprintf(&stream, "id: %d\ndata: x\n\n", i)
	}
	text := stream.String()
	for size := 1; size < len(text); size++ {
		var e Parser
		var got strings.Builder
		feed := func(part string) {
			for len(part) > 0 {
				n := min(size, len(part))
				whole, gap := e.Parse([]byte(part[:n]))
				assert.Assert(t, !gap)
				got.Write(whole)
				part = part[n:]
			}
		}
		cut := size % len(text)
		feed(text[:cut])
		e.NextEndpoint()
		feed(text)
		assert.Equal(t, got.String(), text)
	}
}

// TestGapIsReported checks that an event whose id skips a number is reported as a gap and not counted as received.
func TestGapIsReported(t *testing.T) {
	var e Parser
	_, gap := e.Parse([]byte("id: 1\ndata: a\n\nid: 3\ndata: c\n\n"))
	assert.Assert(t, gap)
	assert.Equal(t, e.last, "1")
}
