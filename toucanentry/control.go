package toucanentry

import (
	"strconv"
	"time"

	"toucanport/toucanoperate"
)

// Status returns the state of this entry and the state that each linked sidecar last reported in a heartbeat.
func (e *Entry) Status() toucanoperate.Status {
	return toucanoperate.Status{
		Self: toucanoperate.Instance{
			Instance:       e.cfg.Instance,
			Role:           "entry",
			FailureDomain:  e.cfg.FailureDomain,
			BootID:         formatBootID(e.boot),
			Documents:      e.cfg.Replica.Revisions(),
			LastReceivedAt: time.Now(),
			Answers:        true,
		},
		Peers: e.peers(),
	}
}

func (e *Entry) peers() []toucanoperate.Instance {
	var out []toucanoperate.Instance
	for _, state := range e.links.PeerStates() {
		out = append(out, toucanoperate.Instance{
			Instance:       state.Peer.Instance,
			Role:           state.Peer.Role,
			FailureDomain:  state.Peer.FailureDomain,
			BootID:         formatBootID(state.Peer.BootId),
			Documents:      state.Revisions,
			LastReceivedAt: state.At,
			Answers:        true,
		})
	}
	return out
}

func formatBootID(boot uint64) string { return strconv.FormatUint(boot, 16) }
