// Package toucanstore is the client of the platform's key-value service: compare-and-swap, leases and watches,
// within a budget of calls.
package toucanstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict is returned when a key's revision is not the expected one, or another lease holds the key.
	ErrConflict = errors.New("store: revision conflict")
	// ErrNotFound is returned for a key or a lease that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable is returned when a call was surely not carried out. For a read it only means no answer.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome is returned for a write whose reply was lost: it may have taken effect, or may still do so.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrTooLarge is returned for a value above MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// Value is one key with its body.
type Value struct {
	Key string
	// Body must not be changed by whoever receives it.
	Body []byte
	// Revision grows with every write of the whole store; never zero for a key that exists.
	Revision uint64
}

// Lease keeps the keys that are bound to it until it lapses or is revoked.
type Lease struct {
	ID string
	// TTL is how long the lease lasts after its grant or last renewal, as the store counts.
	TTL time.Duration
}

// SwapOptions are the settings of one CompareAndSwap; implementations read them through NewSwapOptions.
type SwapOptions struct {
	// LeaseID binds the key to a lease when it is not empty.
	LeaseID string
}

// SwapOption changes one CompareAndSwap.
type SwapOption func(*SwapOptions)

// WithLease binds the written key to l: the key vanishes when l lapses or is revoked.
func WithLease(l Lease) SwapOption {
	return func(o *SwapOptions) { o.LeaseID = l.ID }
}

// NewSwapOptions applies opts.
func NewSwapOptions(opts ...SwapOption) SwapOptions {
	var o SwapOptions
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Store is the key-value service. Implementations are safe for concurrent use. Each method returns one of this
// package's errors, to be tested with errors.Is.
type Store interface {
	// Get returns the value of key, or ErrNotFound. It sees every write whose call returned before Get began in
	// this process.
	Get(ctx context.Context, key string) (Value, error)
	// List returns the values of all keys that begin with prefix, in the order of their keys.
	List(ctx context.Context, prefix string) ([]Value, error)
	// CompareAndSwap writes key if its revision is expected, and returns the new revision. Zero means that the
	// key must not exist. After ErrUnknownOutcome a read that still shows the expected revision proves nothing,
	// since the write may be on its way; a repeat of the same call settles it.
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...SwapOption) (uint64, error)
	// Delete removes key if its revision is expected. Deleting a key that does not exist succeeds.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until a key that begins with prefix changes after the revision, for a bounded time. It returns
	// the values written after it and the revision to wait from next. No values and the same revision mean that
	// the wait ended; a higher revision without values means that keys were deleted, which List shows. A lower
	// revision means that the store was restored; the caller then waits from zero.
	Watch(ctx context.Context, prefix string, after uint64) ([]Value, uint64, error)
	// GrantLease starts a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease for its whole TTL, or returns ErrNotFound when it has lapsed.
	KeepAlive(ctx context.Context, l Lease) error
	// Revoke ends a lease and deletes its keys. Revoking a lapsed lease succeeds.
	Revoke(ctx context.Context, l Lease) error
}
