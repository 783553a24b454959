package toucanprobe

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanlogtest"
	"toucanport/toucanplace"
	"toucanport/toucanrate"
)

// fakePeerState has fixed peers, reports the store as silent or not, and records draining endpoints.
type fakePeerState struct {
	mu      sync.Mutex
	silent  bool
	peers   []string
	leaving map[uint64]bool
}

func (s *fakePeerState) StoreSilent(time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *fakePeerState) ActivePeers(time.Time) []string { return s.peers }

func (s *fakePeerState) SetProbedLeaving(_ time.Time, key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[key] = true
}

// fakeProber answers by address and counts the calls.
type fakeProber struct {
	mu    sync.Mutex
	calls map[string]int
}

func (p *fakeProber) Leaving(_ context.Context, address string) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[address]++
	switch address {
	case "dead":
		return false, errors.New("refused")
	case "leaving":
		return true, nil
	}
	return false, nil
}

// newPlacer returns a placer with three engines and a plain service, and the keys of the engines by address.
func newPlacer() (*toucanplace.Placer, map[string]uint64) {
	placer := toucanplace.NewPlacer("d1")
	keys := make(map[string]uint64)
	var list []toucanplace.Endpoint
	for _, address := range []string{"fine", "dead", "leaving"} {
		e := toucanplace.Endpoint{ID: address, Address: address, Service: "s", Slots: 1, MemoryTokens: 100}
		keys[address] = e.Key()
		list = append(list, e)
	}
	list = append(list, toucanplace.Endpoint{ID: "plain", Address: "plain", Service: "p", Slots: 1})
	placer.SetEndpoints(list)
	return placer, keys
}

// TestProbesOnlyWhileStoreIsSilent checks that only engines are probed, only while the store is silent, and that
// draining and unresponsive ones are recorded.
func TestProbesOnlyWhileStoreIsSilent(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		placer, keys := newPlacer()
		state := &fakePeerState{leaving: make(map[uint64]bool)}
		prober := &fakeProber{calls: make(map[string]int)}
		ctx, cancel := context.WithCancel(t.Context())
		log := &toucanlogtest.Log{}
		go New("self", prober, placer, state, toucanrate.New("e"), log.Logger()).Run(ctx)
		time.Sleep(3 * probeInterval)
		assert.Equal(t, len(prober.calls), 0)
		state.mu.Lock()
		state.silent = true
		state.mu.Unlock()
		time.Sleep(maxUnanswered*probeInterval + probeInterval)
		synctest.Wait()
		assert.Assert(t, state.leaving[keys["leaving"]])
		assert.Assert(t, state.leaving[keys["dead"]])
		assert.Assert(t, !state.leaving[keys["fine"]])
		assert.Equal(t, prober.calls["plain"], 0)
		lines := log.Next(t, 3)
		for _, want := range []string{
			"INFO asking endpoints whether they leave: asking=true peersHeard=0\n",
			"INFO endpoint says that it leaves: address=leaving endpoint=leaving\n",
			"WARN endpoint does not answer: address=dead cause=refused endpoint=dead questions=2\n",
		} {
			assert.Assert(t, strings.Contains(lines, want), lines)
		}
		cancel()
		synctest.Wait()
	})
}

// TestEachEndpointIsProbedByOneEntry checks that two entries that are peers of each other divide the endpoints.
func TestEachEndpointIsProbedByOneEntry(t *testing.T) {
	placer, _ := newPlacer()
	probes := make(map[string]int)
	for self, peer := range map[string]string{"a": "b", "b": "a"} {
		prober := &fakeProber{calls: make(map[string]int)}
		state := &fakePeerState{silent: true, peers: []string{peer}, leaving: make(map[uint64]bool)}
		New(self, prober, placer, state, toucanrate.New("e"), slog.New(slog.DiscardHandler)).probeEndpoints(t.Context(), time.Now())
		for address, n := range prober.calls {
			probes[address] += n
		}
	}
	assert.DeepEqual(t, probes, map[string]int{"fine": 1, "dead": 1, "leaving": 1})
}
