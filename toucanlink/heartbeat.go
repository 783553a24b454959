package toucanlink

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanreplicate"
	"toucanport/toucanwire"
)

// HeartbeatTimeout is the time after which a link with an unanswered heartbeat is considered stalled and closed, if nothing else arrived on
// it and this process did not stand still meanwhile (see answerWait).
const HeartbeatTimeout = 1200 * time.Millisecond

const (
	// maxBusySilence is the time without received bytes after which a heartbeat checks a link with open requests.
	// Together with busyCheckInterval and HeartbeatTimeout it ensures that a stall is detected within 2 s.
	maxBusySilence = 400 * time.Millisecond
	// busyCheckInterval is the time between two checks of a link for maxBusySilence.
	busyCheckInterval = 300 * time.Millisecond
)

// PeerState is the state of a linked sidecar as of its last answered heartbeat.
type PeerState struct {
	Peer *toucanwire.Hello
	// At is the time at which the answer arrived.
	At time.Time
	// Revisions are the revisions of the sidecar's settings documents.
	Revisions []toucanreplicate.Revision
}

// exchangeHeartbeats exchanges heartbeats at the configured interval, and immediately when settings have changed. It
// returns when a heartbeat fails or the link ends; the error is never nil.
func (p *Pool) exchangeHeartbeats(address string, peer *Peer) error {
	stream, err := peer.Open(&toucanwire.Open{Request: &toucanwire.Open_Control{Control: p.cfg.Hello}})
	if err != nil {
		return err
	}
	defer stream.Close()
	replicaPeer := toucanreplicate.NewPeer(p.cfg.Replica)
	defer replicaPeer.Close()
	for sequence := uint64(1); ; sequence++ {
		changed := p.cfg.Replica.Changed()
		own := &toucanwire.Heartbeat{Sequence: sequence, Uses: p.cfg.Handler.Uses(address)}
		again, err := p.sendHeartbeat(stream, replicaPeer, peer, own)
		if err != nil {
			return err
		}
		if again {
			continue
		}
		if !p.awaitNextHeartbeat(peer, changed) {
			return errors.New("link closed")
		}
	}
}

// awaitNextHeartbeat waits until the next heartbeat is due: after the configured interval, when settings have changed,
// or when a link with open requests has received nothing for maxBusySilence. It returns false when the link has ended.
func (p *Pool) awaitNextHeartbeat(peer *Peer, changed <-chan struct{}) bool {
	due := time.NewTimer(p.cfg.Interval(p.linkCount()))
	defer due.Stop()
	check := time.NewTicker(busyCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-due.C:
			return true
		case <-changed:
			return true
		case <-peer.Done():
			return false
		case <-check.C:
			if peer.NumStreams() > controlStreams && time.Since(peer.LastReceived()) >= maxBusySilence {
				return true
			}
		}
	}
}

// sendHeartbeat sends one heartbeat and processes the answer. It reports whether the next heartbeat should follow
// immediately, because more settings are to be exchanged.
func (p *Pool) sendHeartbeat(stream *toucanwire.Stream, replicaPeer *toucanreplicate.Peer, peer *Peer, own *toucanwire.Heartbeat) (again bool, err error) {
	if err := replicaPeer.Fill(own); err != nil {
		p.cfg.Log.Error("settings not sent", "peer", peer.Peer.Instance, "error", err.Error())
	}
	stream.SetWriteDeadline(time.Now().Add(HeartbeatTimeout))
	if err := stream.Send(own); err != nil {
		return false, err
	}
	if err := awaitAnswer(stream, peer); err != nil {
		return false, err
	}
	beat := &toucanwire.Heartbeat{}
	if err := stream.Receive(beat); err != nil {
		return false, err
	}
	p.cfg.Handler.Report(peer.Peer, beat.Load)
	p.cfg.Handler.ApplyUses(beat.Uses)
	again, err = replicaPeer.Receive(beat)
	if err != nil {
		p.cfg.Log.Error("settings not taken", "peer", peer.Peer.Instance, "error", err.Error())
	}
	peer.state.Store(&PeerState{Peer: peer.Peer, At: time.Now(), Revisions: replicaPeer.Revisions()})
	return again, nil
}

// PeerStates returns the latest states of the linked sidecars, sorted by instance.
func (p *Pool) PeerStates() []PeerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]PeerState, 0, len(p.peers))
	for _, peer := range p.peers {
		if latest := peer.state.Load(); latest != nil {
			out = append(out, *latest)
		}
	}
	slices.SortFunc(out, func(a, b PeerState) int { return cmp.Compare(a.Peer.Instance, b.Peer.Instance) })
	return out
}

// FirstAddresses returns the first n addresses with a link, in lexical order; all of them when there are fewer than n.
func (p *Pool) FirstAddresses(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := slices.Sorted(maps.Keys(p.peers))
	return addresses[:min(n, len(addresses))]
}
