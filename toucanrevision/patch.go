package toucanrevision

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucansettings"
)

// ErrPatch is returned when a patch can't be applied to a document; the whole document is then needed.
var ErrPatch = errors.New("patch does not fit")

// Patch turns a document at revision From into the one at revision To. It carries the tables that were edited
// in between.
type Patch struct {
	From, To uint64
	// Changes are the history records after From, oldest first.
	Changes []Change
	Edits   []PatchEdit
	// Sum is the digest of the encoded document at To.
	Sum uint64
}

// PatchEdit sets the table at Path to Body, in TOML, or deletes it when Gone is true.
type PatchEdit struct {
	Path string
	Body string
	Gone bool
}

// Sum returns the xxHash64 digest of the encoded document.
func (d Document) Sum() (uint64, error) {
	data, err := d.Encode()
	return xxhash.Sum64(data), err
}

// PatchFrom returns the patch from an earlier revision to d. It returns false when the history does not reach
// back to that revision or has a change of the whole document since.
func (d Document) PatchFrom(revision uint64) (Patch, bool, error) {
	if revision == 0 || revision >= d.Revision || !d.HistoryReaches(revision) {
		return Patch{}, false, nil
	}
	p := Patch{From: revision, To: d.Revision}
	var paths []string
	for _, c := range d.Changes {
		if c.Revision <= revision {
			continue
		}
		if c.touches(d.Path) {
			return Patch{}, false, nil
		}
		p.Changes = append(p.Changes, c)
		paths = append(paths, c.Paths...)
	}
	slices.Sort(paths)
	for _, path := range slices.Compact(paths) {
		edit, err := d.patchEdit(path)
		if err != nil {
			return Patch{}, false, err
		}
		p.Edits = append(p.Edits, edit)
	}
	var err error
	p.Sum, err = d.Sum()
	return p, err == nil, err
}

func (d Document) patchEdit(path string) (PatchEdit, error) {
	parsed, err := toucansettings.ParsePath(path)
	if err != nil {
		return PatchEdit{}, err
	}
	body, ok := d.tables[parsed.Group][parsed.Name]
	if !ok {
		return PatchEdit{Path: path, Gone: true}, nil
	}
	text, err := toucansettings.EncodeTOML(body)
	return PatchEdit{Path: path, Body: string(text)}, err
}

// WithPatch applies p. The error matches ErrPatch when d is not at p.From, when an edit has a path outside the
// document, or when the digest of the result differs from p.Sum.
func (d Document) WithPatch(p Patch) (Document, error) {
	if d.Revision != p.From {
		return Document{}, errors.Wrapf(ErrPatch, "%s at revision %d, patch from %d", d.Path, d.Revision, p.From)
	}
	next := d
	next.tables = cloneGroups(d.tables)
	for _, e := range p.Edits {
		if err := next.applyPatchEdit(e); err != nil {
			return Document{}, err
		}
	}
	next.Revision = p.To
	next.Changes = slices.Concat(d.Changes, p.Changes)
	if excess := len(next.Changes) - maxChanges; excess > 0 {
		next.Changes = next.Changes[excess:]
	}
	sum, err := next.Sum()
	if err == nil && sum != p.Sum {
		err = errors.Wrapf(ErrPatch, "%s: digest differs at revision %d", d.Path, p.To)
	}
	return next, err
}

func (d *Document) applyPatchEdit(e PatchEdit) error {
	path, err := toucansettings.ParsePath(e.Path)
	if err != nil || !strings.HasPrefix(e.Path, d.Path) {
		return errors.Wrapf(ErrPatch, "path %q", e.Path)
	}
	if !e.Gone {
		return d.apply(Edit{Path: path, Operation: OpReplace, Body: e.Body})
	}
	if _, ok := d.tables[path.Group][path.Name]; !ok {
		return nil
	}
	return d.apply(Edit{Path: path, Operation: OpDelete})
}
