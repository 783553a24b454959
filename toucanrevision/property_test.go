package toucanrevision_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

const document = "/teams/laval"

func path(name string) toucansettings.Path {
	return toucansettings.Path{Document: document, Group: toucansettings.GroupWorkspaces, Name: name}
}

func genEdits(t *rapid.T, d toucanrevision.Document) []toucanrevision.Edit {
	var edits []toucanrevision.Edit
	for range rapid.IntRange(1, 40).Draw(t, "edits") {
		p := path(fmt.Sprintf("w%d", rapid.IntRange(0, 60).Draw(t, "name")))
		e := toucanrevision.Edit{Path: p, Operation: toucanrevision.OpMerge}
		if d.Has(p) && rapid.Bool().Draw(t, "delete") {
			e.Operation = toucanrevision.OpDelete
		}
		e.Body = fmt.Sprintf("tokensPerMinute = %d\n", rapid.IntRange(0, 9).Draw(t, "tokens"))
		if !touches(edits, p) {
			edits = append(edits, e)
		}
	}
	return edits
}

func touches(edits []toucanrevision.Edit, p toucansettings.Path) bool {
	for _, e := range edits {
		if e.Path == p {
			return true
		}
	}
	return false
}

// TestPatchYieldsTargetDocument makes random changes and checks that a patch turns every earlier revision into
// the last one, byte for byte.
func TestPatchYieldsTargetDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := toucanrevision.NewDocument(document)
		earlier := []toucanrevision.Document{}
		for i := range rapid.IntRange(2, 12).Draw(t, "changes") {
			at := time.UnixMilli(int64(i) * 1500).UTC()
			next, err := d.WithChange(toucanrevision.Change{ID: fmt.Sprint(i), At: at, Author: "a"}, genEdits(t, d))
			if err == nil {
				earlier = append(earlier, d)
				d = next
			}
		}
		want, err := d.Encode()
		assert.NilError(t, err)
		for _, old := range earlier {
			patch, ok, err := d.PatchFrom(old.Revision)
			assert.NilError(t, err)
			if !ok {
				continue
			}
			got, err := old.WithPatch(patch)
			assert.NilError(t, err)
			encoded, err := got.Encode()
			assert.NilError(t, err)
			assert.Equal(t, string(encoded), string(want))
		}
	})
}

// TestDiffYieldsDeclaredDocument checks on random documents that applying the edits of Diff leaves no difference.
func TestDiffYieldsDeclaredDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		empty := toucanrevision.NewDocument(document)
		from, err := empty.WithChange(toucanrevision.Change{ID: "1"}, genEdits(t, empty))
		assert.NilError(t, err)
		to, err := empty.WithChange(toucanrevision.Change{ID: "2"}, genEdits(t, empty))
		assert.NilError(t, err)
		edits, err := toucanrevision.Diff(from, to)
		assert.NilError(t, err)
		got, err := from.WithChange(toucanrevision.Change{ID: "3"}, edits)
		if len(edits) == 0 {
			assert.ErrorIs(t, err, toucanrevision.ErrUnchanged)
			return
		}
		assert.NilError(t, err)
		left, err := toucanrevision.Diff(got, to)
		assert.NilError(t, err)
		assert.Equal(t, len(left), 0)
	})
}

func TestEncodedDocumentRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		empty := toucanrevision.NewDocument(document)
		at := time.UnixMilli(rapid.Int64Range(0, 1<<41).Draw(t, "at")).UTC()
		d, err := empty.WithChange(toucanrevision.Change{ID: "1", At: at, Author: "a"}, genEdits(t, empty))
		assert.NilError(t, err)
		data, err := d.Encode()
		assert.NilError(t, err)
		back, err := toucanrevision.ParseDocument(document, data)
		assert.NilError(t, err)
		again, err := back.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(data))
	})
}
