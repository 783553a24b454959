package toucanfake

import (
	"math/rand/v2"
	"time"

	"toucanport/toucanengine"
)

// maxCacheEvents bounds the log of cache events. When it is full, the older half is discarded.
const maxCacheEvents = 1024

// cacheEvents is the log of an engine's cache events. It is not safe for concurrent use.
type cacheEvents struct {
	rng *rand.Rand
	// last is the sequence number of the newest event, whether it was logged or lost.
	last uint64
	log  []timedCacheEvent
}

type timedCacheEvent struct {
	toucanengine.CacheEvent
	at time.Time
}

// add numbers an event and logs it, except for the share loss of events, which are lost.
func (c *cacheEvents) add(prefixHash uint64, stored bool, loss float64) {
	c.last++
	if c.rng.Float64() < loss {
		return
	}
	ev := toucanengine.CacheEvent{Sequence: c.last, PrefixHash: prefixHash, Stored: stored}
	c.log = append(c.log, timedCacheEvent{ev, time.Now()})
	if len(c.log) > maxCacheEvents {
		c.log = append([]timedCacheEvent(nil), c.log[maxCacheEvents/2:]...)
	}
}

// published returns the events with a sequence number above after that are at least lag old.
func (c *cacheEvents) published(after uint64, lag time.Duration) []toucanengine.CacheEvent {
	now := time.Now()
	events := []toucanengine.CacheEvent{}
	for _, ev := range c.log {
		if ev.Sequence > after && now.Sub(ev.at) >= lag {
			events = append(events, ev.CacheEvent)
		}
	}
	return events
}

// cachedTokens returns how many prompt tokens the prefix cache covers. The last prompt token is always computed.
func (e *Engine) cachedTokens(s *sequence) int {
	n := 0
	for _, h := range s.promptBlocks {
		if _, ok := e.prefixes.Get(h); !ok {
			break
		}
		n += e.cfg.BlockTokens
	}
	return min(n, s.promptTokens-1)
}

// cachePrompt adds the blocks of a computed prompt to the prefix cache. The first block is tagged with the
// request's prefix hash, and storing it is published as a cache event.
func (e *Engine) cachePrompt(s *sequence) {
	for i, h := range s.promptBlocks {
		tag := uint64(0)
		if i == 0 {
			tag = s.prefixHash
		}
		known := e.prefixes.Contains(h)
		e.prefixes.Add(h, tag)
		if !known && tag != 0 {
			e.events.add(tag, true, e.cfg.CacheEventLoss)
		}
	}
}

// onEvict is the prefix cache's eviction callback. It publishes a cache event for a tagged block.
func (e *Engine) onEvict(_ uint64, tag uint64) {
	if tag != 0 {
		e.events.add(tag, false, e.cfg.CacheEventLoss)
	}
}
