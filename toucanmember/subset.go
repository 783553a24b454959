package toucanmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSubset and minSubset bound the number of endpoints of a service that an entry aims to use.
	maxSubset = 16
	minSubset = 4
	// maxLinks is the number of links to endpoints of all services that an entry aims not to exceed.
	maxLinks = 72
	// minEntriesPerEndpoint is the minimum number of entries that use an endpoint, if there are as many.
	minEntriesPerEndpoint = 3
	// slackPercent is the allowed excess of an entry's endpoints over an even share.
	slackPercent = 10
)

// SubsetSize returns the number of endpoints of each service that an entry aims to use, given the number of services.
func SubsetSize(services int) int {
	return min(max(maxLinks/max(services, 1), minSubset), maxSubset)
}

// Subset returns the endpoints of one service that the entry self uses: all endpoints in the order of the argument if
// there are few, otherwise a subset sorted by name. Entries with the same lists compute consistent subsets without
// communication: every endpoint is in the subsets of equally many entries, no entry has much more than an even share,
// and adding or removing one instance changes few assignments. want is the desired size; the subset is larger if there
// are few entries. If entries is empty, the result is the want endpoints with the highest scores for self.
func Subset(self string, entries, endpoints []string, want int) []string {
	if len(entries) == 0 {
		return topScored(self, endpoints, want)
	}
	entries = slices.Compact(slices.Sorted(slices.Values(entries)))
	selfIndex, listed := slices.BinarySearch(entries, self)
	if !listed {
		entries = slices.Insert(entries, selfIndex, self)
	}
	if len(endpoints) <= want || len(entries) == 1 {
		return endpoints
	}
	cover := entriesPerEndpoint(len(entries), len(endpoints), want)
	if cover == len(entries) {
		return endpoints
	}
	a := newAssignment(entries, len(endpoints)*cover)
	var subset []string
	for _, endpoint := range slices.Sorted(slices.Values(endpoints)) {
		if slices.Contains(a.assign(endpoint, cover), selfIndex) {
			subset = append(subset, endpoint)
		}
	}
	return subset
}

// topScored returns the want endpoints with the highest scores for self, sorted by name.
func topScored(self string, endpoints []string, want int) []string {
	h := xxhash.Sum64String(self)
	score := func(e string) uint64 { return mix(h ^ xxhash.Sum64String(e)) }
	chosen := slices.SortedFunc(slices.Values(endpoints), func(x, y string) int { return cmp.Compare(score(y), score(x)) })
	chosen = chosen[:min(want, len(chosen))]
	slices.Sort(chosen)
	return chosen
}

// entriesPerEndpoint returns the number of entries that use each endpoint.
func entriesPerEndpoint(entries, endpoints, want int) int {
	cover := (entries*want + endpoints - 1) / endpoints
	return min(max(cover, minEntriesPerEndpoint), entries)
}

// assignment assigns endpoints to entries by rendezvous hashing with bounded loads.
type assignment struct {
	// hashes and load hold the hash of each entry's name and the number of endpoints assigned to it.
	hashes []uint64
	load   []int
	// maxLoad is the number of endpoints at which an entry counts as full.
	maxLoad int
	// ranked is reused by each call of assign.
	ranked []ranking
}

// ranking is an entry's index with its score for one endpoint.
type ranking struct {
	score uint64
	entry int
}

func newAssignment(entries []string, total int) *assignment {
	a := &assignment{
		hashes:  make([]uint64, len(entries)),
		load:    make([]int, len(entries)),
		ranked:  make([]ranking, len(entries)),
		maxLoad: (total*(100+slackPercent)/100 + len(entries) - 1) / len(entries),
	}
	for i, e := range entries {
		a.hashes[i] = xxhash.Sum64String(e)
	}
	return a
}

// assign assigns endpoint to cover entries and returns their indexes. It takes the entries with the highest scores that
// are below maxLoad and, if there are too few, the full entries with the highest scores.
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
		if a.load[r.entry] < a.maxLoad {
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

// mix is the finalizer of splitmix64. Every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Responsible returns the entry that is responsible for item; empty if there are no entries. Entries with the same list agree
// on it without communication, and an entry that is added or removed changes it for few items.
func Responsible(item string, entries []string) string {
	h := xxhash.Sum64String(item)
	best, most := "", uint64(0)
	for _, e := range entries {
		if score := mix(h ^ xxhash.Sum64String(e)); best == "" || score > most {
			best, most = e, score
		}
	}
	return best
}

// IsResponsible reports whether self is one of the n entries that are responsible for item, such as for the watch of a
// document. Entries with the same list agree on the n entries without communication.
func IsResponsible(self, item string, entries []string, n int) bool {
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
