package toucanchange_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanchange"
	"toucanport/toucandocument"
	"toucanport/toucanfakestore"
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// TestWriteCases runs each case of testdata/writes under a fake clock. Each line of a case is one step: a fault
// of the store, a wait, a read or a write.
func TestWriteCases(t *testing.T) {
	datadriven.RunTest(t, "testdata/writes", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		toucanbubble.Test(t, func(t *testing.T) {
			c := &writeCase{store: toucanfakestore.New(), bases: make(map[string]uint64)}
			seed(t, c.store)
			c.writer = toucanchange.New(c.store, toucanreplicate.NewHolder())
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				fmt.Fprintf(&out, "%s: %s\n", line, c.step(t, strings.Fields(line)))
			}
		})
		return out.String()
	})
}

type writeCase struct {
	store  *toucanfakestore.Memory
	writer *toucanchange.Writer
	// bases maps an author to the revision that the author last read.
	bases map[string]uint64
}

func (c *writeCase) step(t *testing.T, words []string) string {
	ctx := context.Background()
	switch words[0] {
	case "store":
		c.store.SetFaults(storeFaults[words[1]])
		return "ok"
	case "loseReplies":
		c.store.LoseReplies(len(words[1]))
		return "ok"
	case "wait":
		time.Sleep(time.Second)
		return "ok"
	case "read":
		d, err := c.writer.Read(ctx, document)
		c.bases[words[1]] = d.Revision
		return outcome(toucanchange.Result{Document: d, Revision: d.Revision}, err)
	case "set":
		return outcome(c.set(ctx, words))
	case "many":
		return outcome(c.writeMany(ctx, t))
	case "settle":
		return outcome(c.writer.Settle(ctx, document, words[2], "laval", c.bases[words[1]]))
	}
	t.Fatalf("unknown step %q", words[0])
	return ""
}

var storeFaults = map[string]toucanfakestore.Faults{
	"up":            {},
	"down":          {Down: true},
	"losesRequests": {LostRequestShare: 1},
	"losesReplies":  {LostReplyShare: 1},
}

// set writes a change of one workspace. The step is "set AUTHOR ID WORKSPACE TOKENS".
func (c *writeCase) set(ctx context.Context, words []string) (toucanchange.Result, error) {
	var tokens int
	if _, err := fmt.Sscan(words[4], &tokens); err != nil {
		return toucanchange.Result{}, err
	}
	return c.writer.Apply(ctx, toucanchange.Request{
		ID: words[2], Document: document, Base: c.bases[words[1]], Author: words[1],
		Edits: []toucanrevision.Edit{workspaceEdit(words[3], tokens)},
	})
}

// writeMany writes 140 changes, more than a document's history holds.
func (c *writeCase) writeMany(ctx context.Context, t *testing.T) (toucanchange.Result, error) {
	var last toucanchange.Result
	for i := range 140 {
		d, err := c.writer.Read(ctx, document)
		assert.NilError(t, err)
		last, err = c.writer.Apply(ctx, toucanchange.Request{
			ID: fmt.Sprintf("m%d", i), Document: document, Base: d.Revision, Author: "other",
			Edits: []toucanrevision.Edit{workspaceEdit("busy", i+1)},
		})
		assert.NilError(t, err)
	}
	return last, nil
}

var expectedErrors = []error{
	toucanchange.ErrConflict, toucanchange.ErrBaseTooOld, toucanchange.ErrRefused, toucanchange.ErrStoreDown,
	toucanchange.ErrOutcomeUnknown, toucandocument.ErrInvalid, toucanrevision.ErrNoTable,
}

func outcome(r toucanchange.Result, err error) string {
	for _, kind := range expectedErrors {
		if errors.Is(err, kind) {
			return strings.TrimSpace(kind.Error() + conflictPaths(err))
		}
	}
	if err != nil {
		return err.Error()
	}
	team, err := r.Document.Team()
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("revision %d, %s", r.Revision, workspaces(team))
}

func conflictPaths(err error) string {
	var conflict *toucanchange.ConflictError
	if !errors.As(err, &conflict) {
		return ""
	}
	return " " + strings.Join(conflict.Paths, " ")
}

func workspaces(team toucansettings.Team) string {
	var parts []string
	for _, w := range team.Workspaces {
		parts = append(parts, fmt.Sprintf("%s=%d", w.Name, w.TokensPerMinute))
	}
	return "[" + strings.Join(parts, " ") + "]"
}
