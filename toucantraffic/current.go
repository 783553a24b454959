package toucantraffic

import (
	"sync/atomic"
	"time"
)

// Current holds the table with the highest version so far. It is safe for concurrent use.
type Current struct {
	active atomic.Pointer[activeTable]
}

// activeTable is a table and the time since which it is in force.
type activeTable struct {
	table *Table
	since time.Time
}

// Table returns the current table, or nil before the first Offer.
func (c *Current) Table() *Table {
	if active := c.active.Load(); active != nil {
		return active.table
	}
	return nil
}

// Age returns how long the current table has been in force. It returns false before the first Offer.
func (c *Current) Age(now time.Time) (time.Duration, bool) {
	active := c.active.Load()
	if active == nil {
		return 0, false
	}
	return now.Sub(active.since), true
}

// Offer replaces the current table by t if t has a higher version, and reports whether it did. The current version
// never decreases.
func (c *Current) Offer(t *Table) bool {
	next := &activeTable{table: t, since: time.Now()}
	for {
		active := c.active.Load()
		if active != nil && active.table.Version >= t.Version {
			return false
		}
		if c.active.CompareAndSwap(active, next) {
			return true
		}
	}
}
