package toucanspread

import (
	"context"
	"time"
)

// AwaitReplica waits until a peer is known to hold r, so that a change whose author is told of it outlives
// this instance. It returns false when none did within the bound, as with no link at all.
func (h *Holder) AwaitReplica(ctx context.Context, r Revision, bound time.Duration) bool {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for {
		held, confirmed := h.replica(r.Path)
		if held >= r.Revision {
			return true
		}
		select {
		case <-confirmed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Linked reports whether there is a link to any peer.
func (h *Holder) Linked() bool { return h.links.Load() > 0 }

// replica returns the highest revision of a document that a peer was known to hold, and a channel that is
// closed when that changes.
func (h *Holder) replica(path string) (uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[path], h.confirmed
}

// confirm notes what a peer holds.
func (h *Holder) confirm(revisions []Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var grown bool
	for _, r := range revisions {
		if r.Revision > h.replicas[r.Path] {
			h.replicas[r.Path] = r.Revision
			grown = true
		}
	}
	if grown {
		close(h.confirmed)
		h.confirmed = make(chan struct{})
	}
}

// claim returns those of wanted that no other peer is being asked for, and notes that p is.
func (h *Holder) claim(p *Peer, wanted []Revision) []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Revision
	for _, r := range wanted {
		if other := h.pulling[r.Path]; other == nil || other == p {
			h.pulling[r.Path] = p
			out = append(out, r)
		}
	}
	return out
}

// release ends what p was asked for.
func (h *Holder) release(p *Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for path, other := range h.pulling {
		if other == p {
			delete(h.pulling, path)
		}
	}
}
