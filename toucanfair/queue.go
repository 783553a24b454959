// Package toucanfair provides a weighted fair queue of requests across workspaces. It is pure and not safe for
// concurrent use.
package toucanfair

import (
	"cmp"
	"slices"
)

// Item is a waiting request.
type Item struct {
	// ID is unique among the items of a Queue.
	ID        string
	Workspace string
	// Level is the priority class of the item, from 0 to Levels-1. Each level has its own order.
	Level int
	// Weight is the workspace's share relative to other workspaces; always positive.
	Weight float64
	// Cost is the expected work of the item; always positive.
	Cost float64
}

// Levels is the number of levels of a Queue.
const Levels = 2

// Queue holds waiting items. Each workspace has a virtual time: the work served for it divided by its weight. The
// head of a level is the oldest item of the workspace with the lowest virtual time. A workspace that was idle resumes
// at the queue's virtual time minus the burst or later, so that an idle period earns no more credit than the burst.
type Queue struct {
	workspaces map[string]*workspace
	byID       map[string]*workspace
	// backlogged holds the workspaces with waiting items at each level.
	backlogged [Levels][]*workspace
	// burst is the credit, in work per unit of weight, that a workspace can accumulate; at least zero.
	burst float64
	// virtualTime is the highest virtual time at which an item was popped. It never decreases.
	virtualTime float64
	// lastSerial is the serial number of the newest workspace. Serial numbers break ties between equal virtual times.
	lastSerial uint64
	pops       uint64
}

// popsPerSweep is the number of pops between two removals of idle workspaces.
const popsPerSweep = 256

type workspace struct {
	name   string
	serial uint64
	weight float64
	// virtualTime was at least the queue's virtual time minus the burst when the workspace last became active.
	virtualTime float64
	// outstanding counts the items that were popped and not settled yet.
	outstanding int
	waiting     [Levels][]Item
	// cost is the sum of the costs of the waiting items at each level.
	cost [Levels]float64
}

// Option configures a Queue.
type Option func(*Queue)

// WithBurst sets the credit, in work per unit of weight, that a workspace can accumulate while it gets less than its
// share.
func WithBurst(work float64) Option { return func(q *Queue) { q.burst = work } }

// New returns an empty Queue.
func New(opts ...Option) *Queue {
	q := &Queue{workspaces: make(map[string]*workspace), byID: make(map[string]*workspace)}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns the number of items waiting at a level.
func (q *Queue) Len(level int) int {
	n := 0
	for _, w := range q.backlogged[level] {
		n += len(w.waiting[level])
	}
	return n
}

// Cost returns the total cost of the items waiting at a level.
func (q *Queue) Cost(level int) float64 {
	sum := 0.0
	for _, w := range q.backlogged[level] {
		sum += w.cost[level]
	}
	return sum
}

// Push appends an item to those of its workspace and level.
func (q *Queue) Push(it Item) {
	w := q.activate(it.Workspace)
	w.weight = it.Weight
	if len(w.waiting[it.Level]) == 0 {
		q.backlogged[it.Level] = append(q.backlogged[it.Level], w)
	}
	w.waiting[it.Level] = append(w.waiting[it.Level], it)
	w.cost[it.Level] += it.Cost
	q.byID[it.ID] = w
}

// Head returns the next item of a level, or false if the level is empty.
func (q *Queue) Head(level int) (Item, bool) {
	var first *workspace
	for _, w := range q.backlogged[level] {
		if first == nil || w.before(first) {
			first = w
		}
	}
	if first == nil {
		return Item{}, false
	}
	return first.waiting[level][0], true
}

// Pop removes an item that is about to be served and charges its cost to its workspace. Settle must be called when
// the item has been served.
func (q *Queue) Pop(id string) (Item, bool) {
	w, it, ok := q.detach(id)
	if !ok {
		return Item{}, false
	}
	q.virtualTime = max(q.virtualTime, w.virtualTime)
	w.virtualTime += it.Cost / it.Weight
	w.outstanding++
	if q.pops++; q.pops%popsPerSweep == 0 {
		q.sweep()
	}
	return it, true
}

// Remove removes an item that will not be served. It reports whether the item was waiting.
func (q *Queue) Remove(id string) bool {
	w, _, ok := q.detach(id)
	if ok {
		q.removeIfIdle(w)
	}
	return ok
}

// Settle corrects the charge for a popped item from its expected cost to the work that it actually took.
func (q *Queue) Settle(it Item, took float64) {
	w, ok := q.workspaces[it.Workspace]
	if !ok {
		return
	}
	w.virtualTime += (took - it.Cost) / it.Weight
	w.outstanding--
	q.removeIfIdle(w)
}

// Ahead returns the total cost of the items at a level that would be served before a new item of the workspace.
func (q *Queue) Ahead(name string, weight float64, level int) float64 {
	start, own := q.virtualTime-q.burst, 0.0
	if w, ok := q.workspaces[name]; ok {
		own = w.cost[level]
		start = max(w.virtualTime, q.minVirtualTime(w)) + own/weight
	}
	ahead := own
	for _, w := range q.backlogged[level] {
		if w.name == name {
			continue
		}
		ahead += min(w.cost[level], max(0, start-w.virtualTime)*w.weight)
	}
	return ahead
}

// Waiting returns the items of a level in the order in which they would be served if no more items arrive.
func (q *Queue) Waiting(level int) []Item {
	type tagged struct {
		item  Item
		start float64
		ws    *workspace
	}
	var all []tagged
	for _, w := range q.backlogged[level] {
		start := w.virtualTime
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
	return cmp.Or(cmp.Compare(w.virtualTime, o.virtualTime), cmp.Compare(w.serial, o.serial)) < 0
}

func (w *workspace) isIdle() bool {
	return w.outstanding == 0 && len(w.waiting[0]) == 0 && len(w.waiting[1]) == 0
}

// minVirtualTime returns the lower limit of w's virtual time. A workspace with waiting items keeps its virtual time;
// any other resumes at the queue's virtual time minus the burst at the earliest.
func (q *Queue) minVirtualTime(w *workspace) float64 {
	if len(w.waiting[0]) > 0 || len(w.waiting[1]) > 0 {
		return w.virtualTime
	}
	return q.virtualTime - q.burst
}

func (q *Queue) activate(name string) *workspace {
	w, ok := q.workspaces[name]
	if !ok {
		q.lastSerial++
		w = &workspace{name: name, serial: q.lastSerial, virtualTime: q.virtualTime - q.burst}
		q.workspaces[name] = w
	}
	w.virtualTime = max(w.virtualTime, q.minVirtualTime(w))
	return w
}

func (q *Queue) detach(id string) (*workspace, Item, bool) {
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
			i := slices.Index(q.backlogged[level], w)
			q.backlogged[level] = slices.Delete(q.backlogged[level], i, i+1)
		}
		return w, it, true
	}
	return nil, Item{}, false
}

// removeIfIdle removes an idle workspace whose virtual time has no effect any more, because it would be raised to the
// lower limit when the workspace returns.
func (q *Queue) removeIfIdle(w *workspace) {
	if w.isIdle() && w.virtualTime <= q.virtualTime-q.burst {
		delete(q.workspaces, w.name)
	}
}

func (q *Queue) sweep() {
	for _, w := range q.workspaces {
		q.removeIfIdle(w)
	}
}
