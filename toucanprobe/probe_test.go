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

	"toucanport/toucanlogtest"
	"toucanport/toucanplace"
)

// fakeBoard has heard of the store or not, with peers.
type fakeBoard struct {
	mu     sync.Mutex
	silent bool
	peers  []string
	left   map[uint64]bool
}

func (b *fakeBoard) StoreSilent(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

func (b *fakeBoard) Heard(time.Time) []string { return b.peers }

func (b *fakeBoard) TakeLeaving(_ time.Time, key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[key] = true
}

// fakeProber answers by address and counts the questions.
type fakeProber struct {
	mu    sync.Mutex
	asked map[string]int
}

func (p *fakeProber) Leaving(_ context.Context, address string) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[address]++
	switch address {
	case "dead":
		return false, errors.New("refused")
	case "leaving":
		return true, nil
	}
	return false, nil
}

func endpoints() (*toucanplace.Book, map[string]uint64) {
	book := toucanplace.NewBook("d1")
	keys := make(map[string]uint64)
	var list []toucanplace.Endpoint
	for _, address := range []string{"fine", "dead", "leaving"} {
		e := toucanplace.Endpoint{ID: address, Address: address, Service: "s", Slots: 1, MemoryTokens: 100}
		keys[address] = e.Key()
		list = append(list, e)
	}
	list = append(list, toucanplace.Endpoint{ID: "plain", Address: "plain", Service: "p", Slots: 1})
	book.SetEndpoints(list)
	return book, keys
}

// TestAsksOnlyWhileStoreIsSilent checks who is asked, and that silent and leaving endpoints are told of.
func TestAsksOnlyWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book, keys := endpoints()
		board := &fakeBoard{left: make(map[uint64]bool)}
		prober := &fakeProber{asked: make(map[string]int)}
		ctx, cancel := context.WithCancel(t.Context())
		log := &toucanlogtest.Log{}
		go New("self", prober, book, board, log.Logger()).Run(ctx)
		time.Sleep(3 * interval)
		assert.Equal(t, len(prober.asked), 0)
		board.mu.Lock()
		board.silent = true
		board.mu.Unlock()
		time.Sleep(maxUnanswered*interval + interval)
		synctest.Wait()
		assert.Assert(t, board.left[keys["leaving"]])
		assert.Assert(t, board.left[keys["dead"]])
		assert.Assert(t, !board.left[keys["fine"]])
		assert.Equal(t, prober.asked["plain"], 0)
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

// TestShares checks that each endpoint is asked by one of two entries that hear each other.
func TestShares(t *testing.T) {
	book, _ := endpoints()
	asked := make(map[string]int)
	for self, peer := range map[string]string{"a": "b", "b": "a"} {
		prober := &fakeProber{asked: make(map[string]int)}
		board := &fakeBoard{silent: true, peers: []string{peer}, left: make(map[uint64]bool)}
		New(self, prober, book, board, slog.New(slog.DiscardHandler)).round(t.Context(), time.Now())
		for address, n := range prober.asked {
			asked[address] += n
		}
	}
	assert.DeepEqual(t, asked, map[string]int{"fine": 1, "dead": 1, "leaving": 1})
}
