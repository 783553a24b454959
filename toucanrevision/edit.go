package toucanrevision

import (
	"maps"
	"reflect"
	"sort"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"toucanport/toucandocument"
	"toucanport/toucansettings"
)

// Operation says what an edit does at its path.
type Operation string

// The operations.
const (
	// OpMerge sets the keys of Body and removes those in Unset; the others stay.
	OpMerge Operation = "merge"
	// OpReplace puts Body in the place of the table.
	OpReplace Operation = "replace"
	// OpDelete removes the table.
	OpDelete Operation = "delete"
)

// Edit changes the table at one path.
type Edit struct {
	Path      toucansettings.Path
	Operation Operation
	// Body is TOML: the keys of one table.
	Body string
	// Unset names keys that OpMerge removes.
	Unset []string
}

// EditPaths returns the paths of edits in order.
func EditPaths(edits []Edit) []string {
	out := make([]string, len(edits))
	for i, e := range edits {
		out[i] = e.Path.String()
	}
	sort.Strings(out)
	return out
}

// apply returns the table after the edit, or nil when it is gone. current is not changed.
func (e Edit) apply(current table, present bool) (table, error) {
	if e.Operation == OpDelete {
		if !present {
			return nil, errors.Wrap(ErrNoTable, e.Path.String())
		}
		return nil, nil
	}
	body := table{}
	if err := toml.Unmarshal([]byte(e.Body), &body); err != nil {
		return nil, errors.Wrapf(toucandocument.ErrInvalid, "%s: %v", e.Path, err)
	}
	if e.Operation == OpReplace {
		return body, nil
	}
	if e.Operation != OpMerge {
		return nil, errors.Wrapf(toucandocument.ErrInvalid, "%s: operation %q; allowed: merge, replace, delete", e.Path, e.Operation)
	}
	return e.merge(current, body)
}

func (e Edit) merge(current, body table) (table, error) {
	next := maps.Clone(current)
	if next == nil {
		next = table{}
	}
	maps.Copy(next, body)
	for _, key := range e.Unset {
		if _, ok := next[key]; !ok {
			return nil, errors.Wrapf(ErrNoTable, "%s: key %q", e.Path, key)
		}
		delete(next, key)
	}
	return next, nil
}

// Diff returns the edits that turn from into to, in the order of their paths. Both are of the same path.
func Diff(from, to Document) ([]Edit, error) {
	var edits []Edit
	for group, names := range to.tables {
		for name, body := range names {
			path := toucansettings.Path{Document: to.Path, Group: group, Name: name}
			if old, ok := from.tables[group][name]; ok && reflect.DeepEqual(old, body) {
				continue
			}
			text, err := toucansettings.EncodeTOML(body)
			if err != nil {
				return nil, err
			}
			edits = append(edits, Edit{Path: path, Operation: OpReplace, Body: string(text)})
		}
	}
	for group, names := range from.tables {
		for name := range names {
			if _, ok := to.tables[group][name]; !ok {
				path := toucansettings.Path{Document: to.Path, Group: group, Name: name}
				edits = append(edits, Edit{Path: path, Operation: OpDelete})
			}
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Path.String() < edits[j].Path.String() })
	return edits, nil
}
