package toucanmirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanhistory"
	"toucanport/toucanlogtest"
	"toucanport/toucanstore"
)

var errUnavailable = errors.New("store unavailable")

// fakeSource is a store that can lose its history or be unavailable, and whose watches can fail or omit changes.
type fakeSource struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]toucanstore.Value
	history  []toucanhistory.Change
	// oldestRevision is the oldest revision after which all changes are known.
	oldestRevision uint64
	// omitsChanges makes watches report no changes, watchFails makes them fail, and unavailable makes all calls fail.
	omitsChanges, watchFails, unavailable bool
	// skipsChanges makes watches report no changes and yet return the current revision.
	skipsChanges bool
	snapshots    int
	watches      int
}

func newFakeSource() *fakeSource {
	return &fakeSource{revision: 1, values: make(map[string]toucanstore.Value)}
}

func (f *fakeSource) write(key, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	v := toucanstore.Value{Key: key, Body: []byte(body), Revision: f.revision}
	f.values[key] = v
	f.history = append(f.history, toucanhistory.Change{Value: v})
}

func (f *fakeSource) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.values, key)
	f.history = append(f.history, toucanhistory.Change{Value: toucanstore.Value{Key: key, Revision: f.revision}, Removed: true})
}

func (f *fakeSource) update(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// calls returns the numbers of calls for changes and for snapshots so far.
func (f *fakeSource) calls() (watches, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches, f.snapshots
}

func (f *fakeSource) Snapshot(context.Context, toucanhistory.Held, func()) ([]toucanstore.Value, toucanhistory.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	if f.unavailable {
		return nil, toucanhistory.Position{}, errUnavailable
	}
	return slices.Collect(maps.Values(f.values)), toucanhistory.Position{Revision: f.revision}, nil
}

const watchTimeout = 500 * time.Millisecond

func (f *fakeSource) Changes(ctx context.Context, after toucanhistory.Position, _ func()) ([]toucanhistory.Change, toucanhistory.Position, error) {
	f.update(func(f *fakeSource) { f.watches++ })
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		changes, revision, err := f.changesAfter(after.Revision)
		f.mu.Unlock()
		if len(changes) > 0 || err != nil || time.Since(began) > watchTimeout || ctx.Err() != nil {
			return changes, toucanhistory.Position{Revision: revision}, err
		}
	}
}

func (f *fakeSource) changesAfter(after uint64) ([]toucanhistory.Change, uint64, error) {
	switch {
	case f.unavailable, f.watchFails:
		return nil, after, errUnavailable
	case after < f.oldestRevision:
		return nil, after, ErrHistoryLost
	case f.omitsChanges:
		return nil, after, nil
	case f.skipsChanges:
		return nil, f.revision, nil
	}
	var changes []toucanhistory.Change
	for _, c := range f.history {
		if c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, f.revision, nil
}

// runMirror runs a mirror of f during body in a synctest bubble, and returns the log. body gets a function that returns
// a key's value in the mirror's last state.
func runMirror(t *testing.T, f *fakeSource, body func(seen func(string) string), opts ...Option) string {
	log := &toucanlogtest.Log{}
	toucanbubble.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		held := make(map[string]string)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			New(f, log.Logger(), opts...).Run(ctx, func(s State) {
				mu.Lock()
				defer mu.Unlock()
				held = make(map[string]string)
				for key, v := range s.Values {
					held[key] = string(v.Body)
				}
			})
		}()
		body(func(key string) string {
			mu.Lock()
			defer mu.Unlock()
			return held[key]
		})
		cancel()
		<-done
	})
	return log.Next(t, 0)
}

// settleTime is longer than a watch, the interval between calls and a retry together.
const settleTime = 1500 * time.Millisecond

// TestFollowsChanges checks that writes and removals reach the mirror.
func TestFollowsChanges(t *testing.T) {
	f := newFakeSource()
	runMirror(t, f, func(seen func(string) string) {
		f.write("a", "1")
		time.Sleep(settleTime)
		assert.Equal(t, seen("a"), "1")
		f.write("a", "2")
		f.write("b", "1")
		time.Sleep(settleTime)
		assert.Equal(t, seen("a")+seen("b"), "21")
		f.remove("a")
		time.Sleep(settleTime)
		assert.Equal(t, seen("a")+seen("b"), "1")
	})
}

// TestFindsChangesThatWatchOmits checks that changes that a watch omits are found when it fails and its history is
// lost, and otherwise by the periodic snapshot.
func TestFindsChangesThatWatchOmits(t *testing.T) {
	f := newFakeSource()
	runMirror(t, f, func(seen func(string) string) {
		f.write("a", "1")
		time.Sleep(settleTime)
		f.update(func(f *fakeSource) { f.omitsChanges = true })
		f.write("a", "2")
		f.update(func(f *fakeSource) {
			f.watchFails = true
			f.oldestRevision = f.revision
		})
		time.Sleep(watchTimeout)
		f.update(func(f *fakeSource) { f.watchFails = false })
		time.Sleep(settleTime)
		assert.Equal(t, seen("a"), "2")
		f.write("a", "3")
		time.Sleep(2 * verifyInterval)
		assert.Equal(t, seen("a"), "3")
	})
}

// TestChangesThatWatchSkipsAreLogged checks that a snapshot logs and counts the values that a watch passed over.
func TestChangesThatWatchSkipsAreLogged(t *testing.T) {
	f := newFakeSource()
	f.skipsChanges = true
	log := &toucanlogtest.Log{}
	toucanbubble.Test(t, func(t *testing.T) {
		m := New(f, log.Logger(), WithPeerSnapshotAge(verifiedNow))
		ctx, cancel := context.WithTimeout(t.Context(), 2*settleTime)
		defer cancel()
		time.AfterFunc(settleTime, func() { f.write("a", "1") })
		m.Run(ctx, func(State) {})
		assert.Equal(t, m.Stats().Omitted, uint64(1))
	})
	assert.Equal(t, log.Next(t, 0), "WARN watch left out changes of the store: changes=1 key=a revision=2\n")
}

// TestOlderStoreIsLogged checks that a snapshot at an earlier position than before is logged and counted.
func TestOlderStoreIsLogged(t *testing.T) {
	log := &toucanlogtest.Log{}
	m := New(newFakeSource(), log.Logger())
	last := toucanhistory.Position{Era: 1, Revision: 9}
	m.recordRestore(toucanhistory.Position{}, last)
	m.recordRestore(last, last)
	m.recordRestore(last, toucanhistory.Position{Era: 2, Revision: 12})
	m.recordRestore(last, toucanhistory.Position{Era: 1, Revision: 8})
	assert.Equal(t, m.Stats(), Stats{Restores: 2, Era: 1})
	assert.Equal(t, log.Next(t, 0), "WARN store came back from an older copy: era=2 eraBefore=1 revision=12 revisionBefore=9\n"+
		"WARN store came back from an older copy: era=1 eraBefore=1 revision=8 revisionBefore=9\n")
}

// TestKeepsStateDuringOutage checks that the last state remains during an outage, that retries back off, and that the
// mirror recovers afterwards.
func TestKeepsStateDuringOutage(t *testing.T) {
	f := newFakeSource()
	logged := runMirror(t, f, func(seen func(string) string) {
		f.write("a", "1")
		time.Sleep(settleTime)
		f.update(func(f *fakeSource) { f.unavailable = true })
		time.Sleep(time.Second)
		f.update(func(f *fakeSource) { f.snapshots = 0 })
		const outage = 20 * time.Second
		time.Sleep(outage)
		assert.Equal(t, seen("a"), "1")
		f.update(func(f *fakeSource) {
			assert.Check(t, f.snapshots <= int(outage/(maxRetry/2))+1, "%d calls", f.snapshots)
			f.unavailable = false
		})
		f.write("a", "2")
		time.Sleep(settleTime)
		assert.Equal(t, seen("a"), "2")
	})
	assert.Equal(t, logged, "WARN store lost: cause=store unavailable\nINFO store regained: awayMs\n")
}

// verifiedNow is the snapshot age of peers of which one has just verified its copy.
func verifiedNow() (time.Duration, bool) { return 0, true }

// TestVerificationIsSharedByPeers checks that all processes together take about as many snapshots as one alone.
func TestVerificationIsSharedByPeers(t *testing.T) {
	const processes, duration = 27, 30 * time.Second
	toucanbubble.Test(t, func(t *testing.T) {
		f := newFakeSource()
		var mu sync.Mutex
		var last time.Time
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		var wg sync.WaitGroup
		for range processes {
			m := New(f, slog.New(slog.DiscardHandler),
				WithPeerCount(func() int { return processes - 1 }),
				WithPeerSnapshotAge(func() (time.Duration, bool) {
					mu.Lock()
					defer mu.Unlock()
					return time.Since(last), true
				}),
				WithSnapshotCallback(func() {
					mu.Lock()
					defer mu.Unlock()
					last = time.Now()
				}),
			)
			wg.Go(func() { m.Run(ctx, func(State) {}) })
		}
		wg.Wait()
		most := processes + int(duration/verifyInterval)
		assert.Assert(t, f.snapshots <= most, "%d snapshots", f.snapshots)
		assert.Assert(t, f.snapshots >= int(duration/(2*verifyInterval)), "%d snapshots", f.snapshots)
	})
}

// TestLargeCopyIsVerifiedLessOften checks that the interval between two snapshots grows with the size of the copy and
// falls with the number of processes that share them.
func TestLargeCopyIsVerifiedLessOften(t *testing.T) {
	for _, tc := range []struct {
		peers, bytes int
		least, most  time.Duration
	}{
		{0, 20 << 10, verifyInterval, 5 * verifyInterval / 4},
		{26, 60 << 10, verifyInterval, 5 * verifyInterval / 4},
		{0, 1 << 20, 16 * time.Second, 20 * time.Second},
		{15, 3 << 19, 8 * time.Second, 10 * time.Second},
	} {
		m := New(newFakeSource(), slog.New(slog.DiscardHandler), WithPeerCount(func() int { return tc.peers }))
		m.copyBytes = tc.bytes
		m.scheduleVerify()
		assert.Check(t, m.verifyAfter >= tc.least && m.verifyAfter <= tc.most, "%d peers, %d bytes: %v", tc.peers, tc.bytes, m.verifyAfter)
	}
}

// rankedReaders are Readers of a fixed rank, whose peers are as far as the source was at the last batch that was shared.
type rankedReaders struct {
	rank    int
	mu      sync.Mutex
	peers   toucanhistory.Position
	shared  []toucanhistory.Batch
	current toucanhistory.Position
}

func (r *rankedReaders) Rank(time.Time) int               { return r.rank }
func (r *rankedReaders) StoreAge(time.Time) time.Duration { return 0 }

func (r *rankedReaders) Newest(time.Time) toucanhistory.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

func (r *rankedReaders) setPeers(p toucanhistory.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = p
}

func (r *rankedReaders) SetPosition(p toucanhistory.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = p
}

func (r *rankedReaders) position() toucanhistory.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *rankedReaders) Share(b toucanhistory.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shared = append(r.shared, b)
}

// TestCallsByRank checks that a store that changes constantly is called at the interval of a process's rank, and by a process
// that is not a reader only to read it once.
func TestCallsByRank(t *testing.T) {
	const duration = 10 * time.Second
	for rank := range ReaderCount + 1 {
		toucanbubble.Test(t, func(t *testing.T) {
			f := newFakeSource()
			m := New(f, slog.New(slog.DiscardHandler), WithReaders(&rankedReaders{rank: rank}), WithPeerSnapshotAge(verifiedNow))
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			var wg sync.WaitGroup
			wg.Go(func() {
				for ctx.Err() == nil {
					f.write("a", "x")
					time.Sleep(20 * time.Millisecond)
				}
			})
			m.Run(ctx, func(State) {})
			wg.Wait()
			most, least := 1, 0
			if rank < ReaderCount {
				due := int(duration / readerIntervals[rank])
				most, least = due*3/2, due/2
			}
			assert.Assert(t, f.watches <= most, "rank %d: %d watches", rank, f.watches)
			assert.Assert(t, f.watches >= least, "rank %d: %d watches", rank, f.watches)
		})
	}
}

// TestReaderSharesAllThatItReads checks that the batches of a reader follow each other without a gap up to its position, although
// it also reads the whole store.
func TestReaderSharesAllThatItReads(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		f := newFakeSource()
		r := &rankedReaders{}
		m := New(f, slog.New(slog.DiscardHandler), WithReaders(r))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { m.Run(ctx, func(State) {}) })
		time.Sleep(settleTime)
		start := r.position()
		for i := range 200 {
			if i%7 == 0 {
				f.remove("a")
			} else {
				f.write("a", "x")
			}
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(settleTime)
		cancel()
		wg.Wait()
		at := start.Revision
		for _, b := range r.shared {
			assert.Equal(t, b.After, at)
			at = b.To
		}
		assert.Equal(t, at, f.revision)
		assert.Assert(t, f.snapshots > 2)
	})
}

// runFollower runs a mirror that is not a reader, at the source's position. It returns what it holds of the key a.
func runFollower(t *testing.T, f *fakeSource, body func(m *Mirror, r *rankedReaders, held func() string)) {
	t.Helper()
	toucanbubble.Test(t, func(t *testing.T) {
		r := &rankedReaders{rank: ReaderCount}
		m := New(f, slog.New(slog.DiscardHandler), WithReaders(r), WithPeerSnapshotAge(verifiedNow))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { m.Run(ctx, func(State) {}) })
		time.Sleep(settleTime)
		body(m, r, func() string {
			values, _ := m.Values()
			for _, v := range values {
				if v.Key == "a" {
					return string(v.Body)
				}
			}
			return ""
		})
		cancel()
		wg.Wait()
	})
}

func written(revision uint64, body string) toucanhistory.Change {
	return toucanhistory.Change{Value: toucanstore.Value{Key: "a", Body: []byte(body), Revision: revision}}
}

func removedAt(revision uint64) toucanhistory.Change {
	return toucanhistory.Change{Value: toucanstore.Value{Key: "a", Revision: revision}, Removed: true}
}

// TestFollowerAppliesBatchesInOrder checks that shared changes are applied in the order of the store whatever the order of the
// datagrams, without a call to the store.
func TestFollowerAppliesBatchesInOrder(t *testing.T) {
	f := newFakeSource()
	runFollower(t, f, func(m *Mirror, r *rankedReaders, held func() string) {
		watches, snapshots := f.calls()
		m.Receive(toucanhistory.Batch{After: 1, To: 3, Changes: []toucanhistory.Change{written(2, "1"), written(3, "2")}})
		time.Sleep(time.Millisecond)
		assert.Equal(t, held(), "2")
		// A late copy of an earlier batch changes nothing, nor does one that overlaps undo a removal.
		m.Receive(toucanhistory.Batch{After: 1, To: 2, Changes: []toucanhistory.Change{written(2, "1")}})
		m.Receive(toucanhistory.Batch{After: 2, To: 5, Changes: []toucanhistory.Change{written(3, "2"), removedAt(4)}})
		m.Receive(toucanhistory.Batch{After: 1, To: 3, Changes: []toucanhistory.Change{written(2, "1"), written(3, "2")}})
		time.Sleep(time.Millisecond)
		assert.Equal(t, held(), "")
		assert.Equal(t, r.position().Revision, uint64(5))
		// A batch of another era is ignored.
		m.Receive(toucanhistory.Batch{Era: 7, After: 5, To: 6, Changes: []toucanhistory.Change{written(6, "other era")}})
		time.Sleep(time.Millisecond)
		assert.Equal(t, held(), "")
		watchesAfter, snapshotsAfter := f.calls()
		assert.Equal(t, watchesAfter, watches)
		assert.Equal(t, snapshotsAfter, snapshots)
	})
}

// TestFollowerReadsWhatItMissed checks that a process that lost a batch calls the store, whether it sees the gap or a peer's
// newer copy.
func TestFollowerReadsWhatItMissed(t *testing.T) {
	f := newFakeSource()
	runFollower(t, f, func(m *Mirror, r *rankedReaders, held func() string) {
		f.write("a", "1")
		f.write("a", "2")
		m.Receive(toucanhistory.Batch{After: 2, To: 3, Changes: []toucanhistory.Change{written(3, "2")}})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, held(), "2")
		watches, _ := f.calls()
		assert.Equal(t, watches, 1)
		time.Sleep(settleTime)
		f.write("a", "3")
		r.setPeers(toucanhistory.Position{Revision: 4})
		time.Sleep(2*catchUpDelay + 2*followCheck)
		assert.Equal(t, held(), "3")
	})
}

// TestFollowerTakesRepairs checks that changes that watches left out, and that a peer found, are applied at an unchanged position,
// but not by a process that is further.
func TestFollowerTakesRepairs(t *testing.T) {
	f := newFakeSource()
	runFollower(t, f, func(m *Mirror, _ *rankedReaders, held func() string) {
		m.Receive(toucanhistory.Batch{After: 1, To: 5, Changes: []toucanhistory.Change{{Value: toucanstore.Value{Key: "b", Revision: 5}}}})
		m.Receive(toucanhistory.Batch{After: 5, To: 5, Changes: []toucanhistory.Change{written(3, "left out")}, Repair: true})
		time.Sleep(time.Millisecond)
		assert.Equal(t, held(), "left out")
		m.Receive(toucanhistory.Batch{After: 5, To: 7, Changes: []toucanhistory.Change{removedAt(6), {Value: toucanstore.Value{Key: "b", Revision: 7}}}})
		m.Receive(toucanhistory.Batch{After: 5, To: 5, Changes: []toucanhistory.Change{written(3, "left out")}, Repair: true})
		time.Sleep(time.Millisecond)
		assert.Equal(t, held(), "")
	})
}

// TestReadsFromPeerDuringOutage checks that a peer's copy is used during an outage, and that the source's values
// replace it afterwards.
func TestReadsFromPeerDuringOutage(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		f := newFakeSource()
		f.unavailable = true
		peerValue := "1"
		m := New(f, slog.New(slog.DiscardHandler), WithPeerSnapshot(func(context.Context) ([]toucanstore.Value, toucanhistory.Position, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if peerValue == "" {
				return nil, toucanhistory.Position{}, errUnavailable
			}
			return []toucanstore.Value{{Key: "a", Body: []byte(peerValue), Revision: 5}}, toucanhistory.Position{}, nil
		}))
		held := func() string {
			values, _ := m.Values()
			for _, v := range values {
				return string(v.Body)
			}
			return ""
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx, func(State) {})
		}()
		time.Sleep(settleTime)
		assert.Equal(t, held(), "1")
		f.update(func(*fakeSource) { peerValue = "" })
		time.Sleep(settleTime)
		assert.Equal(t, held(), "1")
		f.write("a", "own")
		f.update(func(f *fakeSource) { f.unavailable = false })
		time.Sleep(settleTime)
		assert.Equal(t, held(), "own")
		cancel()
		<-done
	})
}

// TestPeerCopyOfAnotherEra checks that a peer's copy of a newer era is taken as that of a restored store, once, and that
// one of an earlier era is ignored.
func TestPeerCopyOfAnotherEra(t *testing.T) {
	era := uint64(2)
	m := New(newFakeSource(), slog.New(slog.DiscardHandler), WithPeerSnapshot(func(context.Context) ([]toucanstore.Value, toucanhistory.Position, error) {
		return []toucanstore.Value{{Key: "a", Revision: 3}}, toucanhistory.Position{Era: era}, nil
	}))
	m.outageSince = time.Now()
	m.lastPosition = toucanhistory.Position{Era: 1, Revision: 9}
	var states []State
	read := func() {
		m.beginPeerRead(t.Context())
		c := <-m.peerRead.result
		m.endPeerRead()
		m.usePeerCopy(c, func(s State) { states = append(states, s) })
	}
	read()
	read()
	era = 1
	read()
	assert.Equal(t, len(states), 2)
	assert.Assert(t, states[0].Restored && !states[1].Restored)
}

// TestStoreIsReadAgainWhilePeerCopyArrives checks that a peer's copy that takes long to arrive does not delay the return to the
// store, and is not used after it.
func TestStoreIsReadAgainWhilePeerCopyArrives(t *testing.T) {
	f := newFakeSource()
	f.unavailable = true
	readPeer := func(ctx context.Context) ([]toucanstore.Value, toucanhistory.Position, error) {
		select {
		case <-time.After(10 * time.Second):
		case <-ctx.Done():
		}
		return []toucanstore.Value{{Key: "a", Body: []byte("peer's"), Revision: 1}}, toucanhistory.Position{}, nil
	}
	runMirror(t, f, func(seen func(string) string) {
		time.Sleep(settleTime)
		f.update(func(f *fakeSource) { f.unavailable = false })
		f.write("a", "store's")
		time.Sleep(settleTime)
		assert.Equal(t, seen("a"), "store's")
		time.Sleep(10 * time.Second)
		assert.Equal(t, seen("a"), "store's")
	}, WithPeerSnapshot(readPeer))
}
