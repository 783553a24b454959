package toucanlink

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanspread"
	"toucanport/toucanwire"
)

// HeartbeatTimeout is how long a heartbeat may stay unanswered before the link counts as stalled.
const HeartbeatTimeout = 1200 * time.Millisecond

const (
	// busySilence is how long a link with open requests may bring nothing before a heartbeat asks whether it
	// stalls. With busyCheck and HeartbeatTimeout it keeps the discovery of a stall within 2 s.
	busySilence = 400 * time.Millisecond
	// busyCheck is the time between looks at a link for such a silence.
	busyCheck = 300 * time.Millisecond
)

// Heard is what a sidecar told in its last heartbeat.
type Heard struct {
	Peer      *toucanwire.Hello
	At        time.Time
	Revisions []toucanspread.Revision
}

// heartbeats exchanges heartbeats at intervals, and at once when there are settings to spread.
func (p *Pool) heartbeats(address string, peer *Peer) error {
	stream, err := peer.Open(&toucanwire.Open{Request: &toucanwire.Open_Control{Control: p.cfg.Hello}})
	if err != nil {
		return err
	}
	defer stream.Close()
	spread := toucanspread.NewPeer(p.cfg.Spread)
	defer spread.Close()
	for sequence := uint64(1); ; sequence++ {
		changed := p.cfg.Spread.Changed()
		own := &toucanwire.Heartbeat{Sequence: sequence, Uses: p.cfg.Handler.Uses(address)}
		again, err := p.heartbeat(stream, spread, peer, own)
		if err != nil {
			return err
		}
		if again {
			continue
		}
		if !p.awaitHeartbeat(peer, changed) {
			return errors.New("link closed")
		}
	}
}

// awaitHeartbeat waits until the next heartbeat is due: at the interval, at once when there are settings to
// spread, and early when a link with open requests has fallen silent. It returns false when the link has ended.
func (p *Pool) awaitHeartbeat(peer *Peer, changed <-chan struct{}) bool {
	due := time.NewTimer(p.cfg.Interval(p.count()))
	defer due.Stop()
	check := time.NewTicker(busyCheck)
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
			if peer.NumStreams() > controlStreams && time.Since(peer.LastReceived()) >= busySilence {
				return true
			}
		}
	}
}

// heartbeat sends one heartbeat and takes in the answer. It reports whether the next one should follow at
// once.
func (p *Pool) heartbeat(stream *toucanwire.Stream, spread *toucanspread.Peer, peer *Peer, own *toucanwire.Heartbeat) (again bool, err error) {
	if err := spread.Fill(own); err != nil {
		p.cfg.Log.Error("settings not sent", "peer", peer.Peer.Instance, "error", err.Error())
	}
	stream.SetWriteDeadline(time.Now().Add(HeartbeatTimeout))
	if err := stream.Send(own); err != nil {
		return false, err
	}
	stream.SetReadDeadline(time.Now().Add(HeartbeatTimeout))
	beat := &toucanwire.Heartbeat{}
	if err := stream.Receive(beat); err != nil {
		return false, err
	}
	p.cfg.Handler.Report(peer.Peer, beat.Load)
	p.cfg.Handler.TakeUses(beat.Uses)
	again, err = spread.Receive(beat)
	if err != nil {
		p.cfg.Log.Error("settings not taken", "peer", peer.Peer.Instance, "error", err.Error())
	}
	peer.heard.Store(&Heard{Peer: peer.Peer, At: time.Now(), Revisions: spread.Revisions()})
	return again, nil
}

// Heard returns what the linked sidecars told last, in the order of their instances.
func (p *Pool) Heard() []Heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Heard, 0, len(p.peers))
	for _, peer := range p.peers {
		if h := peer.heard.Load(); h != nil {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Heard) int { return cmp.Compare(a.Peer.Instance, b.Peer.Instance) })
	return out
}

// Lowest returns the n lowest addresses that are linked.
func (p *Pool) Lowest(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := slices.Sorted(maps.Keys(p.peers))
	return addresses[:min(n, len(addresses))]
}
