package toucanmirror

import (
	"context"
	"math/rand/v2"
	"time"

	"toucanport/toucanhistory"
	"toucanport/toucanlog"
	"toucanport/toucanstore"
)

// Readers divides the reading of the store among the processes that hear each other: a few call it all the time and share
// what changes with the others. It is safe for concurrent use.
type Readers interface {
	// Rank returns how many processes read the store in preference to this one. It is zero while the store seems to answer no
	// process, so that all of them try.
	Rank(now time.Time) int
	// Newest returns the newest position that a peer's copy has.
	Newest(now time.Time) toucanhistory.Position
	// StoreAge returns the time since the store last answered any process.
	StoreAge(now time.Time) time.Duration
	// SetPosition records the position of this process's copy for the peers.
	SetPosition(p toucanhistory.Position)
	// Share sends changes that this process has read to the peers, which may lose them.
	Share(b toucanhistory.Batch)
}

// WithReaders makes the mirror read the store only while its rank among the processes is below ReaderCount. Otherwise it
// follows the batches that are passed to Receive.
func WithReaders(r Readers) Option { return func(m *Mirror) { m.readers = r } }

// aloneReader is the Readers of a process without peers.
type aloneReader struct{}

func (aloneReader) Rank(time.Time) int                      { return 0 }
func (aloneReader) Newest(time.Time) toucanhistory.Position { return toucanhistory.Position{} }
func (aloneReader) StoreAge(time.Time) time.Duration        { return 0 }
func (aloneReader) SetPosition(toucanhistory.Position)      {}
func (aloneReader) Share(toucanhistory.Batch)               {}

// ReaderCount is the number of processes that read the store for all that hear each other.
const ReaderCount = len(readerIntervals)

// readerIntervals holds the mean time between the starts of two calls for changes of a process, by its rank. They differ, so
// that a change that ends the calls of all readers at once does not leave the store without a waiting call for long.
var readerIntervals = [...]time.Duration{60 * time.Millisecond, 300 * time.Millisecond}

const (
	// ownCallInterval is the least time between two calls of a process that is not a reader.
	ownCallInterval = 250 * time.Millisecond
	// followCheck is the longest time between two checks whether a process must call the store itself.
	followCheck = 40 * time.Millisecond
	// catchUpDelay is how long a peer's copy may be ahead of this one before this process calls the store itself: the changes
	// are probably on their way. A random part of up to as much again keeps processes that lost the same batch apart.
	catchUpDelay = 60 * time.Millisecond
	// maxPendingBatches is how many received batches wait while the process calls the store itself. Others are dropped.
	maxPendingBatches = 64
)

// Receive passes on a batch that a peer has shared. It never blocks; a batch that is dropped shows as a gap later.
func (m *Mirror) Receive(b toucanhistory.Batch) {
	select {
	case m.batches <- b:
	default:
	}
}

// isReader reports whether this process reads the store for others, or can't rely on others.
func (m *Mirror) isReader(now time.Time) bool {
	return !m.outageSince.IsZero() || m.readers.Rank(now) < ReaderCount
}

// interval returns the time between the starts of two calls for changes, by the process's rank. It is jittered by a quarter so
// that processes do not call at the same moment.
func (m *Mirror) interval() time.Duration {
	mean := ownCallInterval
	if rank := m.readers.Rank(time.Now()); rank < ReaderCount {
		mean = readerIntervals[rank]
	}
	return mean*3/4 + rand.N(mean/2)
}

// follow applies the batches that peers share until this process must call the store itself.
func (m *Mirror) follow(ctx context.Context, apply func(State)) {
	check := time.NewTicker(followCheck)
	defer check.Stop()
	var behindSince time.Time
	patience := catchUpDelay + rand.N(catchUpDelay)
	for {
		now := time.Now()
		if m.mustCall(now) {
			return
		}
		rested := now.Sub(m.lastCall) >= ownCallInterval
		if rested && (m.verifyDue(now) || m.seekVersion(ctx)) {
			return
		}
		switch {
		case !m.readers.Newest(now).IsAfter(m.position):
			behindSince = time.Time{}
			m.recordPeersAnswer(now)
		case behindSince.IsZero():
			behindSince = now
		case rested && now.Sub(behindSince) >= patience:
			return
		}
		select {
		case b := <-m.batches:
			if !m.applyBatch(b, apply) {
				return
			}
		case <-m.wake:
			return
		case <-m.doubt:
			m.verifyNext = true
			return
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}

// mustCall reports whether this process has to call the store itself at once.
func (m *Mirror) mustCall(now time.Time) bool {
	return m.position == (toucanhistory.Position{}) || m.verifyNext || m.isReader(now)
}

// seekVersion reports whether a snapshot may bring a version of the settings that a peer has. If the last one did not, the version
// is read from the peer.
func (m *Mirror) seekVersion(ctx context.Context) bool {
	if m.missingVersion() == 0 {
		return false
	}
	if m.lacksVersion() {
		m.verifyNext = true
		return true
	}
	m.onLostVersion(ctx)
	m.lastCall = time.Now()
	return false
}

// recordPeersAnswer records that the copy is as new as those of the peers, which the store has answered.
func (m *Mirror) recordPeersAnswer(now time.Time) {
	answered := now.Add(-m.readers.StoreAge(now)).Sub(m.startedAt)
	m.lastAnswer.Store(max(m.lastAnswer.Load(), int64(answered)))
}

// applyBatch applies the part of a batch that is new. It returns false if changes before the batch are missing.
func (m *Mirror) applyBatch(b toucanhistory.Batch, apply func(State)) bool {
	if b.Era != m.copied.Era || b.To <= m.copied.Revision && !b.Repair {
		return true
	}
	if b.To < m.copied.Revision {
		m.repairEarlier(b, apply)
		return true
	}
	if b.After > m.copied.Revision {
		m.log.Debug(toucanlog.MsgBatchGap,
			toucanlog.Revision, m.copied.Revision,
			toucanlog.RevisionBefore, b.After,
		)
		return false
	}
	to := toucanhistory.Position{Era: b.Era, Revision: b.To}
	if m.position != (toucanhistory.Position{}) {
		m.setPosition(to)
	}
	written, removed := m.apply(b.Changes, to)
	apply(State{Values: m.values, Changed: written, Removed: removed, Origin: OriginReader})
	return true
}

// whileReceiving calls the store and meanwhile applies the batches of peers, because a call can wait long for an answer.
func (m *Mirror) whileReceiving(apply func(State), call func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	for {
		select {
		case b := <-m.batches:
			m.applyBatch(b, apply) // After a gap, a later call reads what is missing.
		case <-done:
			return
		}
	}
}

// share sends the changes up to a position to the peers, if this process reads the store for them.
func (m *Mirror) share(after, to toucanhistory.Position, changes []toucanhistory.Change) {
	if len(changes) > 0 && m.isReader(time.Now()) {
		m.readers.Share(toucanhistory.Batch{Era: to.Era, After: after.Revision, To: to.Revision, Changes: changes})
	}
}

// shareSnapshot sends the differences between a snapshot and the copy to the peers if this process reads the store for them, or
// if repair is true because watches have left out some.
func (m *Mirror) shareSnapshot(values []toucanstore.Value, to toucanhistory.Position, repair bool) {
	if m.copied.Era != to.Era || m.copied.Revision == 0 || m.copied.IsAfter(to) || !repair && !m.isReader(time.Now()) {
		return
	}
	changes := m.values.ChangesTo(toucanhistory.NewValues(values), to.Revision)
	if len(changes) == 0 {
		return
	}
	m.readers.Share(toucanhistory.Batch{Era: to.Era, After: m.copied.Revision, To: to.Revision, Changes: changes, Repair: repair})
}

// setPosition moves the copy to a position that was read from the store.
func (m *Mirror) setPosition(p toucanhistory.Position) {
	m.position, m.lastPosition = p, p
	m.readers.SetPosition(p)
}
