package toucanrate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNoticesAreParsed checks which texts name a limit, and that others say nothing.
func TestNoticesAreParsed(t *testing.T) {
	for text, want := range map[string]Notice{
		"":      {},
		"2.5":   {Kind: NoticeNamed, PerSecond: 2.5},
		" 40 ":  {Kind: NoticeNamed, PerSecond: 40},
		"0":     {Kind: NoticeNamed},
		"-1":    {Kind: NoticeUnreadable},
		"NaN":   {Kind: NoticeUnreadable},
		"Inf":   {Kind: NoticeUnreadable},
		"1e999": {Kind: NoticeUnreadable},
		"few":   {Kind: NoticeUnreadable},
	} {
		assert.Check(t, ParseNotice(text) == want, "%q: %v", text, ParseNotice(text))
	}
}

// TestAnswersFromBeforeTheLimitDoNotEndIt checks that only an answer to a request that was sent after a limit was named
// ends it.
func TestAnswersFromBeforeTheLimitDoNotEndIt(t *testing.T) {
	const endpoint = 7
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	limits := New("e")
	assert.Assert(t, !limits.Observe(at(0), at(-10), endpoint, Notice{}))
	assert.Assert(t, limits.Observe(at(20), at(10), endpoint, Notice{Kind: NoticeNamed, PerSecond: 2}))
	assert.Assert(t, !limits.Observe(at(30), at(15), endpoint, Notice{}), "an answer to an earlier request")
	assert.Assert(t, !limits.Observe(at(40), at(35), endpoint, Notice{Kind: NoticeUnreadable}))
	perSecond, limited := limits.Limit(endpoint)
	assert.Assert(t, limited && perSecond == 2)
	assert.Assert(t, limits.Observe(at(60), at(50), endpoint, Notice{}))
	_, limited = limits.Limit(endpoint)
	assert.Assert(t, !limited)
}

// TestEndedLimitStaysEnded checks that an entry to which the endpoint named its limit, and which heard of the end from a peer, does not
// bring the limit back to the others later.
func TestEndedLimitStaysEnded(t *testing.T) {
	const endpoint = 7
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a, b := New("a"), New("b")
	b.Observe(at(0), at(-10), endpoint, Notice{Kind: NoticeNamed, PerSecond: 2})
	a.Apply(at(5), b.Words(at(5)))
	assert.Assert(t, a.Observe(at(1000), at(900), endpoint, Notice{}))
	b.Apply(at(1005), a.Words(at(1005)))
	later := at(2000 + int(endLife.Milliseconds()))
	a.Words(later)
	a.Apply(later, b.Words(later))
	_, limited := a.Limit(endpoint)
	assert.Assert(t, !limited)
}

// TestRepeatedLimitIsNotEndedByEarlierRequests checks that a limit that was just named again is not ended by the answer to a
// request that was sent before.
func TestRepeatedLimitIsNotEndedByEarlierRequests(t *testing.T) {
	const endpoint = 7
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	limits := New("a")
	limits.Observe(at(0), at(-10), endpoint, Notice{Kind: NoticeNamed, PerSecond: 2})
	limits.Observe(at(40), at(10), endpoint, Notice{Kind: NoticeNamed, PerSecond: 2})
	assert.Assert(t, !limits.Observe(at(50), at(20), endpoint, Notice{}))
}
