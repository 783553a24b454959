// Package toucanmirror keeps a local copy of a part of the platform's store up to date. It survives outages of the
// store, lost history and interrupted watches.
package toucanmirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"toucanport/toucanhistory"
	"toucanport/toucanlog"
	"toucanport/toucanstore"
)

// ErrHistoryLost is returned by a Source that no longer has all changes since the given revision.
var ErrHistoryLost = errors.New("store no longer has the history since the revision")

// Source is the part of the store that is copied. Its calls end when the store is silent or a reply stalls. They call
// arriving each time that a part of a reply has arrived.
type Source interface {
	// Snapshot returns all values, and a position from which Changes continues without missing a change. It need not read a
	// large value that held has and that has not changed.
	Snapshot(ctx context.Context, held toucanhistory.Held, arriving func()) ([]toucanstore.Value, toucanhistory.Position, error)
	// Changes waits for a limited time for changes after a position, and returns the position to continue from. The
	// error is ErrHistoryLost if changes can be missing.
	Changes(ctx context.Context, after toucanhistory.Position, arriving func()) ([]toucanhistory.Change, toucanhistory.Position, error)
}

// Origin is where a state was read from.
type Origin string

// Origins of a state.
const (
	OriginWatch    Origin = "watch"
	OriginSnapshot Origin = "snapshot"
	// OriginPeer is a peer's whole copy, and OriginReader are changes that a peer has read from the store and shared.
	OriginPeer   Origin = "peer"
	OriginReader Origin = "reader"
)

const (
	// minRetry and maxRetry limit the backoff between calls during an outage of the store, before jitter.
	minRetry = 100 * time.Millisecond
	maxRetry = 700 * time.Millisecond
)

// State is the copy at one moment, with the difference to the previous state.
type State struct {
	// Values holds all values by key. Receivers must not modify it.
	Values map[string]toucanstore.Value
	// Changed holds the keys that were written since the last state; nil if any key can have been written.
	Changed []string
	// Removed holds the keys that were removed since the last state.
	Removed []string
	// Resumed is true for the first state read from the store after an outage.
	Resumed bool
	// Restored is true for the first state after the store came back from an older copy. Values can then be older than
	// those of earlier states, and their revisions don't compare.
	Restored bool
	// Origin is where the changes were read from.
	Origin Origin
}

// Mirror keeps the copy. Values, Age and Wake are safe for concurrent use; everything else belongs to the goroutine
// that calls Run.
type Mirror struct {
	source Source
	log    *slog.Logger

	mu sync.Mutex
	// values and copied, their position, are written only by the goroutine of Run, and only while it
	// holds mu.
	values toucanhistory.Values
	copied toucanhistory.Position
	// meanwhile holds what batches bring while a snapshot is read; nil at other times.
	meanwhile *toucanhistory.Overtaking
	// borrowed is true while the values are those of a peer, whose revisions can be of an earlier era.
	borrowed bool

	// position is the position of the copy; zero if the next call must be for a snapshot.
	position toucanhistory.Position
	// lastPosition is the last position that was read from the store, also while position is zero.
	lastPosition toucanhistory.Position
	// outageSince is when the store stopped answering; zero while it answers.
	outageSince time.Time
	// lastSnapshot is when the last snapshot was read from the store, and copyBytes the approximate size of one while large
	// values don't change.
	lastSnapshot time.Time
	copyBytes    int
	// verifyAfter is how old the last snapshot of this process and its peers may become before the next one.
	verifyAfter time.Duration
	// verifyNext is true if the next call must be for a snapshot because the watch left out a change.
	verifyNext bool
	// requestedVersion is the highest version of the settings for which a snapshot was taken because a peer has it.
	requestedVersion uint64
	retry            time.Duration
	// onOutage is called with true when an outage begins and with false when it ends.
	onOutage func(down bool)
	// onAnswer is called at each answer of the store, and at each part of a long one.
	onAnswer func()
	// peerCount returns the number of peers that can reach the store and share what they read with this process.
	peerCount func() int
	// readers divides the reading of the store among processes.
	readers Readers
	// lastCall is when this process last called the store.
	lastCall time.Time
	// batches holds batches of peers that are not applied yet.
	batches chan toucanhistory.Batch
	// peerSnapshotAge returns the time since a peer's last snapshot, or false if there is none.
	peerSnapshotAge func() (time.Duration, bool)
	// missingVersion returns the highest version of the settings that a peer has and this process lacks, or zero.
	missingVersion func() uint64
	// onLostVersion is called while a peer has a version of the settings that the store itself lacks.
	onLostVersion func(ctx context.Context)
	// onSnapshot is called after each snapshot from the store.
	onSnapshot func()
	// readPeer returns a peer's copy during an outage, and its position; nil if there is no such source. It ends when the peer is
	// silent.
	readPeer func(ctx context.Context) ([]toucanstore.Value, toucanhistory.Position, error)
	// peerRead is the read of a peer's copy that is under way; nil if there is none.
	peerRead *peerRead
	wake     chan struct{}
	// doubt is signalled by Verify.
	doubt chan struct{}
	// startedAt is when the mirror was created, and lastAnswer the time from then to the last answer of the source, in
	// nanoseconds; zero if it never answered. A difference is stored because the wall clock can jump.
	startedAt  time.Time
	lastAnswer atomic.Int64
	// omitted counts the values that a watch left out and a snapshot found, and restores how often the store came back
	// from an older copy. era is the store's last era.
	omitted, restores, era atomic.Uint64
}

// Option configures a Mirror.
type Option func(*Mirror)

// WithOutageCallback calls f when an outage of the store begins, with true, and when it ends, with false.
func WithOutageCallback(f func(down bool)) Option { return func(m *Mirror) { m.onOutage = f } }

// WithAnswerCallback calls f at each answer of the store, and at each part of a long one.
func WithAnswerCallback(f func()) Option { return func(m *Mirror) { m.onAnswer = f } }

// WithPeerCount sets the function that returns the number of peers that share what they read.
func WithPeerCount(f func() int) Option { return func(m *Mirror) { m.peerCount = f } }

// New returns a mirror of source. It is empty until Run has read a snapshot.
func New(source Source, log *slog.Logger, opts ...Option) *Mirror {
	m := &Mirror{
		source:          source,
		log:             log,
		retry:           minRetry,
		onOutage:        func(bool) {},
		onAnswer:        func() {},
		peerCount:       func() int { return 0 },
		peerSnapshotAge: func() (time.Duration, bool) { return 0, false },
		missingVersion:  func() uint64 { return 0 },
		onLostVersion:   func(context.Context) {},
		onSnapshot:      func() {},
		readers:         aloneReader{},
		batches:         make(chan toucanhistory.Batch, maxPendingBatches),
		wake:            make(chan struct{}, 1),
		doubt:           make(chan struct{}, 1),
		startedAt:       time.Now(),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithPeerSnapshot sets the function that reads a peer's copy, and its position, during an outage of the store.
func WithPeerSnapshot(f func(ctx context.Context) ([]toucanstore.Value, toucanhistory.Position, error)) Option {
	return func(m *Mirror) { m.readPeer = f }
}

// Values returns the current values, in no particular order, and their position.
func (m *Mirror) Values() ([]toucanstore.Value, toucanhistory.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values.List(), m.copied
}

// Age returns the time since the source last answered, or false if it never did.
func (m *Mirror) Age(now time.Time) (time.Duration, bool) {
	answered := m.lastAnswer.Load()
	if answered == 0 {
		return 0, false
	}
	return now.Sub(m.startedAt) - time.Duration(answered), true
}

// Wake makes the next call for changes happen at once because a peer has newer settings. A call that is waiting is
// replaced by a snapshot unless its reply begins to arrive within wakeGrace.
func (m *Mirror) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date and calls apply with each new state, until ctx is done. During an outage the last state
// remains, unless a peer's copy replaces it.
func (m *Mirror) Run(ctx context.Context, apply func(State)) {
	for ctx.Err() == nil {
		reader := m.isReader(time.Now())
		if !reader {
			m.follow(ctx, apply)
		}
		m.takeDoubt()
		m.lastCall = time.Now()
		err := m.step(ctx, apply)
		wait := m.interval() - time.Since(m.lastCall)
		if m.verifyNext || !reader {
			wait = 0
		}
		if err != nil && ctx.Err() == nil {
			wait = m.recordFailure(err)
			m.beginPeerRead(ctx)
		}
		m.pause(ctx, wait, apply)
	}
}

func (m *Mirror) step(ctx context.Context, apply func(State)) error {
	if m.position == (toucanhistory.Position{}) || m.verifyNext || m.verifyDue(time.Now()) {
		return m.snapshot(ctx, apply)
	}
	after := m.position
	var changes []toucanhistory.Change
	var position toucanhistory.Position
	var err error
	m.whileReceiving(apply, func() { changes, position, err = m.watch(ctx, after) })
	if errors.Is(err, errWatchReplaced) {
		m.log.Info(toucanlog.MsgWatchReplaced,
			toucanlog.Revision, m.position.Revision,
			toucanlog.SettingsVersion, m.missingVersion(),
		)
		m.verifyNext = true
		return nil
	}
	if err != nil {
		// A watch that fails can have missed changes.
		m.position = toucanhistory.Position{}
		return err
	}
	m.recordAnswer()
	if m.position.IsAfter(position) {
		return nil // Batches of peers brought more meanwhile.
	}
	// The copy holds all keys, so each new revision is that of a change.
	passedOver := len(changes) == 0 && position.Revision > m.position.Revision
	m.setPosition(position)
	m.share(after, position, changes)
	if len(changes) > 0 {
		written, removed := m.apply(changes, position)
		apply(State{Values: m.values, Changed: written, Removed: removed, Origin: OriginWatch})
	}
	m.verifyNext = m.verifyNext || passedOver || m.lacksVersion()
	if !m.verifyNext && m.missingVersion() > 0 {
		m.onLostVersion(ctx)
	}
	return nil
}

// apply applies changes up to a position to the copy. It returns the keys that were written, never nil, and those that were removed.
func (m *Mirror) apply(changes []toucanhistory.Change, to toucanhistory.Position) (written, removed []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copied = to
	m.meanwhile.Record(changes, to)
	return m.values.Apply(changes)
}

func (m *Mirror) snapshot(ctx context.Context, apply func(State)) error {
	held, last := m.held(), m.lastPosition
	meanwhile := toucanhistory.NewOvertaking(m.copied)
	m.meanwhile = meanwhile
	var values []toucanstore.Value
	var position toucanhistory.Position
	var err error
	m.whileReceiving(apply, func() { values, position, err = m.source.Snapshot(ctx, held, m.onAnswer) })
	m.meanwhile = nil
	if err != nil {
		return err
	}
	bytes := held.ReadBytes(values)
	restored := m.recordRestore(last, position)
	if !restored {
		values, position = meanwhile.AddTo(values, position)
		omitted := m.recordOmitted(values)
		m.shareSnapshot(values, position, omitted > 0 || m.hasRemoved(values))
	}
	removed := m.replace(values, position)
	m.borrowed = false
	m.setPosition(position)
	m.lastSnapshot = time.Now()
	m.verifyNext, m.copyBytes = false, bytes
	m.scheduleVerify()
	m.onSnapshot()
	apply(State{Values: m.values, Removed: removed, Resumed: m.recordAnswer(), Restored: restored, Origin: OriginSnapshot})
	return nil
}

// held returns the large values that the mirror has read from the store.
func (m *Mirror) held() toucanhistory.Held {
	if m.borrowed {
		return toucanhistory.Held{}
	}
	return toucanhistory.HeldOf(m.values, m.copied.Era)
}

// replace replaces the copy by values at a position and returns the keys that were removed.
func (m *Mirror) replace(values []toucanstore.Value, at toucanhistory.Position) []string {
	next := toucanhistory.NewValues(values)
	removed := m.values.MissingIn(next)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values, m.copied = next, at
	return removed
}
