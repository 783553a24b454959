package toucanmember

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCells checks the number of cells, that members are spread evenly, that about half of the members keep their cell
// when the number of cells doubles, and which services are divided.
func TestCells(t *testing.T) {
	for entries, want := range map[int]int{0: 1, 5: 1, 31: 1, 32: 2, 63: 2, 64: 4, 107: 4, 420: 16} {
		assert.Equal(t, NewCells(entries).Count(), want, "%d entries", entries)
	}
	const members = 4096
	small, large := NewCells(128), NewCells(256)
	sizes := make(map[int]int)
	stay := 0
	for i := range members {
		name := fmt.Sprint("entry-", i)
		sizes[large.Of(name)]++
		if small.Of(name) == large.Of(name) {
			stay++
		}
	}
	assert.Equal(t, len(sizes), large.Count())
	for cell, n := range sizes {
		assert.Assert(t, n > members/large.Count()*3/4 && n < members/large.Count()*5/4, "cell %d has %d", cell, n)
	}
	assert.Assert(t, stay > members*2/5, "%d stay", stay)
	assert.Assert(t, !NewCells(5).Divides(1000))
	assert.Assert(t, !large.Divides(60))
	assert.Assert(t, large.Divides(200))
}
