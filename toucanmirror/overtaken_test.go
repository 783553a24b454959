package toucanmirror

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanhistory"
	"toucanport/toucanlogtest"
	"toucanport/toucanstore"
)

// overtakenSource answers a snapshot with values at a position, after a batch of a peer has arrived meanwhile.
type overtakenSource struct {
	*fakeSource
	mirror   *Mirror
	batch    toucanhistory.Batch
	values   []toucanstore.Value
	position toucanhistory.Position
}

func (s *overtakenSource) Snapshot(context.Context, toucanhistory.Held, func()) ([]toucanstore.Value, toucanhistory.Position, error) {
	s.mirror.Receive(s.batch)
	time.Sleep(time.Millisecond)
	return s.values, s.position, nil
}

// TestBatchOvertakesSnapshot checks what becomes of a copy of era 1 and revision 5, with the keys a and b, when a batch brings it to
// revision 7, without b, while the store is read as a whole.
func TestBatchOvertakesSnapshot(t *testing.T) {
	value := func(key string, revision uint64) toucanstore.Value {
		return toucanstore.Value{Key: key, Revision: revision}
	}
	at := func(era, revision uint64) toucanhistory.Position {
		return toucanhistory.Position{Era: era, Revision: revision}
	}
	batch := toucanhistory.Batch{Era: 1, After: 5, To: 7, Changes: []toucanhistory.Change{{Value: value("a", 6)}, {Value: value("b", 7), Removed: true}}}
	for _, tc := range []struct {
		name     string
		read     []toucanstore.Value
		position toucanhistory.Position
		want     map[string]uint64
		at       toucanhistory.Position
		stats    Stats
	}{
		{"the read is of a revision before", []toucanstore.Value{value("a", 4), value("b", 5)}, at(1, 5), map[string]uint64{"a": 6}, at(1, 7), Stats{Era: 1}},
		{"of one in between", []toucanstore.Value{value("a", 6), value("b", 5)}, at(1, 6), map[string]uint64{"a": 6}, at(1, 7), Stats{Era: 1}},
		{"of the same", []toucanstore.Value{value("a", 6)}, at(1, 7), map[string]uint64{"a": 6}, at(1, 7), Stats{Era: 1}},
		{"of a later one", []toucanstore.Value{value("a", 8)}, at(1, 8), map[string]uint64{"a": 8}, at(1, 8), Stats{Era: 1}},
		{"it finds what a watch left out", []toucanstore.Value{value("a", 4), value("b", 5), value("c", 3)}, at(1, 5), map[string]uint64{"a": 6, "c": 3}, at(1, 7), Stats{Era: 1, Omitted: 1}},
		{"it lacks what a watch did not remove", []toucanstore.Value{value("b", 5)}, at(1, 5), map[string]uint64{"a": 6}, at(1, 7), Stats{Era: 1}},
		{"the store came back, same era", []toucanstore.Value{value("a", 2)}, at(1, 3), map[string]uint64{"a": 2}, at(1, 3), Stats{Era: 1, Restores: 1}},
		{"the store came back, next era", []toucanstore.Value{value("a", 2), value("b", 6)}, at(2, 6), map[string]uint64{"a": 2, "b": 6}, at(2, 6), Stats{Era: 2, Restores: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				source := &overtakenSource{fakeSource: newFakeSource(), batch: batch, values: tc.read, position: tc.position}
				readers := &rankedReaders{}
				log := &toucanlogtest.Log{}
				m := New(source, log.Logger(), WithReaders(readers))
				source.mirror = m
				m.replace([]toucanstore.Value{value("a", 4), value("b", 5)}, at(1, 5))
				m.setPosition(at(1, 5))
				var states []State
				assert.NilError(t, m.snapshot(t.Context(), func(s State) { states = append(states, s) }))
				got := make(map[string]uint64)
				for key, v := range m.values {
					got[key] = v.Revision
				}
				assert.DeepEqual(t, got, tc.want)
				assert.Equal(t, m.copied, tc.at)
				assert.Equal(t, m.lastPosition, tc.at)
				assert.Equal(t, readers.position(), tc.at)
				assert.Equal(t, m.Stats(), tc.stats)
				assert.Equal(t, len(states), 2)
				assert.Equal(t, states[1].Restored, tc.stats.Restores > 0)
			})
		})
	}
}
