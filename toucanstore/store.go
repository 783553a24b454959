// Package toucanstore is the client of the platform's key-value service: compare-and-swap, leases and watches,
// with rate-limited calls.
package toucanstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict is returned when a key's revision is not the expected one, or when the key is bound to another
	// lease.
	ErrConflict = errors.New("store: revision conflict")
	// ErrNotFound is returned for a key or a lease that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable is returned when the store certainly did not execute a write, or did not answer a read.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome is returned for a write whose reply was lost. It may have taken effect or may still take
	// effect.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrTooLarge is returned for a value above MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// Value is the state of one key.
type Value struct {
	Key string
	// Body must not be modified by the receiver.
	Body []byte
	// Revision is the store's revision at the last write of the key; never zero for a key that exists. The
	// store's revision grows with every write to any key.
	Revision uint64
}

// Lease bounds the lifetime of the keys that are bound to it: they are deleted when it expires or is revoked.
type Lease struct {
	ID string
	// TTL is the lifetime of the lease from its grant or last renewal, by the store's clock.
	TTL time.Duration
}

// SwapOptions are the options of one CompareAndSwap. Implementations build them with NewSwapOptions.
type SwapOptions struct {
	// LeaseID binds the key to a lease when it is not empty.
	LeaseID string
}

// SwapOption configures one CompareAndSwap.
type SwapOption func(*SwapOptions)

// WithLease binds the written key to l: the key is deleted when l expires or is revoked.
func WithLease(l Lease) SwapOption {
	return func(o *SwapOptions) { o.LeaseID = l.ID }
}

// NewSwapOptions returns the result of applying opts to the zero value.
func NewSwapOptions(opts ...SwapOption) SwapOptions {
	var o SwapOptions
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Store is the key-value service. Implementations are safe for concurrent use. Callers test for this package's
// errors with errors.Is.
type Store interface {
	// Get returns the value of key, or ErrNotFound. The value includes every write whose call in this process
	// returned before Get was called.
	Get(ctx context.Context, key string) (Value, error)
	// List returns the values of all keys that begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Value, error)
	// CompareAndSwap writes key if its revision equals expected, and returns the new revision. An expected
	// revision of zero means that the key must not exist. After ErrUnknownOutcome, a read that still returns
	// the expected revision proves nothing, since the write may be in flight; repeating the same call settles
	// the outcome.
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...SwapOption) (uint64, error)
	// Delete removes key if its revision equals expected. Deleting a key that does not exist succeeds.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits, for a bounded time, until a key that begins with prefix changes after the revision after. It
	// returns the values written since and the revision to pass to the next call. The same revision without
	// values means that the time ended. A higher revision without values means that keys were deleted; List
	// then returns the remaining ones. A lower revision means that the store was restored to an older state; the
	// caller then passes zero.
	Watch(ctx context.Context, prefix string, after uint64) ([]Value, uint64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease for its full TTL, or returns ErrNotFound when it has expired.
	KeepAlive(ctx context.Context, l Lease) error
	// Revoke ends a lease and deletes its keys. Revoking an expired lease succeeds.
	Revoke(ctx context.Context, l Lease) error
}
