package toucanorder_test

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanfakestore"
	"toucanport/toucanledger"
	"toucanport/toucanorder"
	"toucanport/toucanstore"
)

// retentionSeconds can be raised by hand to measure what a shard retains once it is full.
var retentionSeconds = flag.Int("retentionSeconds", 20, "seconds of the run in TestShardStaysWithinByteLimit")

const shardOrdersPerSecond = ordersPerSecond / toucanorder.DefaultShards

// TestShardStaysWithinByteLimit runs one shard at its share of 5,000 orders per second.
func TestShardStaysWithinByteLimit(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		store := toucanfakestore.New()
		store.SetFaults(toucanfakestore.Faults{Delay: storeDelay})
		claims := toucanorder.New(store, toucanorder.WithShards(1))
		started := time.Now()
		var refused atomic.Int64
		var wg sync.WaitGroup
		for i := range *retentionSeconds * shardOrdersPerSecond {
			wg.Go(func() {
				claim, err := claims.Claim(t.Context(), toucanorder.Key{IdempotencyKey: fmt.Sprint(i)})
				if err != nil {
					refused.Add(1)
					return
				}
				time.Sleep(endpointTime)
				_ = claims.Finish(claim, toucanorder.Outcome{Status: 201, Body: []byte(`{"order":"4711","state":"accepted","panels":2}`)})
			})
			time.Sleep(time.Second / shardOrdersPerSecond)
			if i%(100*shardOrdersPerSecond) == 0 {
				logShard(t, store, time.Since(started))
			}
		}
		wg.Wait()
		stored := logShard(t, store, time.Since(started))
		writes := float64(store.Counts().Writes) / time.Since(started).Seconds()
		assert.Equal(t, refused.Load(), int64(0))
		assert.Assert(t, writes <= maxWritesPerSecond/toucanorder.DefaultShards)
		limits := toucanledger.DefaultLimits()
		assert.Assert(t, stored <= limits.ShardBytes+toucanstore.MaxValueBytes)
		assert.NilError(t, claims.Close(t.Context()))
	})
}

// logShard logs the number and size of the stored values and returns their total size in bytes.
func logShard(t *testing.T, store *toucanfakestore.Memory, at time.Duration) int {
	values, err := store.List(t.Context(), "orders/")
	assert.NilError(t, err)
	var stored int
	for _, v := range values {
		stored += len(v.Body)
	}
	counts := store.Counts()
	t.Logf("%v: %d values of %d KB; %.1f writes/s of %.0f KB/s", at.Round(time.Second), len(values), stored/1000,
		float64(counts.Writes)/at.Seconds(), float64(counts.WrittenBytes)/at.Seconds()/1000)
	return stored
}
