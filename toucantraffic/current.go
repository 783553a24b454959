package toucantraffic

import (
	"sync/atomic"
	"time"
)

// Current holds the newest table. It is safe for concurrent use.
type Current struct {
	held atomic.Pointer[taken]
}

// taken is a table with the time when it came into force.
type taken struct {
	table *Table
	at    time.Time
}

// Table returns the newest table, or nil while none is known.
func (c *Current) Table() *Table {
	if held := c.held.Load(); held != nil {
		return held.table
	}
	return nil
}

// Age returns how long the newest table has been in force, and false while none is known.
func (c *Current) Age(now time.Time) (time.Duration, bool) {
	held := c.held.Load()
	if held == nil {
		return 0, false
	}
	return now.Sub(held.at), true
}

// Offer takes t if its version is above the held one, and says whether it did. Versions never go back.
func (c *Current) Offer(t *Table) bool {
	next := &taken{table: t, at: time.Now()}
	for {
		held := c.held.Load()
		if held != nil && held.table.Version >= t.Version {
			return false
		}
		if c.held.CompareAndSwap(held, next) {
			return true
		}
	}
}
