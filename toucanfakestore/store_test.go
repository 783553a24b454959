package toucanfakestore_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakestore"
	"toucanport/toucanstore"
	"toucanport/toucanstoretest"
)

func newPipeClient(t *testing.T, m *toucanfakestore.Memory, opts ...toucanstore.Option) *toucanstore.Client {
	transport, stop := m.Pipe()
	t.Cleanup(stop)
	opts = append([]toucanstore.Option{toucanstore.WithTransport(transport), toucanstore.WithBudget(1000, 1000)}, opts...)
	return toucanstore.NewClient("http://127.0.0.1:8500", opts...)
}

func TestMemoryMeetsStoreContract(t *testing.T) {
	toucanstoretest.Contract(t, func(*testing.T) toucanstore.Store { return toucanfakestore.New() })
}

func TestClientMeetsStoreContract(t *testing.T) {
	toucanstoretest.Contract(t, func(t *testing.T) toucanstore.Store {
		return newPipeClient(t, toucanfakestore.New(), toucanstore.WithWait(5*time.Second))
	})
}

func isConflict(err error) bool { return errors.Is(err, toucanstore.ErrConflict) }

// writeCase is a test case: the result that a write must have under the given faults.
type writeCase struct {
	name    string
	faults  toucanfakestore.Faults
	err     error
	applied bool
}

func TestWriteOutcomes(t *testing.T) {
	for _, tc := range []writeCase{
		{"healthy", toucanfakestore.Faults{}, nil, true},
		{"down", toucanfakestore.Faults{Down: true}, toucanstore.ErrUnavailable, false},
		{"reply lost", toucanfakestore.Faults{LostReplyShare: 1}, toucanstore.ErrUnknownOutcome, true},
		{"request lost", toucanfakestore.Faults{LostRequestShare: 1}, toucanstore.ErrUnknownOutcome, false},
		{"slower than the timeout", toucanfakestore.Faults{Delay: time.Minute}, toucanstore.ErrUnknownOutcome, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				m := toucanfakestore.New()
				c := newPipeClient(t, m)
				m.SetFaults(tc.faults)
				_, err := c.CompareAndSwap(t.Context(), "a", []byte("x"), 0)
				assert.ErrorIs(t, err, tc.err)
				m.SetFaults(toucanfakestore.Faults{})
				_, err = c.Get(t.Context(), "a")
				assert.Equal(t, err == nil, tc.applied)
			})
		})
	}
}

func TestRefusedCallIsRetriedUpToTries(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		c := newPipeClient(t, m, toucanstore.WithTries(4))
		m.SetFaults(toucanfakestore.Faults{Down: true})
		_, err := c.Get(t.Context(), "a")
		assert.ErrorIs(t, err, toucanstore.ErrUnavailable)
		assert.Equal(t, c.Counts().Reads, int64(4))
	})
}

func TestWriteOfUnknownOutcomeIsNotRetried(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		c := newPipeClient(t, m)
		m.SetFaults(toucanfakestore.Faults{LostRequestShare: 1})
		_, err := c.CompareAndSwap(t.Context(), "a", nil, 0)
		assert.ErrorIs(t, err, toucanstore.ErrUnknownOutcome)
		assert.Equal(t, c.Counts().Writes, int64(1))
	})
}

func TestBudgetSpreadsCalls(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		c := newPipeClient(t, m, toucanstore.WithBudget(100, 10))
		started := time.Now()
		var revision uint64
		for range 30 {
			var err error
			revision, err = c.CompareAndSwap(t.Context(), "a", nil, revision)
			assert.NilError(t, err)
		}
		assert.Assert(t, time.Since(started) >= 1900*time.Millisecond)
	})
}

func TestBudgetRefusesCallThatWouldMissItsDeadline(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		c := newPipeClient(t, m, toucanstore.WithBudget(1, 1), toucanstore.WithTries(1))
		revision, err := c.CompareAndSwap(t.Context(), "a", nil, 0)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = c.CompareAndSwap(ctx, "a", nil, revision)
		assert.ErrorIs(t, err, toucanstore.ErrUnavailable)
		assert.Equal(t, m.Counts().Writes, int64(1))
	})
}

func TestConcurrentReadsAreShared(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		c := newPipeClient(t, m)
		_, err := c.CompareAndSwap(t.Context(), "a", []byte("x"), 0)
		assert.NilError(t, err)
		m.SetFaults(toucanfakestore.Faults{Delay: 50 * time.Millisecond})
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				v, err := c.Get(t.Context(), "a")
				assert.Check(t, err)
				assert.Check(t, string(v.Body) == "x")
			})
		}
		wg.Wait()
		assert.Equal(t, m.Counts().Reads, int64(1))
	})
}

// slowReplies delays the replies of reads by a second, after the store has read the values.
type slowReplies struct{ next http.RoundTripper }

func (s slowReplies) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.next.RoundTrip(r)
	if r.Method == http.MethodGet {
		time.Sleep(time.Second)
	}
	return resp, err
}

func TestReadAfterWriteDoesNotShareEarlierRead(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		transport, stop := toucanfakestore.New().Pipe()
		t.Cleanup(stop)
		c := toucanstore.NewClient("http://127.0.0.1:8500", toucanstore.WithTransport(slowReplies{transport}))
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := c.Get(t.Context(), "a")
			assert.Check(t, errors.Is(err, toucanstore.ErrNotFound))
		})
		time.Sleep(100 * time.Millisecond)
		_, err := c.CompareAndSwap(t.Context(), "a", []byte("x"), 0)
		assert.NilError(t, err)
		_, err = c.Get(t.Context(), "a")
		assert.NilError(t, err)
		wg.Wait()
	})
}

func TestStoreRefusesWritesOverRateLimit(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		m.SetFaults(toucanfakestore.Faults{WritesPerSecond: 2})
		var refused int
		for range 6 {
			if _, err := m.CompareAndSwap(t.Context(), "a", nil, 99); err != nil && !isConflict(err) {
				refused++
			}
		}
		assert.Equal(t, refused, 4)
		assert.Equal(t, m.Counts().Refused, int64(4))
	})
}

func TestStalledWatchReturnsNoChanges(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		m := toucanfakestore.New()
		c := newPipeClient(t, m, toucanstore.WithWait(5*time.Second))
		revision, err := c.CompareAndSwap(t.Context(), "a/1", nil, 0)
		assert.NilError(t, err)
		m.SetFaults(toucanfakestore.Faults{StallWatches: true})
		_, err = c.CompareAndSwap(t.Context(), "a/1", nil, revision)
		assert.NilError(t, err)
		values, index, err := c.Watch(t.Context(), "a/", revision)
		assert.NilError(t, err)
		assert.Equal(t, len(values), 0)
		assert.Equal(t, index, revision)
		m.SetFaults(toucanfakestore.Faults{})
		values, _, err = c.Watch(t.Context(), "a/", revision)
		assert.NilError(t, err)
		assert.Equal(t, len(values), 1)
		assert.Equal(t, c.Counts().Watches, int64(2))
	})
}
