// Package toucanfair orders waiting requests between workspaces by the weighted work that each was given. It is pure
// and not safe for concurrent use.
package toucanfair

import (
	"cmp"
	"slices"
)

// Item is one waiting request.
type Item struct {
	// ID is unique among the items of a Queue.
	ID        string
	Workspace string
	// Level is the class of the item, 0 or 1.
	Level int
	// Weight is the workspace's share relative to others; above zero.
	Weight float64
	// Cost is the work that the item is expected to take; above zero.
	Cost float64
}

// Levels is how many levels a Queue has.
const Levels = 2

// Queue holds waiting items. Each workspace has a virtual time, the work given to it divided by its weight; the head
// of a level is the oldest item of the workspace with the lowest virtual time. A workspace that was away starts at
// the virtual time of the queue less the burst, so that absence earns no more than that.
type Queue struct {
	workspaces map[string]*workspace
	byID       map[string]*workspace
	// busy holds the workspaces with items waiting at each level.
	busy [Levels][]*workspace
	// burst is the work for each unit of weight that a workspace may have saved up; at least zero.
	burst float64
	// clock is the highest virtual time that a popped item started at; it never falls.
	clock float64
	// serial numbers the workspaces in the order in which they came, to break ties.
	serial uint64
	pops   uint64
}

// sweepPops is how many items are popped between two searches for workspaces to forget.
const sweepPops = 256

type workspace struct {
	name   string
	serial uint64
	weight float64
	// time is the virtual time; at least the queue's clock less the burst when the workspace last became active.
	time float64
	// outstanding is how many items were popped and are not yet settled.
	outstanding int
	waiting     [Levels][]Item
	// cost is the sum of the waiting items' costs at each level.
	cost [Levels]float64
}

// Option changes a Queue at its construction.
type Option func(*Queue)

// WithBurst lets a workspace that got less than its share save up work, for each unit of weight.
func WithBurst(work float64) Option { return func(q *Queue) { q.burst = work } }

// New returns an empty Queue.
func New(opts ...Option) *Queue {
	q := &Queue{workspaces: make(map[string]*workspace), byID: make(map[string]*workspace)}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns how many items wait at a level.
func (q *Queue) Len(level int) int {
	n := 0
	for _, w := range q.busy[level] {
		n += len(w.waiting[level])
	}
	return n
}

// Cost returns the sum of the costs waiting at a level.
func (q *Queue) Cost(level int) float64 {
	sum := 0.0
	for _, w := range q.busy[level] {
		sum += w.cost[level]
	}
	return sum
}

// Push adds an item behind the others of its workspace and level.
func (q *Queue) Push(it Item) {
	w := q.active(it.Workspace)
	w.weight = it.Weight
	if len(w.waiting[it.Level]) == 0 {
		q.busy[it.Level] = append(q.busy[it.Level], w)
	}
	w.waiting[it.Level] = append(w.waiting[it.Level], it)
	w.cost[it.Level] += it.Cost
	q.byID[it.ID] = w
}

// Head returns the item that is next at a level.
func (q *Queue) Head(level int) (Item, bool) {
	var first *workspace
	for _, w := range q.busy[level] {
		if first == nil || w.before(first) {
			first = w
		}
	}
	if first == nil {
		return Item{}, false
	}
	return first.waiting[level][0], true
}

// Pop removes an item that is served now and charges its cost to its workspace. Settle must follow.
func (q *Queue) Pop(id string) (Item, bool) {
	w, it, ok := q.take(id)
	if !ok {
		return Item{}, false
	}
	q.clock = max(q.clock, w.time)
	w.time += it.Cost / it.Weight
	w.outstanding++
	if q.pops++; q.pops%sweepPops == 0 {
		q.sweep()
	}
	return it, true
}

// Remove takes out an item that will not be served.
func (q *Queue) Remove(id string) bool {
	w, _, ok := q.take(id)
	if ok {
		q.forget(w)
	}
	return ok
}

// Settle replaces the cost charged for a popped item by the work that it took.
func (q *Queue) Settle(it Item, took float64) {
	w, ok := q.workspaces[it.Workspace]
	if !ok {
		return
	}
	w.time += (took - it.Cost) / it.Weight
	w.outstanding--
	q.forget(w)
}

// Ahead returns the cost at a level that would be served before a new item of the workspace.
func (q *Queue) Ahead(name string, weight float64, level int) float64 {
	start, own := q.clock-q.burst, 0.0
	if w, ok := q.workspaces[name]; ok {
		own = w.cost[level]
		start = max(w.time, q.floor(w)) + own/weight
	}
	ahead := own
	for _, w := range q.busy[level] {
		if w.name == name {
			continue
		}
		ahead += min(w.cost[level], max(0, start-w.time)*w.weight)
	}
	return ahead
}

// Waiting returns the items of a level, in the order in which they would be served if none came.
func (q *Queue) Waiting(level int) []Item {
	type tagged struct {
		item  Item
		start float64
		ws    *workspace
	}
	var all []tagged
	for _, w := range q.busy[level] {
		start := w.time
		for _, it := range w.waiting[level] {
			all = append(all, tagged{it, start, w})
			start += it.Cost / it.Weight
		}
	}
	slices.SortStableFunc(all, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.ws.serial, b.ws.serial))
	})
	items := make([]Item, len(all))
	for i, t := range all {
		items[i] = t.item
	}
	return items
}

func (w *workspace) before(o *workspace) bool {
	return cmp.Or(cmp.Compare(w.time, o.time), cmp.Compare(w.serial, o.serial)) < 0
}

func (w *workspace) idle() bool {
	return w.outstanding == 0 && len(w.waiting[0]) == 0 && len(w.waiting[1]) == 0
}

// floor returns the least virtual time that w may have: one with items waiting keeps its place, any other starts at
// the clock less the burst.
func (q *Queue) floor(w *workspace) float64 {
	if len(w.waiting[0]) > 0 || len(w.waiting[1]) > 0 {
		return w.time
	}
	return q.clock - q.burst
}

func (q *Queue) active(name string) *workspace {
	w, ok := q.workspaces[name]
	if !ok {
		q.serial++
		w = &workspace{name: name, serial: q.serial, time: q.clock - q.burst}
		q.workspaces[name] = w
	}
	w.time = max(w.time, q.floor(w))
	return w
}

func (q *Queue) take(id string) (*workspace, Item, bool) {
	w, ok := q.byID[id]
	if !ok {
		return nil, Item{}, false
	}
	delete(q.byID, id)
	for level, items := range w.waiting {
		i := slices.IndexFunc(items, func(it Item) bool { return it.ID == id })
		if i < 0 {
			continue
		}
		it := items[i]
		w.waiting[level] = slices.Delete(items, i, i+1)
		w.cost[level] -= it.Cost
		if len(w.waiting[level]) == 0 {
			w.cost[level] = 0
			i := slices.Index(q.busy[level], w)
			q.busy[level] = slices.Delete(q.busy[level], i, i+1)
		}
		return w, it, true
	}
	return nil, Item{}, false
}

// forget drops a workspace whose return would set its virtual time anew anyway.
func (q *Queue) forget(w *workspace) {
	if w.idle() && w.time <= q.clock-q.burst {
		delete(q.workspaces, w.name)
	}
}

func (q *Queue) sweep() {
	for _, w := range q.workspaces {
		q.forget(w)
	}
}
