package toucanforward

import (
	"strconv"
	"sync"

	"toucanport/toucanrefusal"

	"github.com/uber-go/tally/v4"
)

// maxRankLabel is the largest rank that has instruments of its own, which bounds the number of time series. Less urgent ones share
// those of maxRankLabel.
const maxRankLabel = 9

// rankMetrics holds the instruments of each rank. It is safe for concurrent use.
type rankMetrics struct {
	scope tally.Scope

	mu    sync.Mutex
	ranks map[int]rankInstruments
}

// rankInstruments are the instruments of one rank.
type rankInstruments struct {
	// held is how long requests waited for room, expected the wait that was expected when they began to or were placed.
	held, expected tally.Histogram
	// reserve is the memory, in tokens, that the last request left free at each endpoint.
	reserve tally.Gauge
	// rejected counts those that got no room, by reason.
	rejected map[toucanrefusal.Reason]tally.Counter
}

func newRankMetrics(scope tally.Scope) *rankMetrics {
	return &rankMetrics{scope: scope, ranks: make(map[int]rankInstruments)}
}

// of returns the instruments of a rank.
func (m *rankMetrics) of(rank int) rankInstruments {
	rank = min(rank, maxRankLabel)
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.ranks[rank]
	if ok {
		return r
	}
	scope := m.scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)})
	r = rankInstruments{
		held:     scope.Histogram("rank_request_held", answerBuckets),
		expected: scope.Histogram("rank_expected_wait", answerBuckets),
		reserve:  scope.Gauge("rank_reserve_tokens"),
		rejected: make(map[toucanrefusal.Reason]tally.Counter),
	}
	for _, why := range []toucanrefusal.Reason{toucanrefusal.ReasonFull, toucanrefusal.ReasonDeferred, toucanrefusal.ReasonLimited, toucanrefusal.ReasonHopeless} {
		r.rejected[why] = scope.Tagged(map[string]string{"reason": string(why)}).Counter("rank_requests_rejected")
	}
	m.ranks[rank] = r
	return r
}

// rejected counts a rejected request if it is for want of room.
func (m *rankMetrics) rejected(rank int, why toucanrefusal.Reason) {
	if c, ok := m.of(rank).rejected[why]; ok {
		c.Inc(1)
	}
}
