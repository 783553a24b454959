package toucanforward

import (
	"bytes"
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
