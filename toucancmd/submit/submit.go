// Package submit sends settings changes to an entry and reports their outcome: accepted, conflict or unknown.
package submit

import (
	"context"
	"crypto/rand"
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucancmd/render"
	"toucanport/toucanio"
	"toucanport/toucanoperate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// Client is the part of toucanclient.Client that submitting a change uses.
type Client interface {
	Document(ctx context.Context, path string) (toucanoperate.Document, error)
	Change(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error)
	Fleet(ctx context.Context) (toucanoperate.Fleet, error)
}

// NewID returns a random change id.
func NewID() string { return "c-" + strings.ToLower(rand.Text()) }

// Change submits edits of one document, based on revision base. After a conflict or an unknown outcome, the message of
// the error includes what the author can do next.
func Change(ctx context.Context, c Client, id, document string, base uint64, edits []toucanrevision.Edit) (toucanoperate.Accepted, error) {
	change := toucanoperate.Change{ID: id, Document: document, Base: base}
	for _, e := range edits {
		change.Edits = append(change.Edits, toucanoperate.Edit{
			Path:      e.Path.String(),
			Operation: e.Operation,
			Body:      e.Body,
			Unset:     e.Unset,
		})
	}
	accepted, err := c.Change(ctx, change)
	return accepted, withNextStep(err, change)
}

// withNextStep adds the author's next step to err.
func withNextStep(err error, change toucanoperate.Change) error {
	switch {
	case errors.Is(err, toucanchange.ErrOutcomeUnknown):
		return errors.WithMessagef(err, "change %s may or may not have been accepted; check with "+
			"'toucanport settings history %s --change %s --base %d'", change.ID, change.Document, change.ID, change.Base)
	case errors.Is(err, toucanchange.ErrConflict):
		return errors.WithMessage(err, "conflict, nothing changed; read the document again and repeat the change")
	}
	return err
}

// ReadStored returns the stored document. It fails with ErrStoreDown if the entry can only return the revision in
// force, since a change must be based on the stored revision.
func ReadStored(ctx context.Context, c Client, path string) (toucanrevision.Document, error) {
	d, err := c.Document(ctx, path)
	if err != nil {
		return toucanrevision.Document{}, err
	}
	if d.Source != toucanoperate.SourceStore {
		return toucanrevision.Document{}, toucanchange.ErrStoreDown
	}
	return Parse(d)
}

// Parse converts a document from its wire format.
func Parse(d toucanoperate.Document) (toucanrevision.Document, error) {
	var entries []toucanrevision.Entry
	for _, t := range d.Tables {
		path, err := toucansettings.ParsePath(t.Path)
		if err != nil {
			return toucanrevision.Document{}, err
		}
		entries = append(entries, toucanrevision.Entry{Path: path, Body: t.Body})
	}
	return toucanrevision.FromEntries(d.Path, d.Revision, entries)
}

// PrintAccepted prints an accepted change.
func PrintAccepted(io *toucanio.Streams, asJSON bool, a toucanoperate.Accepted) error {
	if asJSON {
		return render.JSON(io, a)
	}
	if a.Unchanged {
		io.Printf("%s already says so (revision %d)\n", a.Document, a.Revision)
		return nil
	}
	io.Printf("accepted: %s at revision %d, change %s\n", a.Document, a.Revision, a.ID)
	return nil
}
