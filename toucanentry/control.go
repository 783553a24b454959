package toucanentry

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanmember"
	"toucanport/toucanoperate"
	"toucanport/toucanspread"
	"toucanport/toucanwire"
)

// heartbeatTimeout is how long a heartbeat may stay unanswered before the link counts as stalled.
const heartbeatTimeout = 1200 * time.Millisecond

// heard is what a sidecar told in its last heartbeat.
type heard struct {
	at        time.Time
	revisions []toucanspread.Revision
}

// heartbeats exchanges heartbeats at intervals, and at once when there are settings to spread.
func (l *links) heartbeats(address string, p *peer) error {
	stream, err := p.link.Open(&toucanwire.Open{Request: &toucanwire.Open_Control{Control: l.hello}})
	if err != nil {
		return err
	}
	defer stream.Close()
	spread := toucanspread.NewPeer(l.spread)
	defer spread.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for sequence := uint64(1); ; sequence++ {
		changed := l.spread.Changed()
		own := &toucanwire.Heartbeat{Sequence: sequence, Uses: l.uses(address)}
		again, err := l.heartbeat(stream, spread, p, own)
		if err != nil {
			return err
		}
		if again {
			continue
		}
		timer.Reset(toucanmember.HeartbeatInterval(l.count()))
		select {
		case <-timer.C:
		case <-changed:
		case <-p.link.Done():
			return errors.New("link closed")
		}
	}
}

// heartbeat sends one heartbeat and takes in the answer. It reports whether the next one should follow at
// once.
func (l *links) heartbeat(stream *toucanwire.Stream, spread *toucanspread.Peer, p *peer, own *toucanwire.Heartbeat) (again bool, err error) {
	if err := spread.Fill(own); err != nil {
		l.log.Error("settings not sent", "peer", p.link.Peer.Instance, "error", err.Error())
	}
	stream.SetWriteDeadline(time.Now().Add(heartbeatTimeout))
	if err := stream.Send(own); err != nil {
		return false, err
	}
	stream.SetReadDeadline(time.Now().Add(heartbeatTimeout))
	beat := &toucanwire.Heartbeat{}
	if err := stream.Receive(beat); err != nil {
		return false, err
	}
	l.report(beat.Load)
	l.takeMember(p.link.Peer, beat.Load)
	l.takeUses(beat.Uses)
	again, err = spread.Take(beat)
	if err != nil {
		l.log.Error("settings not taken", "peer", p.link.Peer.Instance, "error", err.Error())
	}
	p.heard.Store(&heard{at: time.Now(), revisions: spread.Revisions()})
	return again, nil
}

// Status returns this entry's state and what it hears of its sidecars.
func (e *Entry) Status() toucanoperate.Status {
	return toucanoperate.Status{
		Self: toucanoperate.Instance{
			Instance:      e.cfg.Instance,
			Role:          "entry",
			FailureDomain: e.cfg.FailureDomain,
			BootID:        bootText(e.boot),
			Documents:     e.cfg.Spread.Revisions(),
			HeardAt:       time.Now(),
			Answers:       true,
		},
		Peers: e.links.status(),
	}
}

// status returns what was heard of the linked sidecars, in the order of their names.
func (l *links) status() []toucanoperate.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]toucanoperate.Instance, 0, len(l.peers))
	for _, p := range l.peers {
		h := p.heard.Load()
		if h == nil {
			continue
		}
		hello := p.link.Peer
		out = append(out, toucanoperate.Instance{
			Instance:      hello.Instance,
			Role:          hello.Role,
			FailureDomain: hello.FailureDomain,
			BootID:        bootText(hello.BootId),
			Documents:     h.revisions,
			HeardAt:       h.at,
			Answers:       true,
		})
	}
	slices.SortFunc(out, func(a, b toucanoperate.Instance) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func bootText(boot uint64) string { return strconv.FormatUint(boot, 16) }
