package toucanmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultSubset is how many endpoints of one service an entry works with when there are more.
	DefaultSubset = 16
	// minCover is the least number of entries that an endpoint is in the subset of.
	minCover = 3
	// slackPercent is how much more than its even share an entry may take on.
	slackPercent = 25
)

// Subset returns the endpoints of one service that the entry self works with, in the order of endpoints. All
// entries that see the same lists agree on it without talking: every endpoint is in the subsets of equally
// many entries, no entry has much more than its share, and one instance more or less moves little. want is the
// size to aim at; the subset is larger when entries are few.
func Subset(self string, entries, endpoints []string, want int) []string {
	entries = slices.Compact(slices.Sorted(slices.Values(entries)))
	me, listed := slices.BinarySearch(entries, self)
	if !listed {
		entries = slices.Insert(entries, me, self)
	}
	if len(endpoints) <= want || len(entries) == 1 {
		return endpoints
	}
	cover := coverOf(len(entries), len(endpoints), want)
	if cover == len(entries) {
		return endpoints
	}
	a := newAssignment(entries, len(endpoints)*cover)
	var subset []string
	for _, endpoint := range slices.Sorted(slices.Values(endpoints)) {
		if slices.Contains(a.assign(endpoint, cover), me) {
			subset = append(subset, endpoint)
		}
	}
	return subset
}

// coverOf returns how many entries take on each endpoint.
func coverOf(entries, endpoints, want int) int {
	cover := (entries*want + endpoints - 1) / endpoints
	return min(max(cover, minCover), entries)
}

// assignment hands endpoints to entries by rendezvous hashing with bounded loads.
type assignment struct {
	hashes []uint64
	load   []int
	// bound is the most endpoints that an entry takes on.
	bound  int
	ranked []ranking
}

// ranking is an entry's index with its score for one endpoint.
type ranking struct {
	score uint64
	entry int
}

func newAssignment(entries []string, total int) *assignment {
	a := &assignment{
		hashes: make([]uint64, len(entries)),
		load:   make([]int, len(entries)),
		ranked: make([]ranking, len(entries)),
		bound:  (total*(100+slackPercent)/100 + len(entries) - 1) / len(entries),
	}
	for i, e := range entries {
		a.hashes[i] = xxhash.Sum64String(e)
	}
	return a
}

// assign returns the indexes of the entries that take on endpoint. The result is valid until the next call.
func (a *assignment) assign(endpoint string, cover int) []int {
	h := xxhash.Sum64String(endpoint)
	for i, e := range a.hashes {
		a.ranked[i] = ranking{mix(h ^ e), i}
	}
	slices.SortFunc(a.ranked, func(x, y ranking) int { return cmp.Compare(y.score, x.score) })
	taken := make([]int, 0, cover)
	for _, r := range a.ranked {
		if len(taken) == cover {
			break
		}
		if a.load[r.entry] < a.bound {
			a.load[r.entry]++
			taken = append(taken, r.entry)
		}
	}
	return taken
}

// mix is the finalizer of splitmix64: it spreads every bit of x over the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
