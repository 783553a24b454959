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

// drainBound is the time after which a draining endpoint must get no new work.
const drainBound = 3 * time.Second

func noChange(*toucansettings.Team) {}

// TestDrainingEndpointsGetNoNewWork drains or removes an endpoint in each possible way while a generation runs there.
// New requests must go to the other endpoint, and the running generation must finish.
func TestDrainingEndpointsGetNoNewWork(t *testing.T) {
	for _, policy := range []toucansettings.Policy{toucansettings.PolicyNaive, toucansettings.PolicyToucan} {
		for name, drain := range map[string]func(*fleet, int){
			"sidecar drains":               func(f *fleet, i int) { f.sidecars[i].Drain() },
			"membership lists as draining": func(f *fleet, i int) { f.members.markDraining(fleetSidecar(i)) },
			"settings mark as draining": func(f *fleet, i int) {
				f.tree.Store(fleetTree(func(team *toucansettings.Team) {
					team.Services[0].Policy = policy
					team.Endpoints[i].Draining = true
				}))
			},
			"settings remove endpoint": func(f *fleet, i int) {
				f.tree.Store(fleetTree(func(team *toucansettings.Team) {
					team.Services[0].Policy = policy
					team.Endpoints = append(team.Endpoints[:i:i], team.Endpoints[i+1:]...)
				}))
			},
		} {
			t.Run(string(policy)+" "+name, func(t *testing.T) {
				withFakeClock(t, func(t *testing.T) {
					f := startFleet(t, func(team *toucansettings.Team) { team.Services[0].Policy = policy })
					defer f.stop()
					running := f.startStream(t, 0, 1000)
					defer running.Body.Close()
					id := running.Header.Get("Toucan-Generation-Id")
					drained := f.sidecarOf(t, id)
					drain(f, drained)
					time.Sleep(drainBound)
					for i := range 10 {
						resp := f.startStream(t, i%fleetSize, 5)
						newID := resp.Header.Get("Toucan-Generation-Id")
						checkStream(t, resp.Body, newID, 0, 5)
						resp.Body.Close()
						assert.Assert(t, f.sidecarOf(t, newID) != drained)
					}
					checkStream(t, running.Body, id, 0, 1000)
				})
			})
		}
	}
}

// readUntilError reads a stream up to its error event and returns the number of tokens and the error.
func readUntilError(t *testing.T, body io.Reader) (tokens int, e toucanapi.Error) {
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

// TestSidecarShutdownDeadlineEndsGeneration shuts a sidecar down with a deadline of ten seconds. A generation that
// cannot finish must end before the deadline with an error whose `ran` is "partly". Requests without a token must be
// answered completely by the other endpoint.
func TestSidecarShutdownDeadlineEndsGeneration(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := startFleet(t, noChange)
		defer f.stop()
		running := f.startStream(t, 0, 20000)
		defer running.Body.Close()
		id := running.Header.Get("Toucan-Generation-Id")
		drained := f.sidecarOf(t, id)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				resp := f.startStream(t, 0, 50)
				defer resp.Body.Close()
				checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 50)
			})
		}
		begun := time.Now()
		const notice = 10 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), notice)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.sidecars[drained].Shutdown(ctx) }()
		tokens, e := readUntilError(t, running.Body)
		assert.Assert(t, time.Since(begun) < notice)
		assert.Equal(t, e.Code, "endpointReclaimed")
		assert.Equal(t, e.Ran, "partly")
		assert.Assert(t, tokens > 0)
		assert.NilError(t, <-stopped)
		wg.Wait()
	})
}

// TestGenerationResumesThroughOtherEntryAfterStop shuts an entry down with a deadline of five seconds. A generation
// that cannot finish must end with a retryable error, and the caller can resume it through the other entry.
func TestGenerationResumesThroughOtherEntryAfterStop(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		const total = 2000
		f := startFleet(t, noChange)
		defer f.stop()
		running := f.startStream(t, 0, total)
		defer running.Body.Close()
		id := running.Header.Get("Toucan-Generation-Id")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.entries[0].Shutdown(ctx) }()
		tokens, e := readUntilError(t, running.Body)
		assert.Equal(t, e.Ran, "partly")
		assert.Assert(t, e.Retryable)
		assert.NilError(t, <-stopped)

		rest := f.do(t, 1, http.MethodGet, "/v1/generations/"+id, "", "Last-Event-ID", fmt.Sprintf("%s:%d", id, tokens-1))
		defer rest.Body.Close()
		checkStream(t, rest.Body, id, tokens, total)
		assert.Equal(t, len(f.ledger.Generations()), 1)
	})
}

// TestEntriesShareLimits sends all requests of a workspace to one of two entries. This entry must be able to use the
// whole limit. The next request must be refused with Retry-After and `ran` "no".
func TestEntriesShareLimits(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		const limit = 8
		f := startFleet(t, func(team *toucansettings.Team) { team.Workspaces[0].ConcurrentRequests = limit })
		defer f.stop()
		time.Sleep(2 * time.Second)
		var streams sync.WaitGroup
		for range limit {
			resp := f.startStream(t, 0, 200)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			streams.Go(func() {
				defer resp.Body.Close()
				checkStream(t, resp.Body, resp.Header.Get("Toucan-Generation-Id"), 0, 200)
			})
		}
		defer streams.Wait()
		resp := f.startStream(t, 0, 5)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
		var b toucanapi.ErrorBody
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&b))
		assert.Equal(t, b.Error.Ran, "no")
	})
}
