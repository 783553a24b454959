package toucanfair

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestQueueScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q := New()
		served := make(map[string]Item)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			it := Item{Weight: 1, Cost: 1}
			d.MaybeScanArgs(t, "id", &it.ID)
			d.MaybeScanArgs(t, "ws", &it.Workspace)
			d.MaybeScanArgs(t, "level", &it.Level)
			d.MaybeScanArgs(t, "cost", &it.Cost)
			d.MaybeScanArgs(t, "weight", &it.Weight)
			switch d.Cmd {
			case "push":
				q.Push(it)
			case "pop":
				head, ok := q.Head(it.Level)
				if !ok {
					return "empty"
				}
				q.Pop(head.ID)
				served[head.ID] = head
				return head.ID
			case "settle":
				q.Settle(served[it.ID], it.Cost)
			case "remove":
				return fmt.Sprint(q.Remove(it.ID))
			case "ahead":
				return fmt.Sprint(q.Ahead(it.Workspace, it.Weight, it.Level))
			case "waiting":
				out := ""
				for _, w := range q.Waiting(it.Level) {
					out += w.ID + " "
				}
				return out
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

func drawItem(t *rapid.T, i int) Item {
	return Item{
		ID:        fmt.Sprint(i),
		Workspace: fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "ws")),
		Level:     rapid.IntRange(0, 1).Draw(t, "level"),
		Weight:    float64(rapid.IntRange(1, 4).Draw(t, "weight")),
		Cost:      float64(rapid.IntRange(1, 1000).Draw(t, "cost")),
	}
}

// TestQueueServesEachItemOnce checks that every pushed item is popped or removed exactly once, and that the remaining
// counts and costs are correct.
func TestQueueServesEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		waiting := make(map[string]Item)
		for i := range rapid.IntRange(0, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				it := drawItem(t, i)
				q.Push(it)
				waiting[it.ID] = it
				continue
			}
			level := rapid.IntRange(0, 1).Draw(t, "pop level")
			head, ok := q.Head(level)
			if !ok {
				continue
			}
			if rapid.Bool().Draw(t, "remove") {
				q.Remove(head.ID)
			} else {
				q.Pop(head.ID)
				q.Settle(head, float64(rapid.IntRange(1, 2000).Draw(t, "took")))
			}
			if _, known := waiting[head.ID]; !known {
				t.Fatalf("%s was removed twice", head.ID)
			}
			delete(waiting, head.ID)
		}
		cost := 0.0
		for _, it := range waiting {
			cost += it.Cost
		}
		if q.Len(0)+q.Len(1) != len(waiting) || q.Cost(0)+q.Cost(1) != cost {
			t.Fatalf("%d items of total cost %v wait, queue reports %d of %v",
				len(waiting), cost, q.Len(0)+q.Len(1), q.Cost(0)+q.Cost(1))
		}
	})
}

// TestBackloggedWorkspacesShareByWeight checks that two workspaces that always have waiting items are served in
// proportion to their weights, with a tolerance of twice the largest cost per unit of weight.
func TestBackloggedWorkspacesShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 100
		weights := []float64{
			float64(rapid.IntRange(1, 5).Draw(t, "weight a")),
			float64(rapid.IntRange(1, 5).Draw(t, "weight b")),
		}
		q := New()
		served := make([]float64, 2)
		serial := 0
		push := func(ws int) {
			serial++
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			q.Push(Item{ID: fmt.Sprint(serial), Workspace: fmt.Sprint(ws), Weight: weights[ws], Cost: cost})
		}
		for range 20 {
			push(0)
		}
		push(1)
		for range 200 {
			head, _ := q.Head(0)
			q.Pop(head.ID)
			ws := 0
			if head.Workspace == "1" {
				ws = 1
			}
			served[ws] += head.Cost
			push(ws)
		}
		difference := served[0]/weights[0] - served[1]/weights[1]
		if difference > 2*maxCost || difference < -2*maxCost {
			t.Fatalf("served %v by weights %v", served, weights)
		}
	})
}

// TestNoWorkspaceStarves checks that a workspace with a single item is served before each other workspace has received
// twice the largest item cost on average, no matter how many items the others push.
func TestNoWorkspaceStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 50
		others := rapid.IntRange(1, 6).Draw(t, "others")
		q := New()
		serial := 0
		push := func(ws int) {
			serial++
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			q.Push(Item{ID: fmt.Sprint(serial), Workspace: fmt.Sprint(ws), Weight: 1, Cost: cost})
		}
		for ws := range others {
			push(ws)
			push(ws)
		}
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			head, _ := q.Head(0)
			q.Pop(head.ID)
			push(int(head.Workspace[0] - '0'))
		}
		q.Push(Item{ID: "one", Workspace: "quiet", Weight: 1, Cost: 1})
		served := 0.0
		for {
			head, _ := q.Head(0)
			if head.ID == "one" {
				break
			}
			q.Pop(head.ID)
			served += head.Cost
			push(int(head.Workspace[0] - '0'))
			if served > float64(2*maxCost*others) {
				t.Fatalf("work of %v was served before the item of a workspace with no other items", served)
			}
		}
	})
}

func TestIdleWorkspacesAreRemoved(t *testing.T) {
	q := New()
	for i := range 10 * popsPerSweep {
		it := Item{ID: fmt.Sprint(i), Workspace: fmt.Sprint("w", i), Weight: 1, Cost: 10}
		q.Push(it)
		q.Pop(it.ID)
		q.Settle(it, 10)
		// A workspace that stays active advances the queue's virtual time.
		lasting := Item{ID: fmt.Sprint("l", i), Workspace: "lasting", Weight: 1, Cost: 10}
		q.Push(lasting)
		q.Pop(lasting.ID)
		q.Settle(lasting, 10)
	}
	assert.Assert(t, len(q.workspaces) <= popsPerSweep+1, "%d workspaces are kept", len(q.workspaces))
}
