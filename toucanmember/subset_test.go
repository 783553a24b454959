package toucanmember_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanmember"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

// subsetsByEntry returns the subset of each entry.
func subsetsByEntry(entries, endpoints []string, want int) map[string][]string {
	out := make(map[string][]string, len(entries))
	for _, e := range entries {
		out[e] = toucanmember.Subset(e, entries, endpoints, want)
	}
	return out
}

// entriesByEndpoint returns the number of entries that use each endpoint.
func entriesByEndpoint(subsets map[string][]string) map[string]int {
	out := make(map[string]int)
	for _, s := range subsets {
		for _, e := range s {
			out[e]++
		}
	}
	return out
}

// TestSubsetsCoverEvenly checks for random numbers of entries and endpoints that every endpoint is in equally many
// subsets, at least three if there are as many entries, and that no entry exceeds an even share by much more than 10%.
func TestSubsetsCoverEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := names("entry", rapid.IntRange(1, 40).Draw(t, "entries"))
		endpoints := names("endpoint", rapid.IntRange(1, 120).Draw(t, "endpoints"))
		subsets := subsetsByEntry(entries, endpoints, 16)
		covered := entriesByEndpoint(subsets)
		least, most := len(entries), 0
		for _, e := range endpoints {
			least, most = min(least, covered[e]), max(most, covered[e])
		}
		assert.Assert(t, least >= min(3, len(entries)), "covered %d times", least)
		assert.Assert(t, most == least, "covered %d to %d times", least, most)
		share := float64(len(endpoints)*most) / float64(len(entries))
		for e, s := range subsets {
			assert.Assert(t, float64(len(s)) <= 1.1*share+3, "%s has %d, share %.1f", e, len(s), share)
		}
	})
}

// TestSubsetsChangeLittleAfterRemoval checks that the removal of one entry or one endpoint changes few assignments.
func TestSubsetsChangeLittleAfterRemoval(t *testing.T) {
	entries, endpoints := names("entry", 60), names("endpoint", 189)
	before := subsetsByEntry(entries, endpoints, 16)
	t.Run("entry", func(t *testing.T) {
		after := subsetsByEntry(slices.Delete(slices.Clone(entries), 20, 21), endpoints, 16)
		delete(before, "entry20")
		moved := countMoved(before, after)
		assert.Assert(t, moved <= 8*16, "%d of %d links moved", moved, 60*16)
	})
	t.Run("endpoint", func(t *testing.T) {
		after := subsetsByEntry(entries, slices.Delete(slices.Clone(endpoints), 50, 51), 16)
		moved := countMoved(before, after)
		assert.Assert(t, moved <= 8*16, "%d of %d links moved", moved, 60*16)
	})
}

// countMoved returns the number of endpoints that entries have in after but not in before.
func countMoved(before, after map[string][]string) int {
	n := 0
	for entry, endpoints := range after {
		for _, e := range endpoints {
			if !slices.Contains(before[entry], e) {
				n++
			}
		}
	}
	return n
}

func TestSubsetWithoutKnownEntriesIsBounded(t *testing.T) {
	got := toucanmember.Subset("entry7", nil, names("endpoint", 189), 16)
	assert.Equal(t, len(got), 16)
	assert.DeepEqual(t, toucanmember.Subset("entry7", nil, names("endpoint", 5), 16), names("endpoint", 5))
}

func TestSubsetDoesNotDependOnOrder(t *testing.T) {
	entries, endpoints := names("entry", 30), names("endpoint", 100)
	want := toucanmember.Subset("entry7", entries, endpoints, 16)
	slices.Reverse(entries)
	slices.Reverse(endpoints)
	assert.DeepEqual(t, toucanmember.Subset("entry7", entries, endpoints, 16), want)
}

// BenchmarkSubset computes one subset for a service of the design size: 189 endpoints and 420 entries.
func BenchmarkSubset(b *testing.B) {
	entries, endpoints := names("entry", 420), names("endpoint", 189)
	for b.Loop() {
		toucanmember.Subset("entry7", entries, endpoints, 8)
	}
}

func TestIsResponsibleSelectsExactlyN(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := names("entry", rapid.IntRange(1, 50).Draw(t, "entries"))
		item := rapid.String().Draw(t, "item")
		chosen := 0
		for _, e := range entries {
			if toucanmember.IsResponsible(e, item, entries, 3) {
				chosen++
			}
		}
		assert.Equal(t, chosen, min(3, len(entries)))
	})
}
