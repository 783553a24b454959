package toucanhistory

import "toucanport/toucanstore"

// Overtaking is what brings a copy forward while the store is read as a whole, which can take long. The read can then be older than
// the copy, although the store is not.
type Overtaking struct {
	// from is the position of the copy when the read began, and to its position now.
	from, to Position
	changes  []Change
}

// NewOvertaking returns the Overtaking of a read that begins while the copy is at a position.
func NewOvertaking(at Position) *Overtaking { return &Overtaking{from: at, to: at} }

// Record adds changes up to a position. It does nothing for nil.
func (o *Overtaking) Record(changes []Change, to Position) {
	if o != nil {
		o.changes, o.to = append(o.changes, changes...), to
	}
}

// AddTo returns the values of a read, at a position, with the later changes, and the position of the result. The changes are all
// that the store made from o.from to o.to, so that none is missing from the read on if it is of a revision in between. Other reads
// are returned as they are.
func (o *Overtaking) AddTo(list []toucanstore.Value, at Position) ([]toucanstore.Value, Position) {
	if at.Era != o.to.Era || o.from.IsAfter(at) || !o.to.IsAfter(at) {
		return list, at
	}
	vs := NewValues(list)
	for _, c := range o.changes {
		if c.Revision > at.Revision {
			vs.Apply([]Change{c})
		}
	}
	return vs.List(), o.to
}
