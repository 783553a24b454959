// Package declaration loads settings declarations (TOML files kept in version control) and computes the edits
// that make the stored settings match them.
package declaration

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucancmd/submit"
	"toucanport/toucandocument"
	"toucanport/toucanio"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// operatorsFile is the base name of the file that declares the operators' document. Every other file declares
// the team with the file's base name.
const operatorsFile = "operators"

// Plan lists the edits that make one stored document match its declaration.
type Plan struct {
	Document string `json:"document"`
	// Base is the stored revision that the plan was computed from.
	Base  uint64 `json:"base"`
	Steps []Step `json:"steps"`
}

// Step is the edit of one path of a plan.
type Step struct {
	Path      string                     `json:"path"`
	Operation toucanrevision.Operation   `json:"operation"`
	Keys      []toucanrevision.KeyChange `json:"keys,omitempty"`
	// New is true if the stored document has no table at the path.
	New bool `json:"new,omitempty"`
	// Edit is the edit that is sent to the entry.
	Edit toucanrevision.Edit `json:"-"`
}

// Edits returns the edits of all steps, in order.
func (p Plan) Edits() []toucanrevision.Edit {
	edits := make([]toucanrevision.Edit, len(p.Steps))
	for i, s := range p.Steps {
		edits[i] = s.Edit
	}
	return edits
}

// Load reads and validates every *.toml file in dir. The error contains the problems of all files.
func Load(dir string) ([]toucanrevision.Document, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(files) == 0 {
		return nil, errors.Errorf("no .toml files in %q", dir)
	}
	var documents []toucanrevision.Document
	var all toucandocument.Problems
	for _, file := range files {
		d, err := LoadFile(file)
		var problems toucandocument.Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
			continue
		}
		if err != nil {
			return nil, err
		}
		documents = append(documents, d)
	}
	return documents, all.Err()
}

// LoadFile reads and validates one file: operators.toml, or TEAM.toml.
func LoadFile(file string) (toucanrevision.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return toucanrevision.Document{}, errors.Wrap(err, "reading declarations")
	}
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	path := toucansettings.OperatorsPath
	if name != operatorsFile {
		path = toucansettings.TeamPath(name)
	}
	if _, err := toucansettings.ParseDocumentPath(path); err != nil {
		return toucanrevision.Document{}, errors.Wrapf(err, "%s: the base name of the file must be a team's name or \"operators\"", file)
	}
	return toucanrevision.ParseDeclaration(file, path, data)
}

// MakePlans fetches the stored version of each declared document and returns one plan per document.
func MakePlans(ctx context.Context, c submit.Client, declared []toucanrevision.Document) ([]Plan, error) {
	var plans []Plan
	for _, d := range declared {
		stored, err := submit.ReadStored(ctx, c, d.Path)
		if err != nil {
			return nil, err
		}
		plan, err := makePlan(stored, d.WithCommandKeys(stored))
		if err != nil {
			return nil, err
		}
		plans = append(plans, plan)
	}
	return plans, nil
}

func makePlan(stored, declared toucanrevision.Document) (Plan, error) {
	plan := Plan{Document: stored.Path, Base: stored.Revision, Steps: []Step{}}
	edits, err := toucanrevision.Diff(stored, declared)
	if err != nil {
		return plan, err
	}
	for _, e := range edits {
		keys, err := stored.Explain(e)
		if err != nil {
			return plan, err
		}
		step := Step{Path: e.Path.String(), Operation: e.Operation, Keys: keys, New: !stored.Has(e.Path), Edit: e}
		plan.Steps = append(plan.Steps, step)
	}
	return plan, nil
}

// Print writes plans as additions (+), changes (~) and removals (-).
func Print(io *toucanio.Streams, plans []Plan) {
	for _, p := range plans {
		if len(p.Steps) == 0 {
			io.Printf("%s: nothing to change (revision %d)\n", p.Document, p.Base)
			continue
		}
		io.Printf("%s: %d path(s) to change from revision %d\n", io.Bold(p.Document), len(p.Steps), p.Base)
		for _, s := range p.Steps {
			printStep(io, s)
		}
	}
}

func printStep(io *toucanio.Streams, s Step) {
	switch {
	case s.Operation == toucanrevision.OpDelete:
		io.Printf("  %s\n", io.Red("- "+s.Path))
		return
	case s.New:
		io.Printf("  %s\n", io.Green("+ "+s.Path))
	default:
		io.Printf("  ~ %s\n", s.Path)
	}
	for _, k := range s.Keys {
		io.Printf("      %s: %s -> %s\n", k.Key, orNone(k.Old), orNone(k.New))
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
