package toucanadmit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReplacedPolicyKeepsItsRequests(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewReplaceablePolicy(NewNaive(Config{}))
	assert.NilError(t, s.Offer(now, Request{ID: "old"}))
	s.Replace(NewNaive(Config{}))
	assert.NilError(t, s.Offer(now, Request{ID: "new"}))
	assert.Equal(t, s.Load(now).Queued, 2)

	starts := s.Next(now)
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].ID, "old")
	assert.Equal(t, len(s.replaced), 1)

	s.Done(now, "old", 3, true)
	assert.Equal(t, len(s.replaced), 0)
	assert.Equal(t, s.Load(now).Running, 1)
	s.Done(now, "new", 3, true)
	assert.Equal(t, s.Load(now).Running, 0)
}
