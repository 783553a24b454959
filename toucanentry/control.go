package toucanentry

import (
	"strconv"
	"time"

	"toucanport/toucanoperate"
)

// Status returns the state of this entry and what its sidecars last reported in heartbeats.
func (e *Entry) Status() toucanoperate.Status {
	return toucanoperate.Status{
		Self: toucanoperate.Instance{
			Instance:       e.cfg.Instance,
			Role:           "entry",
			FailureDomain:  e.cfg.FailureDomain,
			BootID:         formatBootID(e.boot),
			Documents:      e.cfg.Spread.Revisions(),
			LastReceivedAt: time.Now(),
			Answers:        true,
		},
		Peers: e.peers(),
	}
}

func (e *Entry) peers() []toucanoperate.Instance {
	var out []toucanoperate.Instance
	for _, h := range e.links.PeerStates() {
		out = append(out, toucanoperate.Instance{
			Instance:       h.Peer.Instance,
			Role:           h.Peer.Role,
			FailureDomain:  h.Peer.FailureDomain,
			BootID:         formatBootID(h.Peer.BootId),
			Documents:      h.Revisions,
			LastReceivedAt: h.At,
			Answers:        true,
		})
	}
	return out
}

func formatBootID(boot uint64) string { return strconv.FormatUint(boot, 16) }
