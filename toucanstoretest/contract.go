// Package toucanstoretest has the tests that every implementation of toucanstore.Store must pass.
package toucanstoretest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanstore"
)

const (
	// leaseTTL is the shortest TTL that Consul's API allows.
	leaseTTL = 10 * time.Second
	// leaseExpired is the time after which a lease has certainly expired. Consul can take up to twice the TTL.
	leaseExpired = 2*leaseTTL + time.Second
)

// Option configures a run of Contract.
type Option func(*contract)

type contract struct {
	newStore func(t *testing.T) toucanstore.Store
	run      func(t *testing.T, body func(t *testing.T))
}

// WithWallClock runs the tests outside a synctest bubble, for a store with its own clock.
func WithWallClock() Option {
	return func(c *contract) {
		c.run = func(t *testing.T, body func(t *testing.T)) { body(t) }
	}
}

// Contract runs every test case against a new, empty store. It calls newStore inside the synctest bubble of the
// case.
func Contract(t *testing.T, newStore func(t *testing.T) toucanstore.Store, opts ...Option) {
	c := &contract{newStore: newStore, run: toucanbubble.Test}
	for _, opt := range opts {
		opt(c)
	}
	for _, tc := range []struct {
		name string
		body func(t *testing.T, s toucanstore.Store)
	}{
		{"get of a missing key", getMissing},
		{"create and update by revision", createAndUpdate},
		{"revisions grow over the whole store", revisionsGrow},
		{"conflict changes nothing", conflictChangesNothing},
		{"racing writers: one wins each revision", racingWriters},
		{"delete by revision", deleteByRevision},
		{"list by prefix in order", listByPrefix},
		{"keys with special characters", keysWithSpecialCharacters},
		{"largest and too large value", valueSizes},
		{"a returned body is a copy", bodiesAreCopies},
		{"watch returns existing values", watchExisting},
		{"watch returns after a change", watchReturnsAfterChange},
		{"watch returns a higher revision after a deletion", watchDeletion},
		{"watch ignores other prefixes", watchOtherPrefix},
		{"watch returns when its context ends", watchCancelled},
		{"keys of an expired lease are deleted", expiredLeaseDeletesKeys},
		{"a renewed lease keeps its keys", leaseRenewed},
		{"keys of a revoked lease are deleted", leaseRevoked},
		{"a key bound to another lease is not written", leaseHeldByAnother},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c.run(t, func(t *testing.T) { tc.body(t, c.newStore(t)) })
		})
	}
}

func swap(t *testing.T, s toucanstore.Store, key, body string, expected uint64, opts ...toucanstore.SwapOption) uint64 {
	t.Helper()
	revision, err := s.CompareAndSwap(t.Context(), key, []byte(body), expected, opts...)
	assert.NilError(t, err)
	return revision
}

func assertBody(t *testing.T, s toucanstore.Store, key, body string) {
	t.Helper()
	v, err := s.Get(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, string(v.Body), body)
}

func assertMissing(t *testing.T, s toucanstore.Store, key string) {
	t.Helper()
	_, err := s.Get(t.Context(), key)
	assert.ErrorIs(t, err, toucanstore.ErrNotFound)
}

func getMissing(t *testing.T, s toucanstore.Store) {
	assertMissing(t, s, "a/b")
	values, err := s.List(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(values), 0)
}

func createAndUpdate(t *testing.T, s toucanstore.Store) {
	first := swap(t, s, "a", "one", 0)
	second := swap(t, s, "a", "two", first)
	v, err := s.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, v, toucanstore.Value{Key: "a", Body: []byte("two"), Revision: second})
}

func revisionsGrow(t *testing.T, s toucanstore.Store) {
	var last uint64
	for i := range 5 {
		revision := swap(t, s, fmt.Sprint("key", i), "x", 0)
		assert.Assert(t, revision > last)
		last = revision
	}
}

func conflictChangesNothing(t *testing.T, s toucanstore.Store) {
	revision := swap(t, s, "a", "one", 0)
	for _, expected := range []uint64{0, revision + 1} {
		_, err := s.CompareAndSwap(t.Context(), "a", []byte("two"), expected)
		assert.ErrorIs(t, err, toucanstore.ErrConflict)
	}
	_, err := s.CompareAndSwap(t.Context(), "missing", []byte("two"), revision)
	assert.ErrorIs(t, err, toucanstore.ErrConflict)
	assertBody(t, s, "a", "one")
}

func racingWriters(t *testing.T, s toucanstore.Store) {
	const writers = 8
	expected := swap(t, s, "a", "start", 0)
	var wins atomic.Int64
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			_, err := s.CompareAndSwap(t.Context(), "a", []byte(fmt.Sprint(i)), expected)
			if err == nil {
				wins.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, wins.Load(), int64(1))
}

func deleteByRevision(t *testing.T, s toucanstore.Store) {
	revision := swap(t, s, "a", "one", 0)
	assert.ErrorIs(t, s.Delete(t.Context(), "a", revision+1), toucanstore.ErrConflict)
	assertBody(t, s, "a", "one")
	assert.NilError(t, s.Delete(t.Context(), "a", revision))
	assertMissing(t, s, "a")
	assert.NilError(t, s.Delete(t.Context(), "a", revision))
	assert.Assert(t, swap(t, s, "a", "two", 0) > revision)
}

func listByPrefix(t *testing.T, s toucanstore.Store) {
	for _, key := range []string{"b/2", "a/1", "b/1", "b/1/x", "c"} {
		swap(t, s, key, key, 0)
	}
	values, err := s.List(t.Context(), "b/")
	assert.NilError(t, err)
	var keys []string
	for _, v := range values {
		assert.Equal(t, string(v.Body), v.Key)
		keys = append(keys, v.Key)
	}
	assert.DeepEqual(t, keys, []string{"b/1", "b/1/x", "b/2"})
}

func keysWithSpecialCharacters(t *testing.T, s toucanstore.Store) {
	for _, key := range []string{"a b", "a%2Fb", "é/ñ", "a?b=c&d", "a+b"} {
		swap(t, s, key, key, 0)
		assertBody(t, s, key, key)
	}
}

func valueSizes(t *testing.T, s toucanstore.Store) {
	_, err := s.CompareAndSwap(t.Context(), "a", make([]byte, toucanstore.MaxValueBytes), 0)
	assert.NilError(t, err)
	_, err = s.CompareAndSwap(t.Context(), "b", make([]byte, toucanstore.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, toucanstore.ErrTooLarge)
	assertMissing(t, s, "b")
}

func bodiesAreCopies(t *testing.T, s toucanstore.Store) {
	body := []byte("one")
	_, err := s.CompareAndSwap(t.Context(), "a", body, 0)
	assert.NilError(t, err)
	body[0] = 'x'
	assertBody(t, s, "a", "one")
}

func watchExisting(t *testing.T, s toucanstore.Store) {
	first := swap(t, s, "a/1", "one", 0)
	second := swap(t, s, "a/2", "two", 0)
	values, index, err := s.Watch(t.Context(), "a/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(values), 2)
	assert.Assert(t, index >= second)
	values, _, err = s.Watch(t.Context(), "a/", first)
	assert.NilError(t, err)
	assert.DeepEqual(t, values, []toucanstore.Value{{Key: "a/2", Body: []byte("two"), Revision: second}})
}

func watchReturnsAfterChange(t *testing.T, s toucanstore.Store) {
	first := swap(t, s, "a/1", "one", 0)
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(time.Second)
		_, err := s.CompareAndSwap(t.Context(), "a/1", []byte("two"), first)
		assert.Check(t, err)
	})
	started := time.Now()
	values, index, err := s.Watch(t.Context(), "a/", first)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(started) >= time.Second)
	assert.Equal(t, len(values), 1)
	assert.Equal(t, string(values[0].Body), "two")
	assert.Assert(t, index > first)
	wg.Wait()
}

func watchDeletion(t *testing.T, s toucanstore.Store) {
	revision := swap(t, s, "a/1", "one", 0)
	assert.NilError(t, s.Delete(t.Context(), "a/1", revision))
	values, index, err := s.Watch(t.Context(), "a/", revision)
	assert.NilError(t, err)
	assert.Equal(t, len(values), 0)
	assert.Assert(t, index > revision)
}

func watchOtherPrefix(t *testing.T, s toucanstore.Store) {
	revision := swap(t, s, "a/1", "one", 0)
	swap(t, s, "b/1", "two", 0)
	values, _, err := s.Watch(t.Context(), "a/", revision)
	assert.NilError(t, err)
	assert.Equal(t, len(values), 0)
}

func watchCancelled(t *testing.T, s toucanstore.Store) {
	revision := swap(t, s, "a/1", "one", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err := s.Watch(ctx, "a/", revision)
	assert.ErrorIs(t, err, toucanstore.ErrUnavailable)
}

func grant(t *testing.T, s toucanstore.Store) toucanstore.Lease {
	t.Helper()
	l, err := s.GrantLease(t.Context(), leaseTTL)
	assert.NilError(t, err)
	assert.Equal(t, l.TTL, leaseTTL)
	return l
}

func expiredLeaseDeletesKeys(t *testing.T, s toucanstore.Store) {
	l := grant(t, s)
	swap(t, s, "a", "one", 0, toucanstore.WithLease(l))
	time.Sleep(leaseExpired)
	assertMissing(t, s, "a")
	assert.ErrorIs(t, s.KeepAlive(t.Context(), l), toucanstore.ErrNotFound)
	_, err := s.CompareAndSwap(t.Context(), "a", []byte("late"), 0, toucanstore.WithLease(l))
	assert.ErrorIs(t, err, toucanstore.ErrConflict)
	assertMissing(t, s, "a")
}

func leaseRenewed(t *testing.T, s toucanstore.Store) {
	l := grant(t, s)
	swap(t, s, "a", "one", 0, toucanstore.WithLease(l))
	for range 6 {
		time.Sleep(leaseTTL / 2)
		assert.NilError(t, s.KeepAlive(t.Context(), l))
	}
	assertBody(t, s, "a", "one")
}

func leaseRevoked(t *testing.T, s toucanstore.Store) {
	l := grant(t, s)
	swap(t, s, "a", "one", 0, toucanstore.WithLease(l))
	assert.NilError(t, s.Revoke(t.Context(), l))
	assertMissing(t, s, "a")
	assert.NilError(t, s.Revoke(t.Context(), l))
}

func leaseHeldByAnother(t *testing.T, s toucanstore.Store) {
	first, second := grant(t, s), grant(t, s)
	revision := swap(t, s, "a", "one", 0, toucanstore.WithLease(first))
	_, err := s.CompareAndSwap(t.Context(), "a", []byte("two"), revision, toucanstore.WithLease(second))
	assert.ErrorIs(t, err, toucanstore.ErrConflict)
	assertBody(t, s, "a", "one")
}
