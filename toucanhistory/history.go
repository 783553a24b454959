// Package toucanhistory describes the history of the platform's store: positions in it, changes, and what a copy of its values
// becomes by them. It performs no I/O.
package toucanhistory

import (
	"cmp"
	"maps"
	"slices"

	"toucanport/toucanstore"
)

// Position is a point in the store's history. The zero value is no position.
type Position struct {
	// Era counts how often the store came back from an older copy; zero if the store does not report it. Revisions of
	// different eras are not comparable.
	Era      uint64
	Revision uint64
}

// IsAfter reports whether p is of a later era than q, or later in the same one.
func (p Position) IsAfter(q Position) bool {
	return p.Era > q.Era || p.Era == q.Era && p.Revision > q.Revision
}

// Change is the write or removal of one key.
type Change struct {
	toucanstore.Value
	Removed bool
}

// Batch holds all changes of the store after one revision up to another, of one era, in the order of their revisions.
type Batch struct {
	Era, After, To uint64
	Changes        []Change
	// Repair is true if the changes include earlier ones that watches left out. They count wherever they are newer than what a
	// process has.
	Repair bool
}

// Values are the values of a copy of the store by key.
type Values map[string]toucanstore.Value

// NewValues returns the values of a list.
func NewValues(list []toucanstore.Value) Values {
	vs := make(Values, len(list))
	for _, v := range list {
		vs[v.Key] = v
	}
	return vs
}

// List returns the values in no particular order.
func (vs Values) List() []toucanstore.Value { return slices.Collect(maps.Values(vs)) }

// Apply applies changes. It returns the keys that were written, never nil, and those that were removed.
func (vs Values) Apply(changes []Change) (written, removed []string) {
	written = make([]string, 0, len(changes))
	for _, c := range changes {
		held, ok := vs[c.Key]
		switch {
		case ok && held.Revision > c.Revision:
			// The copy is newer.
		case c.Removed:
			delete(vs, c.Key)
			removed = append(removed, c.Key)
		default:
			vs[c.Key] = c.Value
			written = append(written, c.Key)
		}
	}
	return written, removed
}

// MissingIn returns the keys that next lacks.
func (vs Values) MissingIn(next Values) []string {
	var missing []string
	for key := range vs {
		if _, ok := next[key]; !ok {
			missing = append(missing, key)
		}
	}
	return missing
}

// ChangesTo returns the changes to the values that were read at a revision, in the order of their revisions. Removals get that
// revision.
func (vs Values) ChangesTo(next Values, revision uint64) []Change {
	var changes []Change
	for key, v := range next {
		if held, ok := vs[key]; !ok || held.Revision < v.Revision {
			changes = append(changes, Change{Value: v})
		}
	}
	for _, key := range vs.MissingIn(next) {
		changes = append(changes, Change{Value: toucanstore.Value{Key: key, Revision: revision}, Removed: true})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// Repairs returns the changes of a repair, which ends before the copy's revision, that hold for the copy. A key that the copy has as of
// an earlier revision than the repair's has not changed since, as far as is known. One that it lacks may have been removed
// since: unknown is then true.
func (vs Values) Repairs(b Batch) (changes []Change, unknown bool) {
	for _, c := range b.Changes {
		held, ok := vs[c.Key]
		switch {
		case !ok && !c.Removed:
			unknown = true
		case ok && c.Removed && held.Revision <= b.To, ok && !c.Removed && held.Revision < c.Revision:
			changes = append(changes, c)
		}
	}
	return changes, unknown
}
