package toucanorder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakestore"
	"toucanport/toucanorder"
)

const (
	ordersPerSecond = 5000
	storeDelay      = 5 * time.Millisecond
	endpointTime    = 40 * time.Millisecond
	// Targets for store writes of all processes together and for the median latency that a claim adds.
	maxWritesPerSecond = 150
	maxAddedMedian     = 60 * time.Millisecond
)

// load sends orders at a constant rate to a set of processes and measures the latency of their claims.
type load struct {
	store     *toucanfakestore.Memory
	processes []*toucanorder.Claims
	// choose returns the index of the process that claims order i.
	choose  func(k toucanorder.Key, i int) int
	mu      sync.Mutex
	added   *hdrhistogram.Histogram
	refused int
}

func newLoad(processes int) *load {
	l := &load{store: toucanfakestore.New(), added: hdrhistogram.New(1, 60_000_000, 3)}
	for range processes {
		l.processes = append(l.processes, toucanorder.New(l.store))
	}
	l.store.SetFaults(toucanfakestore.Faults{Delay: storeDelay})
	return l
}

func (l *load) order(ctx context.Context, i int) {
	k := toucanorder.Key{Team: "pcl", Workspace: "dealers", Service: "comptoir", IdempotencyKey: fmt.Sprint(i), RequestHash: 1}
	claims := l.processes[l.choose(k, i)]
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	started := time.Now()
	claim, err := claims.Claim(ctx, k)
	l.record(time.Since(started), err)
	if err != nil {
		return
	}
	time.Sleep(endpointTime)
	_ = claims.Finish(claim, toucanorder.Outcome{Status: 201, Body: []byte(`{"order":"4711","state":"accepted","panels":2}`)})
}

func (l *load) record(d time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused++
		return
	}
	_ = l.added.RecordValue(d.Microseconds())
}

// run sends perSecond orders per second for the given number of seconds and checks the measurements against the
// targets.
func (l *load) run(t *testing.T, perSecond, seconds int) {
	started := time.Now()
	var wg sync.WaitGroup
	for i := range seconds * perSecond {
		wg.Go(func() { l.order(t.Context(), i) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	elapsed := time.Since(started).Seconds()
	counts := l.store.Counts()
	writes := float64(counts.Writes) / elapsed
	median := time.Duration(l.added.ValueAtQuantile(50)) * time.Microsecond
	t.Logf("%d orders in %.1f s: %.1f store writes/s, %.1f reads/s, %.0f KB/s written, added p50 %v p95 %.1f ms p99 %.1f ms max %.1f ms, %d refused",
		l.added.TotalCount(), elapsed, writes, float64(counts.Reads)/elapsed, float64(counts.WrittenBytes)/elapsed/1000, median,
		float64(l.added.ValueAtQuantile(95))/1000, float64(l.added.ValueAtQuantile(99))/1000, float64(l.added.Max())/1000, l.refused)
	assert.Equal(t, l.refused, 0)
	assert.Assert(t, writes <= maxWritesPerSecond)
	assert.Assert(t, median <= maxAddedMedian)
	for _, c := range l.processes {
		assert.NilError(t, c.Close(t.Context()))
	}
}

// TestGroupedClaimsMeetTargetsAt5000OrdersPerSecond sends the orders of each shard through its own process.
func TestGroupedClaimsMeetTargetsAt5000OrdersPerSecond(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		l := newLoad(toucanorder.DefaultShards)
		l.choose = func(k toucanorder.Key, _ int) int { return k.Shard(len(l.processes)) }
		l.run(t, ordersPerSecond, 5)
	})
}

// TestSharedShardsMeetTargetsAt10OrdersPerSecond sends the orders of all shards through three processes in turn.
func TestSharedShardsMeetTargetsAt10OrdersPerSecond(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		l := newLoad(3)
		l.choose = func(_ toucanorder.Key, i int) int { return i % len(l.processes) }
		l.run(t, 10, 60)
	})
}
