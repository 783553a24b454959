package toucanroute

import "slices"

// maxPreviousBoots is the number of earlier boots that are remembered for each endpoint.
const maxPreviousBoots = 4

// reportFilter detects load reports of one endpoint that arrive late.
type reportFilter struct {
	boot     uint64
	sequence uint64
	// previousBoots is a ring buffer of the boot IDs before the current one.
	previousBoots [maxPreviousBoots]uint64
	next          int
	seen          bool
}

// accept reports whether a report is newer than all reports accepted before, and records it if so.
func (o *reportFilter) accept(boot, sequence uint64) bool {
	if !o.seen {
		o.seen, o.boot, o.sequence = true, boot, sequence
		return true
	}
	if boot == o.boot {
		if sequence <= o.sequence {
			return false
		}
		o.sequence = sequence
		return true
	}
	if slices.Contains(o.previousBoots[:], boot) {
		return false
	}
	o.previousBoots[o.next] = o.boot
	o.next = (o.next + 1) % maxPreviousBoots
	o.boot, o.sequence = boot, sequence
	return true
}
