package toucanorder

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrInProgress is returned while an earlier attempt with the key is at work.
	ErrInProgress = errors.New("order: an earlier request with this key is in progress")
	// ErrUnknownOutcome is returned when an earlier attempt may have been carried out and its outcome is lost.
	ErrUnknownOutcome = errors.New("order: the outcome of an earlier request with this key is unknown")
	// ErrOutcomeNotKept is returned when an earlier attempt was carried out, with the status in the claim, and
	// the rest of its answer is no longer kept or out of reach.
	ErrOutcomeNotKept = errors.New("order: carried out by an earlier request with this key; its answer is not kept")
	// ErrKeyReused is returned when the key belongs to an order with another content.
	ErrKeyReused = errors.New("order: the key was used for another request")
	// ErrKeyExpired is returned for a key that was made before the oldest order that is still known.
	ErrKeyExpired = errors.New("order: the key is older than what is kept")
	// ErrUnavailable is returned when the order could not be claimed, so that this request was not run. It tells
	// nothing of earlier requests with the key.
	ErrUnavailable = errors.New("order: can't be recorded at present")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("order: closed")
)

// Delayed is an error after which the caller may ask again.
type Delayed struct {
	// Err is one of this package's errors.
	Err error
	// After is when asking again may help.
	After time.Duration
}

// Error implements error.
func (d *Delayed) Error() string { return d.Err.Error() }

// Unwrap lets errors.Is find the cause.
func (d *Delayed) Unwrap() error { return d.Err }

// RetryAfter returns when the caller may ask again; zero means at once.
func RetryAfter(err error) time.Duration {
	var d *Delayed
	if errors.As(err, &d) {
		return d.After
	}
	return 0
}
