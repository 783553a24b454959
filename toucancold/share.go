// Package toucancold bounds how many requests reach an endpoint in any one second while it may be cold, from all entries
// together. It answers the load of a failure domain that comes back at once while requests wait at every entry: each entry
// would choose the empty endpoints before it hears of the others' choices.
//
// Entries need no messages for it. Each may send a fixed share of the limit, by the number of entries that it knows and its
// rank among them, so that a lost report, a silent store or an entry that ends changes nothing. The package is pure.
package toucancold

import (
	"math"
	"strconv"

	"github.com/pkg/errors"

	"toucanport/toucanmember"
)

// ErrOdd is returned for figures from which no limit can be computed.
var ErrOdd = errors.New("limit of cold endpoints can't be used")

// maxLimit bounds a limit. A larger one can't bind.
const maxLimit = 1 << 20

// Limit returns the requests that an endpoint may get in any one second while it is cold: a rate a second, times an overage,
// plus a slack. It is zero, which means no limit, unless rate and overage are above zero. The error is ErrOdd for negative or
// infinite figures.
func Limit(perSecond, overage, slack float64) (int, error) {
	for _, f := range []float64{perSecond, overage, slack} {
		if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return 0, errors.Wrapf(ErrOdd, "rate %v, overage %v, slack %v", perSecond, overage, slack)
		}
	}
	if perSecond == 0 || overage == 0 {
		return 0, nil
	}
	limit := perSecond*overage + slack
	if limit > maxLimit {
		return 0, errors.Wrapf(ErrOdd, "rate %v, overage %v, slack %v", perSecond, overage, slack)
	}
	return int(max(limit, 1)), nil
}

// Share returns how many requests an entry may send to an endpoint in any one second. entries are the names of all that may
// send to it, with or without self. The shares of all add up to the limit at most, also if some entries know of one more
// entry than the others do: part of the limit is left for one that has just joined.
func Share(limit int, self string, endpoint uint64, entries []string) int {
	parts := len(entries) + 1
	share, rest := limit/parts, limit%parts
	if toucanmember.IsResponsible(self, strconv.FormatUint(endpoint, 16), entries, rest-1) {
		share++
	}
	return share
}
