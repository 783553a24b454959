// Package toucanchange writes settings: each change is one compare-and-swap of one document, carries an id,
// and is settled truthfully when a reply of the store is lost.
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

// KeyPrefix is where the store holds settings documents.
const KeyPrefix = "settings"

// Key returns the store's key of a document.
func Key(document string) string { return KeyPrefix + document }

// DocumentOf is the inverse of Key.
func DocumentOf(key string) string { return strings.TrimPrefix(key, KeyPrefix) }

var (
	// ErrConflict is returned when another change touched the same paths first. Nothing was changed.
	ErrConflict = errors.New("conflict with another change")
	// ErrBaseTooOld is returned when the document has moved on by more changes than its history holds.
	// This call changed nothing; whether an earlier one with the same id did can't be told any more.
	ErrBaseTooOld = errors.New("base revision too old")
	// ErrRefused is returned for an id that was settled as not accepted.
	ErrRefused = errors.New("change was settled as not accepted")
	// ErrStoreDown is returned when the store did not answer. Nothing was changed by this call.
	ErrStoreDown = errors.New("store not available; nothing changed, what is in force stays in force")
	// ErrOutcomeUnknown is returned when the store may have taken the change; ask again with the same id.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrStoreBehind is returned when the store holds a lower revision than what is in force.
	ErrStoreBehind = errors.New("store is behind what is in force")
)

// ConflictError names the paths that another change touched. It matches ErrConflict.
type ConflictError struct{ Paths []string }

func (e *ConflictError) Error() string {
	return "changed by someone else since it was read: " + strings.Join(e.Paths, ", ")
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Request is one change of one document.
type Request struct {
	// ID makes the change idempotent; never empty.
	ID       string
	Document string
	// Base is the document's revision that the author saw.
	Base   uint64
	Author string
	Edits  []toucanrevision.Edit
	// DryRun validates without writing.
	DryRun bool
}

// Result is what became of a request that was not refused.
type Result struct {
	// Document is what the store holds with the change in it.
	Document toucanrevision.Document
	// Revision is the one that brought the change in.
	Revision uint64
	// Unchanged is true when the document already said so.
	Unchanged bool
}

// Store is the part of the platform's service that a Writer needs.
type Store interface {
	Get(ctx context.Context, key string) (toucanstore.Value, error)
	CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...toucanstore.SwapOption) (uint64, error)
}

// InForce tells what this instance has in force.
type InForce interface {
	Tree() *toucansettings.Tree
	// RevisionOf returns a document's revision, zero when it is not known.
	RevisionOf(document string) uint64
}

// Writer writes changes. It holds no state between calls.
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

// Option changes a Writer.
type Option func(*Writer)

// WithClock replaces the clock that dates changes.
func WithClock(now func() time.Time) Option { return func(w *Writer) { w.now = now } }

// WithTimeout bounds one call of Apply or Settle.
func WithTimeout(d time.Duration) Option { return func(w *Writer) { w.timeout = d } }

// New returns a writer to store that checks changes against what is in force.
func New(store Store, inForce InForce, opts ...Option) *Writer {
	w := &Writer{store: store, inForce: inForce, now: time.Now, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Read returns the document that the store holds; an absent one is empty. The error matches ErrStoreDown.
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

// Apply makes the change of r. Errors: problems of the document, ErrConflict, ErrBaseTooOld, ErrRefused and
// ErrStoreDown mean that nothing was changed; ErrOutcomeUnknown that it may have been.
func (w *Writer) Apply(ctx context.Context, r Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	at := w.now().UTC().Truncate(time.Millisecond)
	return w.swap(ctx, r.Document, r.ID, func(d toucanrevision.Document) (toucanrevision.Document, error) {
		return w.next(d, r, at)
	}, r.DryRun)
}

// next returns d with the change of r, validated.
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

// Settle says for certain whether the change id is in the document. If it is not, the id is recorded as
// refused, so that no attempt that is still on its way can bring it in. base is the revision the change
// was made on. Errors: ErrRefused, ErrBaseTooOld, ErrStoreDown, ErrOutcomeUnknown.
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
	return found(result.Document, c)
}

type advance func(toucanrevision.Document) (toucanrevision.Document, error)

// attempt is the state of one swap over its tries.
type attempt struct {
	// pending is true while a swap may still take effect, at the store revision expected.
	pending  bool
	expected uint64
}

// swap reads the document, advances it and writes it back, until it is settled or ctx ends.
func (w *Writer) swap(ctx context.Context, document, id string, f advance, dryRun bool) (Result, error) {
	var a attempt
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstBackoff, maxBackoff
	for {
		result, err := w.try(ctx, document, id, f, dryRun, &a)
		if !errors.Is(err, errAgain) {
			return result, err
		}
		if !toucanwait.Sleep(ctx, wait.NextBackOff()) {
			return Result{}, a.givenUp(id, err)
		}
	}
}

// errAgain is returned by try when another try may settle the matter.
var errAgain = errors.New("try again")

// givenUp returns the truthful answer when there is no time left.
func (a *attempt) givenUp(id string, err error) error {
	if a.pending {
		return errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", id, err)
	}
	return errors.Wrapf(ErrStoreDown, "change %s: %v", id, err)
}

func (w *Writer) try(ctx context.Context, document, id string, f advance, dryRun bool, a *attempt) (Result, error) {
	d, version, err := w.read(ctx, document)
	if errors.Is(err, ErrStoreDown) {
		return Result{}, a.readFailed(err)
	}
	if err != nil {
		return Result{}, a.uncertain(id, err)
	}
	if c, ok := d.FindChange(id); ok {
		return found(d, c)
	}
	if version != a.expected {
		a.pending = false
	}
	next, err := f(d)
	if errors.Is(err, toucanrevision.ErrUnchanged) {
		return Result{Document: d, Revision: d.Revision, Unchanged: true}, nil
	}
	if err != nil {
		return Result{}, a.uncertain(id, err)
	}
	if dryRun {
		return Result{Document: next, Revision: next.Revision}, nil
	}
	return w.write(ctx, next, version, a)
}

// uncertain keeps a refusal from being told as final while a swap may still take effect.
func (a *attempt) uncertain(id string, err error) error {
	if a.pending {
		return errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", id, err)
	}
	return err
}

// readFailed refuses at once when nothing was sent yet, and tries again when an outcome is to be settled.
func (a *attempt) readFailed(err error) error {
	if a.pending {
		return errors.Wrap(errAgain, err.Error())
	}
	return err
}

func found(d toucanrevision.Document, c toucanrevision.Change) (Result, error) {
	if c.Refused {
		return Result{}, errors.Wrapf(ErrRefused, "change %s", c.ID)
	}
	return Result{Document: d, Revision: c.Revision}, nil
}

func (w *Writer) write(ctx context.Context, next toucanrevision.Document, version uint64, a *attempt) (Result, error) {
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
		return Result{}, errors.Wrap(errAgain, err.Error())
	default:
		a.pending, a.expected = true, version
		return Result{}, errors.Wrap(errAgain, err.Error())
	}
}
