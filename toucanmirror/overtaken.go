package toucanmirror

import (
	"maps"
	"slices"

	"toucanport/toucanstore"
)

// overtaking is what batches of peers bring while the store is read as a whole, which can take long. The read can then be older than
// the copy, although the store is not.
type overtaking struct {
	// from is the position of the copy when the read began, and to its position now.
	from, to Position
	changes  []Change
}

// beginRead records what batches bring from now on, until m.meanwhile is reset.
func (m *Mirror) beginRead() *overtaking {
	m.meanwhile = &overtaking{from: m.copied, to: m.copied}
	return m.meanwhile
}

// record adds changes up to a position. It does nothing for nil.
func (o *overtaking) record(changes []Change, to Position) {
	if o != nil {
		o.changes, o.to = append(o.changes, changes...), to
	}
}

// addTo returns the values of a read, at a position, with the later changes, and the position of the result. The changes are all
// that the store made from o.from to o.to, so that none is missing from the read on if it is of a revision in between. Other reads
// are returned as they are.
func (o *overtaking) addTo(values []toucanstore.Value, at Position) ([]toucanstore.Value, Position) {
	if at.Era != o.to.Era || o.from.IsAfter(at) || !o.to.IsAfter(at) {
		return values, at
	}
	merged := make(map[string]toucanstore.Value, len(values))
	for _, v := range values {
		merged[v.Key] = v
	}
	for _, c := range o.changes {
		switch {
		case c.Revision <= at.Revision, merged[c.Key].Revision > c.Revision:
			// The read has it, or a later one.
		case c.Removed:
			delete(merged, c.Key)
		default:
			merged[c.Key] = c.Value
		}
	}
	return slices.Collect(maps.Values(merged)), o.to
}
