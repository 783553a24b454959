package toucanmirror

import (
	"context"
	"time"

	"toucanport/toucanhistory"
	"toucanport/toucanlog"
	"toucanport/toucanstore"
)

// peerRead is the read of a peer's copy during an outage. It goes on while the store is called again, because a large copy can
// take longer than the outage.
type peerRead struct {
	cancel context.CancelFunc
	// result receives one copy.
	result chan peerCopy
}

// peerCopy is the copy of a peer, or the error of reading it.
type peerCopy struct {
	values   []toucanstore.Value
	position toucanhistory.Position
	err      error
}

// beginPeerRead starts to read a peer's copy during an outage of the store, unless that is under way.
func (m *Mirror) beginPeerRead(ctx context.Context) {
	if m.readPeer == nil || m.outageSince.IsZero() || m.peerRead != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	read := &peerRead{cancel: cancel, result: make(chan peerCopy, 1)}
	m.peerRead = read
	go func() {
		values, position, err := m.readPeer(ctx)
		read.result <- peerCopy{values: values, position: position, err: err}
	}()
}

// endPeerRead ends the read that is under way, if any. Its copy is not used.
func (m *Mirror) endPeerRead() {
	if m.peerRead != nil {
		m.peerRead.cancel()
		m.peerRead = nil
	}
}

// pause waits until the next call is due or Wake is called. Meanwhile it uses a peer's copy that arrives, and the batches of
// peers.
func (m *Mirror) pause(ctx context.Context, wait time.Duration, apply func(State)) {
	if wait <= 0 {
		return
	}
	due := time.NewTimer(wait)
	defer due.Stop()
	for {
		select {
		case <-m.wake:
			return
		case <-due.C:
			return
		case <-ctx.Done():
			return
		case b := <-m.batches:
			m.applyBatch(b, apply) // After a gap, the next call reads what is missing.
		case c := <-m.peerResult():
			m.endPeerRead()
			m.usePeerCopy(c, apply)
		}
	}
}

// peerResult returns the channel of the read that is under way, or nil, which never delivers.
func (m *Mirror) peerResult() <-chan peerCopy {
	if m.peerRead == nil {
		return nil
	}
	return m.peerRead.result
}

// usePeerCopy replaces the copy by that of a peer. A copy of an earlier era is ignored.
func (m *Mirror) usePeerCopy(c peerCopy, apply func(State)) {
	if c.err != nil {
		// The mirror keeps its values.
		m.log.Info(toucanlog.MsgNoPeerSnapshot, toucanlog.Cause, c.err.Error())
		return
	}
	if len(c.values) == 0 || c.position.Era < m.lastPosition.Era {
		return
	}
	restored := m.lastPosition != (toucanhistory.Position{}) && c.position.Era > m.lastPosition.Era
	if restored {
		m.lastPosition = toucanhistory.Position{Era: c.position.Era}
	}
	removed := m.replace(c.values, c.position)
	m.borrowed = true
	apply(State{Values: m.values, Removed: removed, Restored: restored, Origin: OriginPeer})
}
