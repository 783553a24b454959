// Package toucanchange writes settings. Each change has an id and is one compare-and-swap of one document. When
// a reply of the store is lost, the id shows whether the change took effect.
package toucanchange

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

// KeyPrefix is the prefix of the store keys of settings documents.
const KeyPrefix = "settings"

// Key returns the store key of the document at a path.
func Key(document string) string { return KeyPrefix + document }

// DocumentOf is the inverse of Key.
func DocumentOf(key string) string { return strings.TrimPrefix(key, KeyPrefix) }

var (
	// ErrConflict is returned when another change touched the same paths first. Nothing was changed.
	ErrConflict = errors.New("conflict with another change")
	// ErrBaseTooOld is returned when the document has had more changes since the base revision than its
	// history holds. This call changed nothing, but an earlier call with the same id may have.
	ErrBaseTooOld = errors.New("base revision too old")
	// ErrRefused is returned for an id that was settled as not accepted.
	ErrRefused = errors.New("change was settled as not accepted")
	// ErrStoreDown is returned when the store did not answer. This call changed nothing.
	ErrStoreDown = errors.New("store not available; nothing changed, what is in force stays in force")
	// ErrOutcomeUnknown is returned when the change may have taken effect. The caller can repeat the call with the
	// same id.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrStoreBehind is returned when the store holds a lower revision than the one in force.
	ErrStoreBehind = errors.New("store is behind what is in force")
)

// ConflictError lists the paths that another change edited. It matches ErrConflict.
type ConflictError struct{ Paths []string }

func (e *ConflictError) Error() string {
	return "changed by someone else since it was read: " + strings.Join(e.Paths, ", ")
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Request is one change of one document.
type Request struct {
	// ID is the idempotency key of the change; never empty.
	ID       string
	Document string
	// Base is the revision of the document that the author read.
	Base   uint64
	Author string
	Edits  []toucanrevision.Edit
	// DryRun validates without writing.
	DryRun bool
}

// Result is the outcome of a request that was not refused.
type Result struct {
	// Document is the stored document that includes the change. After a dry run it is not stored.
	Document toucanrevision.Document
	// Revision is the revision that made the change.
	Revision uint64
	// Unchanged is true when the document had the requested content already; nothing was written.
	Unchanged bool
}

// Store is the part of toucanstore.Store that a Writer uses.
type Store interface {
	Get(ctx context.Context, key string) (toucanstore.Value, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// InForce gives access to the settings in force on this instance.
type InForce interface {
	Tree() *toucansettings.Tree
	// RevisionOf returns the revision of a document in force, zero when there is none.
	RevisionOf(document string) uint64
}

// Writer writes changes to the store. It keeps no state between calls and is safe for concurrent use.
type Writer struct {
	store   Store
	inForce InForce
	now     func() time.Time
	timeout time.Duration
}

const (
	defaultTimeout = 10 * time.Second
	firstBackoff   = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Option configures a Writer.
type Option func(*Writer)

// WithClock replaces the clock that sets the time of a change.
func WithClock(now func() time.Time) Option { return func(w *Writer) { w.now = now } }

// WithTimeout bounds the duration of one call of Apply or Settle.
func WithTimeout(d time.Duration) Option { return func(w *Writer) { w.timeout = d } }

// New returns a writer to store that validates changes against the settings in force.
func New(store Store, inForce InForce, opts ...Option) *Writer {
	w := &Writer{store: store, inForce: inForce, now: time.Now, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Read returns the stored document, or an empty one when there is none. The error matches ErrStoreDown or
// ErrStoreBehind, or lists the problems of a document that can't be parsed.
func (w *Writer) Read(ctx context.Context, document string) (toucanrevision.Document, error) {
	d, _, err := w.read(ctx, document)
	return d, err
}

func (w *Writer) read(ctx context.Context, document string) (toucanrevision.Document, uint64, error) {
	v, err := w.store.Get(ctx, Key(document))
	if errors.Is(err, toucanstore.ErrNotFound) {
		return toucanrevision.NewDocument(document), 0, w.checkAhead(document, 0)
	}
	if err != nil {
		return toucanrevision.Document{}, 0, errors.Wrap(ErrStoreDown, err.Error())
	}
	d, err := toucanrevision.ParseDocument(document, v.Body)
	if err != nil {
		return toucanrevision.Document{}, 0, err
	}
	return d, v.Revision, w.checkAhead(document, d.Revision)
}

func (w *Writer) checkAhead(document string, stored uint64) error {
	if held := w.inForce.RevisionOf(document); held > stored {
		return errors.Wrapf(ErrStoreBehind, "%s: revision %d stored, %d in force", document, stored, held)
	}
	return nil
}

// Apply writes the change r. Validation problems, ErrConflict, ErrBaseTooOld, ErrRefused and ErrStoreDown mean
// that this call changed nothing; ErrOutcomeUnknown means that the change may have taken effect.
func (w *Writer) Apply(ctx context.Context, r Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	at := w.now().UTC().Truncate(time.Millisecond)
	return w.swap(ctx, r.Document, r.ID, func(d toucanrevision.Document) (toucanrevision.Document, error) {
		return w.next(d, r, at)
	}, r.DryRun)
}

// next applies the change r to d and validates the result. It returns a ConflictError when another change has
// edited the same paths since r.Base.
func (w *Writer) next(d toucanrevision.Document, r Request, at time.Time) (toucanrevision.Document, error) {
	if !d.HistoryReaches(r.Base) {
		return d, errors.Wrapf(ErrBaseTooOld, "%s: revision %d read, %d now", d.Path, r.Base, d.Revision)
	}
	if paths := d.ChangedSince(r.Base, toucanrevision.EditPaths(r.Edits)); len(paths) > 0 {
		return d, &ConflictError{Paths: paths}
	}
	next, err := d.WithChange(toucanrevision.Change{ID: r.ID, At: at, Author: r.Author}, r.Edits)
	if err != nil {
		return d, err
	}
	return next, next.Validate(w.inForce.Tree())
}

// Settle determines whether the change with an id took effect. If it did not, Settle records the id as refused,
// so that an attempt that is still in flight can't take effect later, and returns ErrRefused. base is the
// revision that the change was based on. Other errors: ErrBaseTooOld, ErrStoreDown, ErrOutcomeUnknown.
func (w *Writer) Settle(ctx context.Context, document, id, author string, base uint64) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	record := toucanrevision.Change{ID: id, Author: author, At: w.now().UTC().Truncate(time.Millisecond)}
	result, err := w.swap(ctx, document, id, func(d toucanrevision.Document) (toucanrevision.Document, error) {
		if !d.HistoryReaches(base) {
			return d, errors.Wrapf(ErrBaseTooOld, "%s: revision %d read, %d now", d.Path, base, d.Revision)
		}
		return d.WithRefusal(record), nil
	}, false)
	if err != nil {
		return Result{}, err
	}
	c, _ := result.Document.FindChange(id)
	return recordedResult(result.Document, c)
}

// updateFunc returns the next revision of a document.
type updateFunc func(toucanrevision.Document) (toucanrevision.Document, error)

// swapState is the state of one swap across its retries.
type swapState struct {
	// pending is true while a compare-and-swap with an unknown outcome may still take effect. It can do so only
	// while the store's revision of the key is expected.
	pending  bool
	expected uint64
}

// swap reads the document, applies f and writes the result by compare-and-swap. It retries with backoff until
// the outcome is known or ctx ends.
func (w *Writer) swap(ctx context.Context, document, id string, f updateFunc, dryRun bool) (Result, error) {
	var s swapState
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstBackoff, maxBackoff
	for {
		result, err := w.trySwap(ctx, document, id, f, dryRun, &s)
		if !errors.Is(err, errRetry) {
			return result, err
		}
		if !toucanwait.Sleep(ctx, wait.NextBackOff()) {
			return Result{}, s.timeoutError(id, err)
		}
	}
}

// errRetry is returned by trySwap when a retry may succeed or may determine the outcome.
var errRetry = errors.New("try again")

// timeoutError returns the error for a swap that ran out of time: ErrOutcomeUnknown while a write is pending,
// otherwise ErrStoreDown.
func (s *swapState) timeoutError(id string, err error) error {
	if s.pending {
		return errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", id, err)
	}
	return errors.Wrapf(ErrStoreDown, "change %s: %v", id, err)
}

func (w *Writer) trySwap(ctx context.Context, document, id string, f updateFunc, dryRun bool, s *swapState) (Result, error) {
	d, version, err := w.read(ctx, document)
	if errors.Is(err, ErrStoreDown) {
		return Result{}, s.readError(err)
	}
	if err != nil {
		return Result{}, s.finalError(id, err)
	}
	if c, ok := d.FindChange(id); ok {
		return recordedResult(d, c)
	}
	if version != s.expected {
		s.pending = false
	}
	next, err := f(d)
	if errors.Is(err, toucanrevision.ErrUnchanged) {
		return Result{Document: d, Revision: d.Revision, Unchanged: true}, nil
	}
	if err != nil {
		return Result{}, s.finalError(id, err)
	}
	if dryRun {
		return Result{Document: next, Revision: next.Revision}, nil
	}
	return w.write(ctx, next, version, s)
}

// finalError returns err, or ErrOutcomeUnknown while an earlier write is pending and may still take effect.
func (s *swapState) finalError(id string, err error) error {
	if s.pending {
		return errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", id, err)
	}
	return err
}

// readError returns the error for a failed read. While a write is pending, the swap retries to determine its
// outcome; otherwise nothing was sent and the swap fails at once.
func (s *swapState) readError(err error) error {
	if s.pending {
		return errors.Wrap(errRetry, err.Error())
	}
	return err
}

func recordedResult(d toucanrevision.Document, c toucanrevision.Change) (Result, error) {
	if c.Refused {
		return Result{}, errors.Wrapf(ErrRefused, "change %s", c.ID)
	}
	return Result{Document: d, Revision: c.Revision}, nil
}

func (w *Writer) write(ctx context.Context, next toucanrevision.Document, version uint64, s *swapState) (Result, error) {
	body, err := next.Encode()
	if err != nil {
		return Result{}, err
	}
	_, err = w.store.CompareAndSwap(ctx, Key(next.Path), body, version)
	switch {
	case err == nil:
		return Result{Document: next, Revision: next.Revision}, nil
	case errors.Is(err, toucanstore.ErrTooLarge):
		return Result{}, err
	case errors.Is(err, toucanstore.ErrConflict), errors.Is(err, toucanstore.ErrUnavailable):
		return Result{}, errors.Wrap(errRetry, err.Error())
	default:
		s.pending, s.expected = true, version
		return Result{}, errors.Wrap(errRetry, err.Error())
	}
}
