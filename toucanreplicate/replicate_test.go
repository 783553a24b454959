package toucanreplicate_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanchange"
	"toucanport/toucanfakestore"
)

// TestReplicationCases runs each case of testdata/replication under a fake clock.
func TestReplicationCases(t *testing.T) {
	datadriven.RunTest(t, "testdata/replication", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		toucanbubble.Test(t, func(t *testing.T) {
			m := newMesh(t)
			defer m.close()
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				m.step(t, &out, line)
			}
		})
		return out.String()
	})
}

func (m *mesh) step(t *testing.T, out *strings.Builder, line string) {
	words := strings.Fields(line)
	arg := ""
	if len(words) > 1 {
		arg = words[1]
	}
	switch words[0] {
	case "entry":
		m.startEntry(arg)
	case "sidecar":
		m.startSidecar(arg)
	case "stopEntry":
		m.stopNode(m.entries, arg)
	case "stopSidecar":
		m.stopNode(m.sidecars, arg)
	case "change":
		if err := m.change(arg); err != nil {
			fmt.Fprintf(out, "change refused: %v\n", firstLine(err))
		}
	case "store":
		m.store.SetFaults(faultsOf(t, arg))
	case "restore":
		m.restore(t)
	case "links":
		m.mu.Lock()
		m.links = arg == "up"
		m.mu.Unlock()
	case "wait":
		d, err := time.ParseDuration(arg)
		assert.NilError(t, err)
		time.Sleep(d)
	case "inForce":
		m.expectInForce(t, out, arg)
	case "stored":
		m.expectStored(t, out)
	default:
		t.Fatalf("unknown step %q", line)
	}
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	if i := strings.LastIndex(line, ": "); i >= 0 {
		line = line[i+2:]
	}
	return line
}

func faultsOf(t *testing.T, name string) toucanfakestore.Faults {
	switch name {
	case "up":
		return toucanfakestore.Faults{}
	case "down":
		return toucanfakestore.Faults{Down: true}
	case "watchesStalled":
		return toucanfakestore.Faults{StallWatches: true}
	case "slow":
		return toucanfakestore.Faults{Delay: 400 * time.Millisecond}
	}
	t.Fatalf("unknown state of the store %q", name)
	return toucanfakestore.Faults{}
}

// restore sets the document in the store back to revision 1, as a restore from an old backup would.
func (m *mesh) restore(t *testing.T) {
	ctx := context.Background()
	v, err := m.store.Get(ctx, toucanchange.Key(document))
	assert.NilError(t, err)
	old, _ := m.entries["a"].holder.Document(document)
	old.Revision = 1
	body, err := old.Encode()
	assert.NilError(t, err)
	_, err = m.store.CompareAndSwap(ctx, toucanchange.Key(document), body, v.Revision)
	assert.NilError(t, err)
}

func (m *mesh) expectInForce(t *testing.T, out *strings.Builder, bound string) {
	d, err := time.ParseDuration(bound)
	assert.NilError(t, err)
	took, ok := m.awaitInForce(d)
	t.Logf("in force after %s on %d instances", took.Round(time.Millisecond), len(m.entries)+len(m.sidecars))
	fmt.Fprintf(out, "revision %d in force within %s: %v\n", m.accepted, bound, ok)
}

func (m *mesh) expectStored(t *testing.T, out *strings.Builder) {
	w := toucanchange.New(m.store, m.entries["a"].holder)
	d, err := w.Read(context.Background(), document)
	assert.NilError(t, err)
	fmt.Fprintf(out, "store at revision %d\n", d.Revision)
}
