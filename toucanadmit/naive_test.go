package toucanadmit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNaiveStartsAllRequestsInOrder(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewNaive(Config{})
	for _, id := range []string{"a", "b", "c"} {
		assert.NilError(t, p.Offer(now, Request{ID: id}))
	}
	p.Done(now, "b", 0, false)
	assert.DeepEqual(t, p.Next(now), []Start{{ID: "a"}, {ID: "c"}})
	assert.Equal(t, p.Load(now).Running, 2)
	p.Done(now, "a", 7, true)
	assert.Equal(t, p.Load(now).Running, 1)
}

func TestNaiveExpiresPastDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewNaive(Config{})
	assert.NilError(t, p.Offer(now, Request{ID: "a", Deadline: now.Add(time.Second)}))
	assert.Equal(t, len(p.Expired(now)), 0)
	assert.DeepEqual(t, p.Expired(now.Add(time.Second)), []string{"a"})
}

func TestRefusalUnwrapsToOverloaded(t *testing.T) {
	var err error = &RefusalError{RetryAfter: time.Second}
	assert.ErrorIs(t, err, ErrOverloaded)
}
