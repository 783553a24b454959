package toucanforward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventWithoutEndIsBounded checks that bytes without the end of an event are not kept without limit.
func TestEventWithoutEndIsBounded(t *testing.T) {
	var e eventParser
	piece := bytes.Repeat([]byte("x"), relayBuffer)
	for range 4 * maxEventBytes / relayBuffer {
		_, _ = e.parse(piece)
	}
	assert.Assert(t, e.tooLong())
	assert.Assert(t, len(e.pending) <= maxEventBytes+relayBuffer, "%d bytes are kept", len(e.pending))
}

// TestStreamWithoutProgressIsBounded guards against streams of comments, of events without an id and of repeated events without
// end.
func TestStreamWithoutProgressIsBounded(t *testing.T) {
	for _, piece := range []string{": keep-alive\n\n", "\n\n", "data: x\n\n", "id: 1\ndata: x\n\n", ": x\n"} {
		var e eventParser
		_, _ = e.parse([]byte("id: 1\ndata: x\n\n"))
		read, passed := 0, 0
		for flood := []byte(strings.Repeat(piece, relayBuffer/len(piece))); !e.tooLong() && read < 4*maxEventBytes; read += len(flood) {
			whole, _ := e.parse(flood)
			passed += len(whole)
		}
		assert.Assert(t, e.tooLong(), "%q: %d bytes were read, %d passed on", piece, read, passed)
		assert.Assert(t, passed <= maxEventBytes+relayBuffer, "%q", piece)
		e.discardPartial()
		assert.Assert(t, !e.tooLong(), "%q: not resumed", piece)
	}
}

// TestKeepAliveCommentsAreNotBoundedInSum checks that comments between events may exceed the bound as long as events come.
func TestKeepAliveCommentsAreNotBoundedInSum(t *testing.T) {
	var e eventParser
	comments := strings.Repeat(": keep-alive\n\n", relayBuffer)
	for id := 1; id <= 4*maxEventBytes/len(comments); id++ {
		whole, gap := e.parse([]byte(comments + fmt.Sprintf("id: %d\n\n", id)))
		assert.Assert(t, !gap && !e.tooLong() && len(whole) > len(comments))
	}
}
