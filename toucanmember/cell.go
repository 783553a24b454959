package toucanmember

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// cellEntries is the least mean number of entries of a cell.
	cellEntries = 16
	// cellEndpoints is the least mean number of a service's endpoints in a cell; a service with fewer is not divided.
	cellEndpoints = 8
)

// Cells divide a large deployment, so that an entry works with the endpoints of its own cell and only the entries of one
// cell tell one another what they do. The costs of an entry then do not grow with the deployment. Their number is a power
// of two, so that half of the members stay where they are when it doubles. It is immutable.
type Cells struct {
	count int
}

// NewCells returns the cells of a deployment with a number of entries.
func NewCells(entries int) Cells {
	n := max(entries/cellEntries, 1)
	return Cells{count: 1 << (bits.Len(uint(n)) - 1)}
}

// Count returns the number of cells; at least one.
func (c Cells) Count() int { return max(c.count, 1) }

// Of returns the cell of an entry or an endpoint by its name.
func (c Cells) Of(name string) int {
	return int(mix(xxhash.Sum64String(name)) & uint64(c.Count()-1))
}

// Divides reports whether a service with a number of endpoints is divided among the cells.
func (c Cells) Divides(endpoints int) bool {
	return c.Count() > 1 && endpoints >= cellEndpoints*c.Count()
}
