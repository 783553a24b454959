package toucantraffic

import "sync/atomic"

// Current holds the newest known table of a process. It is safe for concurrent use.
type Current struct {
	table atomic.Pointer[Table]
}

// Table returns the newest table, or nil while none is known.
func (c *Current) Table() *Table { return c.table.Load() }

// Offer takes t if its version is above the held one, and says whether it did. Versions never go back.
func (c *Current) Offer(t *Table) bool {
	for {
		held := c.table.Load()
		if held != nil && held.Version >= t.Version {
			return false
		}
		if c.table.CompareAndSwap(held, t) {
			return true
		}
	}
}
