package toucanhistory

import (
	"testing"

	"gotest.tools/v3/assert"

	"toucanport/toucanstore"
)

// TestLargeValuesCountOnlyIfReadAgain checks what the size of a complete read is taken to be, which bounds how often it is read.
func TestLargeValuesCountOnlyIfReadAgain(t *testing.T) {
	large := toucanstore.Value{Key: "k", Body: make([]byte, LargeBody), Revision: 3}
	again := toucanstore.Value{Key: "k", Body: make([]byte, LargeBody), Revision: 3}
	changed := toucanstore.Value{Key: "k", Body: make([]byte, LargeBody), Revision: 4}
	held := Held{Values: map[string]toucanstore.Value{"k": large}}
	for _, tc := range []struct {
		name   string
		value  toucanstore.Value
		held   Held
		counts bool
	}{
		{"first read", large, Held{}, false},
		{"not read again", large, held, false},
		{"read again", again, held, true},
		{"changed", changed, held, false},
	} {
		n := tc.held.ReadBytes([]toucanstore.Value{tc.value})
		assert.Equal(t, n >= LargeBody, tc.counts, tc.name)
	}
}
