package toucanmember

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCellEntries is the minimum of the mean number of entries in a cell.
	minCellEntries = 16
	// minCellEndpoints is the minimum of the mean number of a service's endpoints in a cell. A service with fewer
	// endpoints is not divided.
	minCellEndpoints = 8
)

// Cells partitions a large deployment. An entry uses the endpoints of its own cell and exchanges reports only with the
// entries of that cell, so that its costs don't grow with the deployment. The number of cells is a power of two; when
// it doubles, half of the members stay in their cell. Cells is immutable.
type Cells struct {
	count int
}

// NewCells returns the cells for a deployment with the given number of entries.
func NewCells(entries int) Cells {
	n := max(entries/minCellEntries, 1)
	return Cells{count: 1 << (bits.Len(uint(n)) - 1)}
}

// Count returns the number of cells; at least one.
func (c Cells) Count() int { return max(c.count, 1) }

// Of returns the index of the cell of an entry or endpoint, given its name.
func (c Cells) Of(name string) int {
	return int(mix(xxhash.Sum64String(name)) & uint64(c.Count()-1))
}

// Divides reports whether a service with the given number of endpoints is divided among the cells.
func (c Cells) Divides(endpoints int) bool {
	return c.Count() > 1 && endpoints >= minCellEndpoints*c.Count()
}
