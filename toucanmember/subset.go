package toucanmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSubset and minSubset bound how many endpoints of one service an entry works with when there are more.
	maxSubset = 16
	minSubset = 4
	// maxLinks is how many links an entry aims to keep to all services together.
	maxLinks = 72
	// minCover is the least number of entries that an endpoint is in the subset of.
	minCover = 3
	// slackPercent is how much more than its even share an entry may take on.
	slackPercent = 10
)

// SubsetSize returns how many endpoints of each service an entry aims to work with, given how many services
// there are.
func SubsetSize(services int) int {
	return min(max(maxLinks/max(services, 1), minSubset), maxSubset)
}

// Subset returns the endpoints of one service that the entry self works with, in the order of endpoints. All
// entries that see the same lists agree on it without talking: every endpoint is in the subsets of equally
// many entries, no entry has much more than its share, and one instance more or less moves little. want is the
// size to aim at; the subset is larger when entries are few. While no entries are known it is want endpoints
// of the entry's own choice.
func Subset(self string, entries, endpoints []string, want int) []string {
	if len(entries) == 0 {
		return ownChoice(self, endpoints, want)
	}
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

// ownChoice returns the want endpoints with the highest scores for self, in the order of their names.
func ownChoice(self string, endpoints []string, want int) []string {
	h := xxhash.Sum64String(self)
	score := func(e string) uint64 { return mix(h ^ xxhash.Sum64String(e)) }
	chosen := slices.SortedFunc(slices.Values(endpoints), func(x, y string) int { return cmp.Compare(score(y), score(x)) })
	chosen = chosen[:min(want, len(chosen))]
	slices.Sort(chosen)
	return chosen
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

// assign returns the indexes of the entries that take on endpoint: those with the highest scores that have room,
// and beyond them, when too few have room, those with the highest scores.
func (a *assignment) assign(endpoint string, cover int) []int {
	h := xxhash.Sum64String(endpoint)
	for i, e := range a.hashes {
		a.ranked[i] = ranking{mix(h ^ e), i}
	}
	slices.SortFunc(a.ranked, func(x, y ranking) int { return cmp.Compare(y.score, x.score) })
	taken := make([]int, 0, cover)
	var full []int
	for _, r := range a.ranked {
		if len(taken) == cover {
			break
		}
		if a.load[r.entry] < a.bound {
			taken = append(taken, r.entry)
		} else {
			full = append(full, r.entry)
		}
	}
	taken = append(taken, full[:min(len(full), cover-len(taken))]...)
	for _, entry := range taken {
		a.load[entry]++
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

// Chosen reports whether self is among the n entries that look after item, such as the watch of a document.
// Entries that see the same list agree on it without talking.
func Chosen(self, item string, entries []string, n int) bool {
	h := xxhash.Sum64String(item)
	own := mix(h ^ xxhash.Sum64String(self))
	before := 0
	for _, e := range entries {
		if e != self && mix(h^xxhash.Sum64String(e)) > own {
			before++
		}
	}
	return before < n
}
