package toucanchange_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucanport/toucanbubble"
	"toucanport/toucanchange"
	"toucanport/toucanfakestore"
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

const document = "/teams/laval"

const seedTOML = `
[services.redacteur]
kind = "generation"
model = "m"
[endpoints.e1]
service = "redacteur"
address = "10.0.0.1:7000"
failureDomain = "qc-east-a"
`

// seed writes a valid document to store and returns a writer to it.
func seed(t testing.TB, store *toucanfakestore.Memory) *toucanchange.Writer {
	w := toucanchange.New(store, toucanreplicate.NewHolder())
	d, err := toucanrevision.ParseDeclaration("seed", document, []byte(seedTOML))
	assert.NilError(t, err)
	edits, err := toucanrevision.Diff(toucanrevision.NewDocument(document), d)
	assert.NilError(t, err)
	_, err = w.Apply(context.Background(), toucanchange.Request{ID: "seed", Document: document, Edits: edits, Author: "laval"})
	assert.NilError(t, err)
	return w
}

func workspaceEdit(name string, tokens int) toucanrevision.Edit {
	return toucanrevision.Edit{
		Path:      toucansettings.Path{Document: document, Group: toucansettings.GroupWorkspaces, Name: name},
		Operation: toucanrevision.OpReplace,
		Body:      fmt.Sprintf("services = [\"redacteur\"]\ntokensPerMinute = %d\n", tokens),
	}
}

// response is the result that a writer received for one change.
type response struct {
	id     string
	name   string
	tokens int
	// unchanged is true when the document had the requested content already.
	unchanged bool
	err       error
}

// runWriters runs concurrent writers that change a few workspaces at random, and returns their results.
func runWriters(t testing.TB, store *toucanfakestore.Memory, seedValue uint64, writers, changes int) []response {
	var mu sync.Mutex
	var out []response
	var wg sync.WaitGroup
	for i := range writers {
		w := toucanchange.New(store, toucanreplicate.NewHolder(), toucanchange.WithTimeout(3*time.Second))
		r := rand.New(rand.NewPCG(seedValue, uint64(i)))
		wg.Go(func() {
			for n := range changes {
				c := response{id: fmt.Sprintf("c-%d-%d", i, n), name: fmt.Sprintf("w%d", r.IntN(4)), tokens: 1 + r.IntN(1000)}
				time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
				c.unchanged, c.err = change(w, c)
				mu.Lock()
				out = append(out, c)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

func change(w *toucanchange.Writer, c response) (unchanged bool, err error) {
	ctx := context.Background()
	d, err := w.Read(ctx, document)
	if err != nil {
		return false, err
	}
	r, err := w.Apply(ctx, toucanchange.Request{
		ID: c.id, Document: document, Base: d.Revision, Author: "laval",
		Edits: []toucanrevision.Edit{workspaceEdit(c.name, c.tokens)},
	})
	return r.Unchanged, err
}

// injectFaults switches outages, delays and lost messages of the store on and off at random until ctx ends.
func injectFaults(ctx context.Context, store *toucanfakestore.Memory, r *rand.Rand) {
	for ctx.Err() == nil {
		store.SetFaults(toucanfakestore.Faults{
			Down:             r.IntN(5) == 0,
			LostReplyShare:   0.3 * r.Float64(),
			LostRequestShare: 0.2 * r.Float64(),
			Delay:            time.Duration(r.IntN(50)) * time.Millisecond,
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.IntN(600)) * time.Millisecond):
		}
	}
	store.SetFaults(toucanfakestore.Faults{})
}

// checkAgainstModel replays the recorded changes on a plain map. It compares the result with the stored document,
// and the records with the result that every writer received.
func checkAgainstModel(t testing.TB, d toucanrevision.Document, all []response) {
	byID := make(map[string]response, len(all))
	for _, c := range all {
		byID[c.id] = c
	}
	model := make(map[string]int)
	recorded := make(map[string]bool)
	for i, c := range d.Changes {
		assert.Equal(t, c.Revision, uint64(i+1))
		assert.Assert(t, !recorded[c.ID], "change %s twice", c.ID)
		recorded[c.ID] = true
		if w, ok := byID[c.ID]; ok {
			model[w.name] = w.tokens
		}
	}
	team, err := d.Team()
	assert.NilError(t, err)
	held := make(map[string]int)
	for _, w := range team.Workspaces {
		held[w.Name] = w.TokensPerMinute
	}
	assert.Assert(t, maps.Equal(held, model), "held %v, model %v", held, model)
	for _, c := range all {
		checkResponse(t, c, recorded[c.id])
	}
}

func checkResponse(t testing.TB, c response, recorded bool) {
	switch {
	case c.err == nil:
		assert.Assert(t, recorded != c.unchanged, "%s was reported as accepted; unchanged %v, recorded %v", c.id, c.unchanged, recorded)
	case errors.Is(c.err, toucanchange.ErrOutcomeUnknown):
		return
	default:
		assert.Assert(t, !recorded, "%s was reported as %v but is in the document", c.id, c.err)
	}
}

func TestRacingWritersAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seedValue := rapid.Uint64().Draw(rt, "seed")
		toucanbubble.Test(t, func(t *testing.T) {
			store := toucanfakestore.New(toucanfakestore.WithSeed(seedValue))
			seed(t, store)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { injectFaults(ctx, store, rand.New(rand.NewPCG(seedValue, 99))) })
			all := runWriters(t, store, seedValue, 5, 8)
			cancel()
			wg.Wait()
			d, err := seedReader(store).Read(context.Background(), document)
			assert.NilError(t, err)
			checkAgainstModel(t, d, all)
		})
	})
}

func seedReader(store *toucanfakestore.Memory) *toucanchange.Writer {
	return toucanchange.New(store, toucanreplicate.NewHolder())
}
