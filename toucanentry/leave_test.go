package toucanentry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanapi"
	"toucanport/toucansettings"
)

// noticeBound is the time within which a leaving endpoint must get no more work.
const noticeBound = 3 * time.Second

func unchanged(*toucansettings.Team) {}

// TestLeavingEndpointsGetNoNewWork marks an endpoint as leaving in each way while a plan runs there. New work
// goes to the other endpoint, and the plan finishes.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	for _, policy := range []toucansettings.Policy{toucansettings.PolicyNaive, toucansettings.PolicyToucan} {
		for name, leave := range map[string]func(*fleet, int){
			"own signal":      func(f *fleet, i int) { f.sidecars[i].Leave() },
			"platform's list": func(f *fleet, i int) { f.members.leave(fleetSidecar(i)) },
			"drained": func(f *fleet, i int) {
				f.tree.Store(fleetTree(func(team *toucansettings.Team) {
					team.Services[0].Policy = policy
					team.Endpoints[i].Draining = true
				}))
			},
			"removed": func(f *fleet, i int) {
				f.tree.Store(fleetTree(func(team *toucansettings.Team) {
					team.Services[0].Policy = policy
					team.Endpoints = append(team.Endpoints[:i:i], team.Endpoints[i+1:]...)
				}))
			},
		} {
			t.Run(string(policy)+" "+name, func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					f := startFleet(t, func(team *toucansettings.Team) { team.Services[0].Policy = policy })
					defer f.stop()
					plan := f.ask(t, 0, 1000)
					defer plan.Body.Close()
					id := plan.Header.Get("Toucan-Generation-Id")
					left := f.sidecarOf(t, id)
					leave(f, left)
					time.Sleep(noticeBound)
					for i := range 10 {
						resp := f.ask(t, i%fleetSize, 5)
						newID := resp.Header.Get("Toucan-Generation-Id")
						checkStream(t, resp.Body, newID, 0, 5)
						resp.Body.Close()
						assert.Assert(t, f.sidecarOf(t, newID) != left)
					}
					checkStream(t, plan.Body, id, 0, 1000)
				})
			})
		}
	}
}

// lastError reads a stream to its end and returns the number of tokens and the error event.
func lastError(t *testing.T, body io.Reader) (tokens int, e toucanapi.Error) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "id: ") {
			tokens++
		}
		if line == "event: error" {
			failed = true
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && failed {
			var b toucanapi.ErrorBody
			assert.NilError(t, json.Unmarshal([]byte(data), &b))
			return tokens, b.Error
		}
	}
	t.Fatalf("the stream ended without an error event after %d tokens", tokens)
	return tokens, e
}

// TestReclaimedEndpoint gives a sidecar ten seconds. The plan that cannot finish ends truthfully before they are over,
// and what had no token yet is answered whole by the other endpoint.
func TestReclaimedEndpoint(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := startFleet(t, unchanged)
		defer f.stop()
		plan := f.ask(t, 0, 20000)
		defer plan.Body.Close()
		id := plan.Header.Get("Toucan-Generation-Id")
		left := f.sidecarOf(t, id)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				resp := f.ask(t, 0, 50)
				defer resp.Body.Close()
				checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 50)
			})
		}
		begun := time.Now()
		const notice = 10 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), notice)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.sidecars[left].Shutdown(ctx) }()
		tokens, e := lastError(t, plan.Body)
		assert.Assert(t, time.Since(begun) < notice)
		assert.Equal(t, e.Code, "endpointReclaimed")
		assert.Equal(t, e.Ran, "partly")
		assert.Assert(t, tokens > 0)
		assert.NilError(t, <-stopped)
		wg.Wait()
	})
}

// TestStoppedEntry gives an entry five seconds. A plan that cannot finish is told so, and goes on through the other.
func TestStoppedEntry(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const total = 2000
		f := startFleet(t, unchanged)
		defer f.stop()
		plan := f.ask(t, 0, total)
		defer plan.Body.Close()
		id := plan.Header.Get("Toucan-Generation-Id")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.entries[0].Shutdown(ctx) }()
		tokens, e := lastError(t, plan.Body)
		assert.Equal(t, e.Ran, "partly")
		assert.Assert(t, e.Retryable)
		assert.NilError(t, <-stopped)

		rest := f.do(t, 1, http.MethodGet, "/v1/generations/"+id, "", "Last-Event-ID", fmt.Sprintf("%s:%d", id, tokens-1))
		defer rest.Body.Close()
		checkStream(t, rest.Body, id, tokens, total)
		assert.Equal(t, len(f.ledger.Generations()), 1)
	})
}

// TestEntriesShareLimits has one of two entries get all requests of a workspace. It takes what the other leaves, and
// the answer beyond says when to come back and that nothing ran.
func TestEntriesShareLimits(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const limit = 8
		f := startFleet(t, func(team *toucansettings.Team) { team.Workspaces[0].ConcurrentRequests = limit })
		defer f.stop()
		time.Sleep(2 * time.Second)
		var plans sync.WaitGroup
		for range limit {
			resp := f.ask(t, 0, 200)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			plans.Go(func() {
				defer resp.Body.Close()
				checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 200)
			})
		}
		defer plans.Wait()
		resp := f.ask(t, 0, 5)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
		var b toucanapi.ErrorBody
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&b))
		assert.Equal(t, b.Error.Ran, "no")
	})
}
