package toucanrank

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = 2 * time.Second
	// learnGain is the weight of one request in the moving averages of memory and time.
	learnGain = 0.05
	// rowsTTL is how long a peer's rows count.
	rowsTTL = 2 * time.Second
	// maxRows bounds the rows of one entry. The least urgent ones are left out.
	maxRows = 32
	// maxFlows bounds the flows that are learned, by service, route and rank, and the routes whose times are.
	maxFlows = 1024
)

// Row is what one entry reports of its requests of one route and rank at one service.
type Row struct {
	// Service is the Key of the service's name.
	Service uint64
	Flow
}

// Key returns the hash of the name of a service or route that identifies it in rows.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Class identifies the requests of one route and rank at a service.
type Class struct {
	Service, Route string
	Rank           int
}

// flowKey identifies a flow.
type flowKey struct {
	service, route uint64
	rank           int
}

// ownFlow is a flow of this entry.
type ownFlow struct {
	// arrivals is the decayed number of arrivals at countedAt.
	arrivals  float64
	countedAt time.Time
	tokens    float64
	hold      time.Duration
	goal      time.Duration
	// waiting, waitingTokens and oldest describe the requests that wait for room; oldest is the arrival of the first.
	waiting, waitingTokens int
	oldest                 time.Time
}

// peerRows are the rows that a peer last reported.
type peerRows struct {
	at   time.Time
	rows []Row
}

// Table learns the flows of requests by service, route and rank, of this entry from its requests and of the others from their
// reports. A lost report is replaced by the next; what a peer reported counts for rowsTTL. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	own   map[flowKey]*ownFlow
	times map[string]Times
	peers map[string]peerRows
	// sums caches the flows of all entries, by service.
	sums map[string]sum
	// sentAt is when Rows last returned the rows.
	sentAt time.Time
}

// NewTable returns a table without flows.
func NewTable() *Table {
	return &Table{own: make(map[flowKey]*ownFlow), times: make(map[string]Times), peers: make(map[string]peerRows), sums: make(map[string]sum)}
}

// flow returns the entry's flow of a class. The caller holds t.mu.
func (t *Table) flow(c Class) *ownFlow {
	key := flowKey{Key(c.Service), Key(c.Route), c.Rank}
	f, ok := t.own[key]
	if !ok {
		if len(t.own) >= maxFlows {
			clear(t.own)
		}
		f = &ownFlow{}
		t.own[key] = f
	}
	return f
}

// decayed returns the decayed number of arrivals at now.
func (f *ownFlow) decayed(now time.Time) float64 {
	return f.arrivals * math.Exp(-max(now.Sub(f.countedAt), 0).Seconds()/rateWindow.Seconds())
}

// learn moves an average by one observation.
func learn(average, observed float64) float64 {
	if average == 0 {
		return observed
	}
	return average + learnGain*(observed-average)
}

// Arrived records the arrival of a request.
func (t *Table) Arrived(now time.Time, c Class, r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flow(c)
	f.arrivals = f.decayed(now) + 1
	f.countedAt = now
	f.tokens = learn(f.tokens, float64(r.Tokens))
	f.goal = r.Goal
}

// Times are the mean times of a route's requests. A time that is not known yet is zero.
type Times struct {
	// ReadRate is how many tokens of a prompt an engine reads a second if no other is before it.
	ReadRate float64
	// Work is the time from placement to the first event, Hold that for which a request holds its room.
	Work, Hold time.Duration
	// Deviation is the mean distance of the time to the first event from Work.
	Deviation time.Duration
}

// Ended records the times of a request.
func (t *Table) Ended(c Class, observed Times) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flow(c)
	f.hold = learnTime(f.hold, observed.Hold)
	times, known := t.times[c.Route]
	if !known && len(t.times) >= maxFlows {
		clear(t.times)
	}
	if observed.ReadRate > 0 {
		times.ReadRate = learn(times.ReadRate, observed.ReadRate)
	}
	if times.Work > 0 && observed.Work > 0 {
		times.Deviation = learnTime(times.Deviation, (observed.Work - times.Work).Abs())
	}
	times.Work, times.Hold = learnTime(times.Work, observed.Work), learnTime(times.Hold, observed.Hold)
	t.times[c.Route] = times
}

// learnTime is learn for times. An observed time of zero is unknown.
func learnTime(average, observed time.Duration) time.Duration {
	if observed <= 0 {
		return average
	}
	return time.Duration(learn(float64(average), float64(observed)))
}

// Times returns the mean times of a route's requests at a service. While this entry knows none for which they hold their room, it
// is that at the other entries.
func (t *Table) Times(now time.Time, service, route string) Times {
	t.mu.Lock()
	times := t.times[route]
	t.mu.Unlock()
	if times.Hold > 0 {
		return times
	}
	key := Key(route)
	for _, f := range t.Flows(now, service) {
		if f.Route == key {
			times.Hold = max(times.Hold, f.Hold)
		}
	}
	return times
}

// SetWaiting replaces what is known of the entry's waiting requests of one class. oldest is the arrival of the first.
func (t *Table) SetWaiting(c Class, requests, tokens int, oldest time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flow(c)
	f.waiting, f.waitingTokens, f.oldest = requests, tokens, oldest
}

// row returns what the entry reports of a flow.
func (f *ownFlow) row(now time.Time, key flowKey) Row {
	r := Row{Service: key.service, Flow: Flow{
		Route:     key.route,
		Rank:      key.rank,
		PerSecond: f.decayed(now) / rateWindow.Seconds(),
		Tokens:    f.tokens,
		Hold:      f.hold,
		Goal:      f.goal,
		Waiting:   f.waiting, WaitingTokens: f.waitingTokens,
	}}
	if f.waiting > 0 {
		r.Oldest = max(now.Sub(f.oldest), 0)
	}
	return r
}

// minArrivals is the decayed number of arrivals below which a flow without waiting requests is not reported.
const minArrivals = 0.02

// rowInterval is the least time between two times that rows are returned for reports, which bounds what they add to them.
const rowInterval = 500 * time.Millisecond

// Rows returns the entry's rows for a report to its peers, at most one for each service, route and rank. There are none if the ones
// that were returned last are still good.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.sentAt) < rowInterval {
		return nil
	}
	t.sentAt = now
	var rows []Row
	for key, f := range t.own {
		if f.waiting == 0 && f.decayed(now) < minArrivals {
			continue
		}
		rows = append(rows, f.row(now, key))
	}
	slices.SortFunc(rows, func(a, b Row) int { return a.Rank - b.Rank })
	return rows[:min(len(rows), maxRows)]
}

// Observe replaces a peer's rows, and drops those of peers that are older than rowsTTL.
func (t *Table) Observe(now time.Time, peer string, rows []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[peer] = peerRows{at: now, rows: rows}
	for name, p := range t.peers {
		if now.Sub(p.at) >= rowsTTL {
			delete(t.peers, name)
		}
	}
}

// sum are the flows of a service at all entries at a time.
type sum struct {
	at    time.Time
	flows []Flow
}

// sumTTL is how long a sum is used. Peers' rows are older.
const sumTTL = 20 * time.Millisecond

// Flows returns the flows of a service at all entries, most urgent first, as of sumTTL ago. There is one for each route and rank. The caller does
// not change them.
func (t *Table) Flows(now time.Time, service string) []Flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.sums[service]; ok && now.Sub(c.at) < sumTTL {
		return c.flows
	}
	if len(t.sums) >= maxFlows {
		clear(t.sums)
	}
	flows := t.sum(now, Key(service))
	t.sums[service] = sum{at: now, flows: flows}
	return flows
}

// sum returns the flows of a service at all entries. The caller holds t.mu.
func (t *Table) sum(now time.Time, key uint64) []Flow {
	var flows []Flow
	for k, f := range t.own {
		if k.service == key {
			flows = merge(flows, f.row(now, k).Flow)
		}
	}
	for _, p := range t.peers {
		if now.Sub(p.at) >= rowsTTL {
			continue
		}
		for _, r := range p.rows {
			if r.Service == key {
				flows = merge(flows, r.Flow)
			}
		}
	}
	slices.SortFunc(flows, func(a, b Flow) int { return a.Rank - b.Rank })
	return flows
}

// merge adds a flow of one entry to those of all.
func merge(flows []Flow, f Flow) []Flow {
	i := slices.IndexFunc(flows, func(g Flow) bool { return g.Rank == f.Rank && g.Route == f.Route })
	if i < 0 {
		return append(flows, f)
	}
	g := &flows[i]
	g.Tokens = weighted(g.Tokens, g.PerSecond, f.Tokens, f.PerSecond)
	g.Hold = time.Duration(weighted(float64(g.Hold), g.PerSecond, float64(f.Hold), f.PerSecond))
	g.Goal = max(g.Goal, f.Goal)
	g.PerSecond += f.PerSecond
	g.Waiting += f.Waiting
	g.WaitingTokens += f.WaitingTokens
	g.Oldest = max(g.Oldest, f.Oldest)
	return flows
}

// weighted returns the mean of two averages by their rates. An average of zero is unknown and does not count.
func weighted(a, rateA, b, rateB float64) float64 {
	if a == 0 || rateA <= 0 {
		return b
	}
	if b == 0 || rateB <= 0 {
		return a
	}
	return (a*rateA + b*rateB) / (rateA + rateB)
}
