package toucanorder

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrInProgress is returned while an earlier attempt with the same key is in progress.
	ErrInProgress = errors.New("order: an earlier request with this key is in progress")
	// ErrUnknownOutcome is returned when an earlier attempt may have been executed and its outcome is lost.
	ErrUnknownOutcome = errors.New("order: the outcome of an earlier request with this key is unknown")
	// ErrOutcomeNotKept is returned when an earlier attempt was executed, but its headers and body are no longer
	// stored or cannot be read. The returned claim holds the status.
	ErrOutcomeNotKept = errors.New("order: carried out by an earlier request with this key; its answer is not kept")
	// ErrKeyReused is returned when the key was used for an order with a different request hash.
	ErrKeyReused = errors.New("order: the key was used for another request")
	// ErrKeyExpired is returned for an unknown key whose creation time is in the period whose records have been
	// deleted, so that the order may have been executed before.
	ErrKeyExpired = errors.New("order: the key is older than what is kept")
	// ErrUnavailable is returned when the order could not be claimed, so this request was not executed. Earlier
	// requests with the same key may have been.
	ErrUnavailable = errors.New("order: cannot be recorded now")
	// ErrClosed is returned by calls made after Close.
	ErrClosed = errors.New("order: closed")
)

// Delayed is an error with a delay after which the caller can retry.
type Delayed struct {
	// Err is one of this package's errors.
	Err error
	// After is the suggested delay before a retry.
	After time.Duration
}

// Error implements error.
func (d *Delayed) Error() string { return d.Err.Error() }

// Unwrap returns Err.
func (d *Delayed) Unwrap() error { return d.Err }

// RetryAfter returns the delay of a Delayed error in err's chain, or zero if there is none.
func RetryAfter(err error) time.Duration {
	var d *Delayed
	if errors.As(err, &d) {
		return d.After
	}
	return 0
}
