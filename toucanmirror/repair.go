package toucanmirror

import "toucanport/toucanstore"

// repairEarlier applies a repair that ends before the copy's revision, since the copy may lack what watches left out before. A key
// that the copy has as of an earlier revision than the repair's has not changed since, as far as is known. One that it lacks may
// have been removed since, so that the next call is for a snapshot.
func (m *Mirror) repairEarlier(b Batch, apply func(State)) {
	var changes []Change
	for _, c := range b.Changes {
		held, ok := m.values[c.Key]
		switch {
		case !ok && !c.Removed:
			m.verifyNext = true
		case ok && c.Removed && held.Revision <= b.To, ok && !c.Removed && held.Revision < c.Revision:
			changes = append(changes, c)
		}
	}
	if len(changes) == 0 {
		return
	}
	written, removed := m.apply(changes, m.copied)
	apply(State{Values: m.values, Changed: written, Removed: removed, Origin: OriginReader})
}

// Verify makes the next call be for a snapshot, since the copy may lack a change.
func (m *Mirror) Verify() {
	select {
	case m.doubt <- struct{}{}:
	default:
	}
}

// takeDoubt makes the next call be for a snapshot if Verify was called.
func (m *Mirror) takeDoubt() {
	select {
	case <-m.doubt:
		m.verifyNext = true
	default:
	}
}

// hasRemoved reports whether a snapshot's values lack a key of the copy. A watch may have left out its removal.
func (m *Mirror) hasRemoved(values []toucanstore.Value) bool {
	listed := make(map[string]bool, len(values))
	for _, v := range values {
		listed[v.Key] = true
	}
	for key := range m.values {
		if !listed[key] {
			return true
		}
	}
	return false
}
