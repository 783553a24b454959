package toucanmesh

import (
	"google.golang.org/protobuf/proto"

	"toucanport/toucanhistory"
	"toucanport/toucanlog"
	"toucanport/toucanpeer"
	"toucanport/toucanstore"
)

const (
	// maxSharedBody is the size in bytes of the largest value that is sent in a datagram. Each entry reads larger ones itself.
	maxSharedBody = 8 << 10
	// maxSharedBytes limits the values in one datagram, in bytes, and maxSharedDatagrams the datagrams for one batch. Entries
	// that need the rest read it themselves.
	maxSharedBytes     = 32 << 10
	maxSharedDatagrams = 4
	// changeOverhead is the approximate size of an encoded change without its key and body, in bytes.
	changeOverhead = 24
)

// ShareChanges sends a batch to the entries of the cell, in several datagrams if it is long.
func (m *Mesh) ShareChanges(b toucanhistory.Batch) {
	peers := m.cellAddresses()
	if len(peers) == 0 {
		return
	}
	for _, part := range splitBatch(b) {
		r := &toucanpeer.Report{Sender: m.name, Boot: m.boot, Changes: encodeBatch(part)}
		if size := proto.Size(r); size > maxDatagram {
			m.log.Error(toucanlog.MsgReportNotSent, toucanlog.Bytes, size, toucanlog.Cause, errReportTooLong.Error())
			return
		}
		m.sendReport(peers, r)
	}
}

// splitBatch divides a batch into parts that follow each other and fit into a datagram each. It leaves out the changes from
// the first one on whose value is too large. The parts are of whole revisions.
func splitBatch(b toucanhistory.Batch) []toucanhistory.Batch {
	var parts []toucanhistory.Batch
	part := toucanhistory.Batch{Era: b.Era, After: b.After, To: b.After, Repair: b.Repair}
	size, whole := 0, 0 // whole is the number of changes in part that are of whole revisions.
	for i, c := range b.Changes {
		if len(c.Body) > maxSharedBody {
			part.Changes = part.Changes[:whole]
			return appendPart(parts, part)
		}
		size += len(c.Key) + len(c.Body) + changeOverhead
		part.Changes = append(part.Changes, c)
		if i+1 < len(b.Changes) && b.Changes[i+1].Revision == c.Revision {
			continue
		}
		part.To = max(c.Revision, part.To)
		whole = len(part.Changes)
		if size < maxSharedBytes {
			continue
		}
		if parts = appendPart(parts, part); len(parts) == maxSharedDatagrams {
			return parts
		}
		part = toucanhistory.Batch{Era: b.Era, After: part.To, To: part.To, Repair: b.Repair}
		size, whole = 0, 0
	}
	part.To = b.To
	return appendPart(parts, part)
}

// appendPart appends a part that has changes.
func appendPart(parts []toucanhistory.Batch, part toucanhistory.Batch) []toucanhistory.Batch {
	if len(part.Changes) == 0 {
		return parts
	}
	return append(parts, part)
}

func encodeBatch(b toucanhistory.Batch) *toucanpeer.StoreChanges {
	out := &toucanpeer.StoreChanges{Era: b.Era, After: b.After, To: b.To, Repair: b.Repair}
	for _, c := range b.Changes {
		out.Changes = append(out.Changes, &toucanpeer.StoreChange{Key: c.Key, Body: c.Body, Revision: c.Revision, Removed: c.Removed})
	}
	return out
}

func decodeBatch(c *toucanpeer.StoreChanges) toucanhistory.Batch {
	b := toucanhistory.Batch{Era: c.GetEra(), After: c.GetAfter(), To: c.GetTo(), Repair: c.GetRepair()}
	for _, x := range c.GetChanges() {
		b.Changes = append(b.Changes, toucanhistory.Change{
			Value:   toucanstore.Value{Key: x.GetKey(), Body: x.GetBody(), Revision: x.GetRevision()},
			Removed: x.GetRemoved(),
		})
	}
	return b
}
