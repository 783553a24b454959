package toucanmirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanlogtest"
	"toucanport/toucanstore"
)

var errAway = errors.New("store is away")

// fakeSource is a store whose history can be lost and whose watches can be deaf, cut or without an answer.
type fakeSource struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]toucanstore.Value
	history  []Change
	// floor is the oldest revision that changes are known after.
	floor uint64
	// deaf watches hear of nothing; cut ones end without an answer.
	deaf, cut, away bool
	snapshots       int
	watches         int
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
	f.history = append(f.history, Change{Value: v})
}

func (f *fakeSource) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.values, key)
	f.history = append(f.history, Change{Value: toucanstore.Value{Key: key, Revision: f.revision}, Removed: true})
}

func (f *fakeSource) set(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeSource) Snapshot(context.Context) ([]toucanstore.Value, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	if f.away {
		return nil, 0, errAway
	}
	return slices.Collect(maps.Values(f.values)), f.revision, nil
}

const fakeWait = 500 * time.Millisecond

func (f *fakeSource) Changes(ctx context.Context, after uint64) ([]Change, uint64, error) {
	f.set(func(f *fakeSource) { f.watches++ })
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		changes, revision, err := f.look(after)
		f.mu.Unlock()
		if len(changes) > 0 || err != nil || time.Since(began) > fakeWait || ctx.Err() != nil {
			return changes, revision, err
		}
	}
}

func (f *fakeSource) look(after uint64) ([]Change, uint64, error) {
	switch {
	case f.away, f.cut:
		return nil, after, errAway
	case after < f.floor:
		return nil, after, ErrHistoryLost
	case f.deaf:
		return nil, after, nil
	}
	var changes []Change
	for _, c := range f.history {
		if c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, f.revision, nil
}

// run mirrors f while body runs, in a bubble, and returns what was logged.
func run(t *testing.T, f *fakeSource, body func(seen func(string) string)) string {
	log := &toucanlogtest.Log{}
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		held := make(map[string]string)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			New(f, log.Logger()).Run(ctx, func(s State) {
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

// settle is longer than a watch, the pace and a retry together.
const settle = 1500 * time.Millisecond

// TestFollowsChanges checks writes and removals.
func TestFollowsChanges(t *testing.T) {
	f := newFakeSource()
	run(t, f, func(seen func(string) string) {
		f.write("a", "1")
		time.Sleep(settle)
		assert.Equal(t, seen("a"), "1")
		f.write("a", "2")
		f.write("b", "1")
		time.Sleep(settle)
		assert.Equal(t, seen("a")+seen("b"), "21")
		f.remove("a")
		time.Sleep(settle)
		assert.Equal(t, seen("a")+seen("b"), "1")
	})
}

// TestDeafWatch checks that changes of which a watch says nothing are found when it is cut and its history lost, and
// by the regular snapshot when it is not.
func TestDeafWatch(t *testing.T) {
	f := newFakeSource()
	run(t, f, func(seen func(string) string) {
		f.write("a", "1")
		time.Sleep(settle)
		f.set(func(f *fakeSource) { f.deaf = true })
		f.write("a", "2")
		f.set(func(f *fakeSource) {
			f.cut = true
			f.floor = f.revision
		})
		time.Sleep(fakeWait)
		f.set(func(f *fakeSource) { f.cut = false })
		time.Sleep(settle)
		assert.Equal(t, seen("a"), "2")
		f.write("a", "3")
		time.Sleep(2 * verifyInterval)
		assert.Equal(t, seen("a"), "3")
	})
}

// TestOutage checks that the last state stays while the store is away, that calls are not made in a rush, and that the
// first state afterwards says so.
func TestOutage(t *testing.T) {
	f := newFakeSource()
	logged := run(t, f, func(seen func(string) string) {
		f.write("a", "1")
		time.Sleep(settle)
		f.set(func(f *fakeSource) { f.away = true })
		time.Sleep(time.Second)
		f.set(func(f *fakeSource) { f.snapshots = 0 })
		const outage = 20 * time.Second
		time.Sleep(outage)
		assert.Equal(t, seen("a"), "1")
		f.set(func(f *fakeSource) {
			assert.Check(t, f.snapshots <= int(outage/(maxRetry/2))+1, "%d calls", f.snapshots)
			f.away = false
		})
		f.write("a", "2")
		time.Sleep(settle)
		assert.Equal(t, seen("a"), "2")
	})
	assert.Equal(t, logged, "WARN store lost: cause=store is away\nINFO store regained: awayMs\n")
}

// TestPace checks that a store that changes all the time is asked at the pace, and more rarely by many.
func TestPace(t *testing.T) {
	for _, tc := range []struct {
		sharers int
		most    int
	}{{0, 60}, {19, 16}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeSource()
			m := New(f, slog.New(slog.DiscardHandler), WithSharers(func() int { return tc.sharers }))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
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
			assert.Assert(t, f.watches <= tc.most, "%d watches", f.watches)
			assert.Assert(t, f.watches >= tc.most/2, "%d watches", f.watches)
		})
	}
}

// TestBorrows checks that what another process has read is taken while the source does not answer, and that the source
// has the last word when it does.
func TestBorrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSource()
		f.away = true
		lent := "1"
		m := New(f, slog.New(slog.DiscardHandler), WithLender(func(context.Context) ([]toucanstore.Value, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if lent == "" {
				return nil, errAway
			}
			return []toucanstore.Value{{Key: "a", Body: []byte(lent), Revision: 5}}, nil
		}))
		held := func() string {
			for _, v := range m.Values() {
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
		time.Sleep(settle)
		assert.Equal(t, held(), "1")
		f.set(func(*fakeSource) { lent = "" })
		time.Sleep(settle)
		assert.Equal(t, held(), "1")
		f.write("a", "own")
		f.set(func(f *fakeSource) { f.away = false })
		time.Sleep(settle)
		assert.Equal(t, held(), "own")
		cancel()
		<-done
	})
}
