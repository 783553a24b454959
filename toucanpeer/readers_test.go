package toucanpeer

import (
	"fmt"
	"testing"
	"time"

	"toucanport/toucanhistory"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// readerReport is the report of an entry that can read the store for others.
func readerReport(name string) *Report {
	return &Report{Sender: name, Boot: 1, Serial: 1, CopyRevision: 5, StoreSilentMillis: 1}
}

// rankAmong returns the rank of the entry "self" whose peers sent the reports at start.
func rankAmong(now time.Time, reports ...*Report) int {
	state, _ := newState()
	state.lastStoreAnswer = start
	for _, r := range reports {
		state.Apply(start, r)
	}
	return NewReaders("self", state, func(toucanhistory.Batch) {}).Rank(now)
}

// TestEntriesAgreeOnReaders checks that of entries that hear each other each has another rank.
func TestEntriesAgreeOnReaders(t *testing.T) {
	const entries = 27
	ranks := make(map[int]bool)
	for i := range entries {
		state, _ := newState()
		state.lastStoreAnswer = start
		for j := range entries {
			if j != i {
				state.Apply(start, readerReport(fmt.Sprint("entry", j)))
			}
		}
		ranks[NewReaders(fmt.Sprint("entry", i), state, func(toucanhistory.Batch) {}).Rank(start)] = true
	}
	assert.Equal(t, len(ranks), entries)
}

// TestWhoCountsAsReader checks which peers read the store in preference to an entry.
func TestWhoCountsAsReader(t *testing.T) {
	var before *Report // a peer that ranks before "self"
	for i := 0; before == nil; i++ {
		if r := readerReport(fmt.Sprint("entry", i)); rankAmong(start, r) == 1 {
			before = r
		}
	}
	with := func(change func(*Report)) *Report {
		r := proto.Clone(before).(*Report)
		change(r)
		return r
	}
	soon := start.Add(readerTimeout)
	assert.Equal(t, rankAmong(soon, before), 1)
	for name, rank := range map[string]int{
		"not heard any more":       rankAmong(soon.Add(time.Millisecond), before),
		"turned away by the store": rankAmong(start, with(func(r *Report) { r.StoreAway = true })),
		"shutting down":            rankAmong(start, with(func(r *Report) { r.Stopping = true })),
		"without a copy":           rankAmong(start, with(func(r *Report) { r.CopyRevision = 0 })),
		"store silent to all":      rankAmong(start.Add(StoreSilentAfter+time.Second), with(func(r *Report) { r.StoreSilentMillis = 0 })),
	} {
		assert.Equal(t, rank, 0, name)
	}
}
