package toucanreplicate

import (
	"context"
	"time"
)

// AwaitReplica waits until a peer is known to hold r or a later revision. A change that is confirmed to its
// author afterwards survives the loss of this instance. AwaitReplica returns false when no peer is known to hold
// r within the bound, for example because there are no links.
func (h *Holder) AwaitReplica(ctx context.Context, r Revision, bound time.Duration) bool {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for {
		held, confirmed := h.replicatedRevision(r.Path)
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

// Linked reports whether at least one link to a peer is open.
func (h *Holder) Linked() bool { return h.links.Load() > 0 }

// replicatedRevision returns the highest revision of a document that any peer was known to hold, and a channel
// that is closed when such a revision grows for any document.
func (h *Holder) replicatedRevision(path string) (uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicated[path], h.replicatedChanged
}

// recordReplicas records the revisions that a peer holds and wakes AwaitReplica when one of them is new.
func (h *Holder) recordReplicas(revisions []Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var grown bool
	for _, r := range revisions {
		if r.Revision > h.replicated[r.Path] {
			h.replicated[r.Path] = r.Revision
			grown = true
		}
	}
	if grown {
		close(h.replicatedChanged)
		h.replicatedChanged = make(chan struct{})
	}
}

// reservePulls returns the documents of wanted that are not being requested from another peer, and records that
// they are requested from p.
func (h *Holder) reservePulls(p *Peer, wanted []Revision) []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Revision
	for _, r := range wanted {
		if other := h.pulledFrom[r.Path]; other == nil || other == p {
			h.pulledFrom[r.Path] = p
			out = append(out, r)
		}
	}
	return out
}

// releasePulls clears the records of documents requested from p, so that they can be requested from other peers.
func (h *Holder) releasePulls(p *Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for path, other := range h.pulledFrom {
		if other == p {
			delete(h.pulledFrom, path)
		}
	}
}
