package toucansidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

func TestExpiredRequestIsRefusedWithRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	ref := endRefusal(expiryEnd(time.Time{}, now, 2*time.Second), 0)
	assert.Equal(t, ref.Code, toucanwire.CodeOverloaded)
	assert.Equal(t, ref.Ran, toucanwire.RanNo)
	assert.Equal(t, ref.RetryAfterMillis, uint32(2000))
	assert.Assert(t, ref.Retryable)
	end := expiryEnd(now.Add(time.Second), now, 2*time.Second)
	assert.DeepEqual(t, end, toucanstream.End{
		Failure: codeDeadline, Message: "the request could not start before its deadline",
	})
}
