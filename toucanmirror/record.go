package toucanmirror

import (
	"errors"
	"math/rand/v2"
	"time"

	"toucanport/toucanhistory"
	"toucanport/toucanlog"
	"toucanport/toucanstore"
)

// Stats describes what the mirror has noticed about the store.
type Stats struct {
	// Omitted is the number of values that a watch left out and a later snapshot found.
	Omitted uint64
	// Restores is the number of times that the store came back from an older copy.
	Restores uint64
	// Era is the store's last era.
	Era uint64
}

// Stats returns the counts since the mirror was created.
func (m *Mirror) Stats() Stats {
	return Stats{Omitted: m.omitted.Load(), Restores: m.restores.Load(), Era: m.era.Load()}
}

// recordRestore reports whether a snapshot shows that the store came back from an older copy, and counts and logs it. last is the
// position that the store had at least when the read began. One that batches brought later says nothing of the read.
func (m *Mirror) recordRestore(last, position toucanhistory.Position) bool {
	m.era.Store(position.Era)
	if last == (toucanhistory.Position{}) || position.Era == last.Era && position.Revision >= last.Revision {
		return false
	}
	m.restores.Add(1)
	m.log.Warn(toucanlog.MsgStoreOlder,
		toucanlog.EraBefore, last.Era,
		toucanlog.Era, position.Era,
		toucanlog.RevisionBefore, last.Revision,
		toucanlog.Revision, position.Revision,
	)
	return true
}

// recordOmitted counts and logs the values of a snapshot that are not newer than the copy's position, but missing from
// the copy: the watch left them out. It returns their number.
func (m *Mirror) recordOmitted(values []toucanstore.Value) int {
	count, key := 0, ""
	for _, v := range values {
		held, ok := m.values[v.Key]
		if v.Revision <= m.position.Revision && (!ok || held.Revision < v.Revision) {
			count++
			key = v.Key
		}
	}
	if count == 0 {
		return 0
	}
	m.omitted.Add(uint64(count))
	m.log.Warn(toucanlog.MsgWatchOmitted,
		toucanlog.Changes, count,
		toucanlog.Key, key,
		toucanlog.Revision, m.position.Revision,
	)
	return count
}

// recordAnswer records that the store answered, and reports whether this ends an outage.
func (m *Mirror) recordAnswer() bool {
	m.retry = minRetry
	m.lastAnswer.Store(int64(time.Since(m.startedAt)))
	m.onAnswer()
	if m.outageSince.IsZero() {
		return false
	}
	m.log.Info(toucanlog.MsgStoreRegained, toucanlog.AwayMs, time.Since(m.outageSince).Milliseconds())
	m.outageSince = time.Time{}
	m.endPeerRead()
	m.onOutage(false)
	return true
}

// recordFailure records a failed call and returns the time to wait before the next one.
func (m *Mirror) recordFailure(err error) time.Duration {
	if errors.Is(err, ErrHistoryLost) {
		m.log.Warn(toucanlog.MsgHistoryLost)
		return 0
	}
	if m.outageSince.IsZero() {
		m.outageSince = time.Now()
		m.onOutage(true)
		m.log.Warn(toucanlog.MsgStoreLost, toucanlog.Cause, err.Error())
	}
	wait := m.retry/2 + rand.N(m.retry)
	m.retry = min(2*m.retry, maxRetry)
	return wait
}
