// Package toucanrevision implements the stored form of settings documents: tables by path, a revision and the
// history of the last changes.
package toucanrevision

import (
	"maps"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"toucanport/toucandocument"
	"toucanport/toucansettings"
)

const (
	// maxChanges bounds the number of changes in a document's history.
	maxChanges = 128
	// maxChangePaths bounds the paths in one record. A change of more paths is recorded as a change of the whole
	// document.
	maxChangePaths = 32
)

var (
	// ErrUnchanged is returned when edits leave a document as it is.
	ErrUnchanged = errors.New("nothing to change")
	// ErrNoTable is returned when an edit deletes a table or unsets a key that does not exist.
	ErrNoTable = errors.New("nothing at this path")
)

// Change is the record of one change in a document's history.
type Change struct {
	ID       string    `toml:"id" json:"id"`
	At       time.Time `toml:"at" json:"at"`
	Author   string    `toml:"author" json:"author"`
	Revision uint64    `toml:"revision" json:"revision"`
	// Paths are the paths that the change edited; the document's own path means the whole document.
	Paths []string `toml:"paths,omitempty" json:"paths,omitempty"`
	// Refused is true when the id was settled as not accepted; a later attempt with the same id is refused too.
	Refused bool `toml:"refused,omitempty" json:"refused,omitempty"`
}

// Document is one stored document: tables by group and name, its revision and its last changes. It is
// immutable; the methods whose names begin with With return modified copies.
type Document struct {
	// Path is /operators or /teams/{team}.
	Path string
	// Revision grows by one with each change; zero means never written.
	Revision uint64
	// Changes is the history: the last changes, at most 128, oldest first.
	Changes []Change
	// tables are shared between copies and never changed in place.
	tables groups
}

// table holds the keys and values at one path, as decoded from TOML.
type table = map[string]any

// groups maps a group and a name to a table.
type groups map[string]map[string]table

// NewDocument returns the empty document at path.
func NewDocument(path string) Document { return Document{Path: path} }

// ParseDocument parses a stored document. The error lists all problems.
func ParseDocument(path string, data []byte) (Document, error) {
	values := table{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return Document{}, errors.Wrapf(toucandocument.ErrInvalid, "%s: %v", path, err)
	}
	t, problems := toucandocument.New(path, values)
	d := Document{Path: path, Revision: uint64(t.Int("revision", 0, 0, int(^uint(0)>>1)))}
	for _, c := range t.List("changes") {
		d.Changes = append(d.Changes, readChange(c))
	}
	delete(values, "revision")
	delete(values, "changes")
	d.tables = readGroups(t, values)
	if err := problems.Err(); err != nil {
		return Document{}, err
	}
	return d, nil
}

func readChange(t *toucandocument.Table) Change {
	return Change{
		ID:       t.String("id", true),
		At:       t.Time("at"),
		Author:   t.String("author", true),
		Revision: uint64(t.Int("revision", 0, 0, int(^uint(0)>>1))),
		Paths:    t.Strings("paths"),
		Refused:  t.Bool("refused"),
	}
}

func readGroups(t *toucandocument.Table, values table) groups {
	g := make(groups, len(values))
	for group, v := range values {
		names, ok := v.(table)
		if !ok {
			t.AddProblem(group, v, "a group of tables")
			continue
		}
		g[group] = make(map[string]table, len(names))
		for name, v := range names {
			body, ok := v.(table)
			if !ok {
				t.AddProblem(group+"."+name, v, "a table")
				continue
			}
			g[group][name] = body
		}
	}
	return g
}

// ParseDeclaration parses and validates a file that declares the document at path. Such a file has the tables,
// but no revision and no history.
func ParseDeclaration(file, path string, data []byte) (Document, error) {
	t, problems := toucandocument.Parse(file, data)
	if err := problems.Err(); err != nil {
		return Document{}, err
	}
	values := table{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return Document{}, errors.Wrap(err, file)
	}
	d := Document{Path: path, tables: readGroups(t, values)}
	if err := problems.Err(); err != nil {
		return Document{}, err
	}
	return d, d.validate(file, nil)
}

// Encode returns the document in the form that ParseDocument reads.
func (d Document) Encode() ([]byte, error) {
	head, err := toucansettings.EncodeTOML(struct {
		Revision uint64   `toml:"revision"`
		Changes  []Change `toml:"changes,omitempty"`
	}{d.Revision, d.Changes})
	if err != nil {
		return nil, err
	}
	body, err := toucansettings.EncodeTOML(d.tables)
	return append(append(head, '\n'), body...), err
}

// values returns the tables as one TOML table.
func (d Document) values() table {
	out := make(table, len(d.tables))
	for group, names := range d.tables {
		g := make(table, len(names))
		for name, body := range names {
			g[name] = body
		}
		out[group] = g
	}
	return out
}

// Team decodes a team's document.
func (d Document) Team() (toucansettings.Team, error) {
	t, problems := toucandocument.New(d.Path, d.values())
	team := toucansettings.ReadTeam(t, toucansettings.TeamOf(d.Path))
	t.ReportUnknownKeys()
	team.Revision = d.Revision
	return team, problems.Err()
}

// Operators decodes the operators' document.
func (d Document) Operators() (toucansettings.Operators, error) {
	t, problems := toucandocument.New(d.Path, d.values())
	o := toucansettings.ReadOperators(t)
	t.ReportUnknownKeys()
	o.Revision = d.Revision
	return o, problems.Err()
}

// Validate checks the whole document on its own and against tree: that the operators declared the team, that the
// team is within the fleet's bounds, and that its keys and addresses belong to no other team.
func (d Document) Validate(tree *toucansettings.Tree) error { return d.validate(d.Path, tree) }

func (d Document) validate(file string, tree *toucansettings.Tree) error {
	t, problems := toucandocument.New(file, d.values())
	if toucansettings.TeamOf(d.Path) == "" {
		toucansettings.ReadOperators(t)
		t.ReportUnknownKeys()
		return problems.Err()
	}
	team := toucansettings.ReadTeam(t, toucansettings.TeamOf(d.Path))
	t.ReportUnknownKeys()
	if tree != nil {
		tree.CheckAgainstTree(t, team)
	}
	return problems.Err()
}

// Entry is one table of a document, encoded, with its path.
type Entry struct {
	Path toucansettings.Path
	// Body is the table in TOML.
	Body string
}

// Entries returns all tables in the order of their paths.
func (d Document) Entries() ([]Entry, error) {
	var out []Entry
	for group, names := range d.tables {
		for name, body := range names {
			text, err := toucansettings.EncodeTOML(body)
			if err != nil {
				return nil, err
			}
			p := toucansettings.Path{Document: d.Path, Group: group, Name: name}
			out = append(out, Entry{Path: p, Body: string(text)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path.String() < out[j].Path.String() })
	return out, nil
}

// FindChange returns the change with the given id, or false when it is not in the history.
func (d Document) FindChange(id string) (Change, bool) {
	i := slices.IndexFunc(d.Changes, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return d.Changes[i], true
}

// HistoryReaches reports whether the history holds every change after revision.
func (d Document) HistoryReaches(revision uint64) bool {
	if d.Revision <= revision {
		return true
	}
	return len(d.Changes) > 0 && d.Changes[0].Revision <= revision+1
}

// ChangedSince returns the elements of paths that were edited after revision.
func (d Document) ChangedSince(revision uint64, paths []string) []string {
	var touched []string
	for _, c := range d.Changes {
		if c.Revision <= revision {
			continue
		}
		for _, p := range paths {
			if (c.touches(d.Path) || c.touches(p)) && !slices.Contains(touched, p) {
				touched = append(touched, p)
			}
		}
	}
	return touched
}

func (c Change) touches(path string) bool { return slices.Contains(c.Paths, path) }

// WithChange applies edits and returns the document at the next revision, with c added to its history. It
// returns ErrUnchanged when the edits change nothing. The result is not validated.
func (d Document) WithChange(c Change, edits []Edit) (Document, error) {
	next := d
	next.tables = cloneGroups(d.tables)
	for _, e := range edits {
		if err := next.apply(e); err != nil {
			return Document{}, err
		}
	}
	if reflect.DeepEqual(next.tables, d.tables) {
		return d, ErrUnchanged
	}
	c.Paths = EditPaths(edits)
	if len(c.Paths) > maxChangePaths {
		c.Paths = []string{d.Path}
	}
	return next.appendChange(c), nil
}

// WithRefusal returns the document at the next revision with c recorded as refused. No table is changed.
func (d Document) WithRefusal(c Change) Document {
	c.Refused = true
	c.Paths = nil
	return d.appendChange(c)
}

// appendChange increments the revision, adds c to the history and drops the oldest changes above maxChanges.
func (d Document) appendChange(c Change) Document {
	d.Revision++
	c.Revision = d.Revision
	d.Changes = append(slices.Clone(d.Changes), c)
	if excess := len(d.Changes) - maxChanges; excess > 0 {
		d.Changes = d.Changes[excess:]
	}
	return d
}

// cloneGroups copies the maps of groups and names; the tables themselves stay shared.
func cloneGroups(g groups) groups {
	out := make(groups, len(g))
	for group, names := range g {
		out[group] = maps.Clone(names)
	}
	return out
}

func (d *Document) apply(e Edit) error {
	names := d.tables[e.Path.Group]
	current, present := names[e.Path.Name]
	next, err := e.apply(current, present)
	if err != nil {
		return err
	}
	if next == nil {
		delete(names, e.Path.Name)
		if len(names) == 0 {
			delete(d.tables, e.Path.Group)
		}
		return nil
	}
	if names == nil {
		names = make(map[string]table)
		d.tables[e.Path.Group] = names
	}
	names[e.Path.Name] = next
	return nil
}

// FromEntries returns a document made of the tables in entries, without history.
func FromEntries(path string, revision uint64, entries []Entry) (Document, error) {
	d := Document{Path: path, Revision: revision, tables: make(groups)}
	for _, e := range entries {
		if err := d.apply(Edit{Path: e.Path, Operation: OpReplace, Body: e.Body}); err != nil {
			return Document{}, err
		}
	}
	return d, nil
}

// Has reports whether there is a table at path.
func (d Document) Has(path toucansettings.Path) bool {
	_, ok := d.tables[path.Group][path.Name]
	return ok
}
