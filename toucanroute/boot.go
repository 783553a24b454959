package toucanroute

import "slices"

// retiredBoots is how many earlier boots of one endpoint are remembered.
const retiredBoots = 4

// reportOrder tells new load reports of one endpoint from late ones.
type reportOrder struct {
	boot     uint64
	sequence uint64
	// retired are the boots before the present one, the latest overwriting the oldest.
	retired [retiredBoots]uint64
	next    int
	seen    bool
}

// accept reports whether a report is newer than all before it, and remembers it if so.
func (o *reportOrder) accept(boot, sequence uint64) bool {
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
	if slices.Contains(o.retired[:], boot) {
		return false
	}
	o.retired[o.next] = o.boot
	o.next = (o.next + 1) % retiredBoots
	o.boot, o.sequence = boot, sequence
	return true
}
