package toucanrevision

import (
	"maps"
	"reflect"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"toucanport/toucandocument"
	"toucanport/toucansettings"
)

// Operation is the kind of an edit.
type Operation string

// Operations of an edit.
const (
	// OpMerge sets the keys of Body and removes the keys in Unset; other keys stay.
	OpMerge Operation = "merge"
	// OpReplace replaces the table by Body.
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

// EditPaths returns the paths of edits, sorted.
func EditPaths(edits []Edit) []string {
	out := make([]string, len(edits))
	for i, e := range edits {
		out[i] = e.Path.String()
	}
	sort.Strings(out)
	return out
}

// apply returns the table after the edit, or nil when the edit deletes it. It does not modify current.
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

// Diff returns the edits that turn from into to, sorted by path. Both documents must have the same path.
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

// commandKeys are the keys that dedicated commands set and that declarations usually leave out.
var commandKeys = []string{"keyHashes", "credentialHashes", "draining"}

// WithCommandKeys returns the declared document d at the revision of current. Keys that commands set, such as
// keyHashes, are copied from current where d has the same table without them.
func (d Document) WithCommandKeys(current Document) Document {
	next := d
	next.Revision = current.Revision
	next.tables = cloneGroups(d.tables)
	for group, names := range next.tables {
		for name, body := range names {
			names[name] = withCommandKeys(body, current.tables[group][name])
		}
	}
	return next
}

func withCommandKeys(body, current table) table {
	next := maps.Clone(body)
	for _, key := range commandKeys {
		v, kept := current[key]
		if _, declared := body[key]; kept && !declared {
			next[key] = v
		}
	}
	return next
}

// KeyChange is one key that an edit changes. Old and New are TOML values, empty when the key is absent.
type KeyChange struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Explain returns the keys that e would change in the document, sorted.
func (d Document) Explain(e Edit) ([]KeyChange, error) {
	current, present := d.tables[e.Path.Group][e.Path.Name]
	next, err := e.apply(current, present)
	if err != nil {
		return nil, err
	}
	var out []KeyChange
	for key := range unionKeys(current, next) {
		old, hadOld := current[key]
		value, hasNew := next[key]
		if hadOld && hasNew && reflect.DeepEqual(old, value) {
			continue
		}
		out = append(out, KeyChange{Key: key, Old: formatValue(old), New: formatValue(value)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func unionKeys(a, b table) table {
	out := maps.Clone(a)
	if out == nil {
		out = table{}
	}
	maps.Copy(out, b)
	return out
}

func formatValue(v any) string {
	if v == nil {
		return ""
	}
	text, err := toucansettings.EncodeTOML(table{"v": v})
	if err != nil {
		return "?"
	}
	return strings.TrimSpace(strings.TrimPrefix(string(text), "v = "))
}
