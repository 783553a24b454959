package toucanmirror

import (
	"toucanport/toucanhistory"
	"toucanport/toucanstore"
)

// repairEarlier applies a repair that ends before the copy's revision, since the copy may lack what watches left out before. If it is
// unknown what holds for a key, the next call is for a snapshot.
func (m *Mirror) repairEarlier(b toucanhistory.Batch, apply func(State)) {
	changes, unknown := m.values.Repairs(b)
	m.verifyNext = m.verifyNext || unknown
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
	return len(m.values.MissingIn(toucanhistory.NewValues(values))) > 0
}
