// Package submit sends changes for commands and tells truthfully what became of them.
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

// Client is what commands need of an entry.
type Client interface {
	Document(ctx context.Context, path string) (toucanoperate.Document, error)
	Change(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error)
	Fleet(ctx context.Context) (toucanoperate.Fleet, error)
}

// NewID returns a new change id.
func NewID() string { return "c-" + strings.ToLower(rand.Text()) }

// Change sends edits of one document that was read at base. An error says what became of the change.
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
	return accepted, explain(err, change)
}

// explain adds what the author can do next.
func explain(err error, change toucanoperate.Change) error {
	switch {
	case errors.Is(err, toucanchange.ErrOutcomeUnknown):
		return errors.WithMessagef(err, "change %s may or may not be in; ask again with "+
			"'toucanport settings history %s --change %s --base %d'", change.ID, change.Document, change.ID, change.Base)
	case errors.Is(err, toucanchange.ErrConflict):
		return errors.WithMessage(err, "conflict, nothing changed; read again and repeat")
	}
	return err
}

// Read returns a document as the store holds it, and refuses one that is only in force, since a change must
// build on what the store holds.
func Read(ctx context.Context, c Client, path string) (toucanrevision.Document, error) {
	d, err := c.Document(ctx, path)
	if err != nil {
		return toucanrevision.Document{}, err
	}
	if d.Source != toucanoperate.SourceStore {
		return toucanrevision.Document{}, toucanchange.ErrStoreDown
	}
	return Parse(d)
}

// Parse returns the document in a message.
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

// Told prints the outcome of an accepted change.
func Told(io *toucanio.Streams, asJSON bool, a toucanoperate.Accepted) error {
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
