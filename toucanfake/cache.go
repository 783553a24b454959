package toucanfake

import (
	"math/rand/v2"
	"time"

	"toucanport/toucanengine"
)

// maxCacheEvents bounds the published events that an engine keeps; older ones are lost.
const maxCacheEvents = 1024

// cacheEvents is the engine's log of cache events.
type cacheEvents struct {
	rng  *rand.Rand
	last uint64
	log  []timedCacheEvent
}

type timedCacheEvent struct {
	toucanengine.CacheEvent
	at time.Time
}

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

// published returns the events above after that are at least lag old.
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

// cachedTokens returns how many of the prompt's tokens need no computing. At least one always does.
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

// cachePrefix remembers a computed prompt.
func (e *Engine) cachePrefix(s *sequence) {
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

// evicted is called by the prefix cache when it drops a block.
func (e *Engine) evicted(_ uint64, tag uint64) {
	if tag != 0 {
		e.events.add(tag, false, e.cfg.CacheEventLoss)
	}
}
