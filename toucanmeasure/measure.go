// Package toucanmeasure measures policies: seeded arrivals for a rig, and the figures of what callers got.
package toucanmeasure

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucancaller"
	"toucanport/toucanfake"
	"toucanport/toucanrig"
	"toucanport/toucansettings"
)

// ErrFaultName is returned for the name of no fault.
var ErrFaultName = errors.New("unknown fault")

// FaultStalledLink stalls the link between the first entry and the first sidecar. The other faults of a
// measurement are those of the first engine.
const FaultStalledLink = "stalledLink"

const (
	measureEntries       = 2
	memorySampleInterval = 100 * time.Millisecond
)

// Measurement is one run of one policy.
type Measurement struct {
	Deployment toucanrig.Deployment
	Policy     toucansettings.Policy
	Load       float64
	Seed       uint64
	Duration   time.Duration
	// Fault begins after a quarter of the duration and ends after three quarters; empty for none.
	Fault string
}

// Run makes the measurement. It must be called inside a bubble of testing/synctest.
func (m Measurement) Run() (Row, error) {
	rig, err := toucanrig.New(toucanrig.Config{Deployment: m.Deployment, Policy: m.Policy, Entries: measureEntries, Seed: m.Seed})
	if err != nil {
		return Row{}, err
	}
	defer rig.Stop()
	begin := time.Now()
	if m.Fault != "" {
		if err := scheduleFault(rig, m.Fault, m.Duration/4, 3*m.Duration/4); err != nil {
			return Row{}, err
		}
	}
	memory := newMemoryMeter(rig, begin.Add(m.Duration/4), begin.Add(m.Duration))
	go memory.run()
	totals := newTotals(m)
	var asked sync.WaitGroup
	for i, a := range Arrivals(m.Deployment, m.Load, m.Seed, m.Duration) {
		time.Sleep(time.Until(begin.Add(a.At)))
		asked.Go(func() { totals.add(a, rig.Complete(context.Background(), a.ask(i%measureEntries))) })
	}
	asked.Wait()
	<-memory.done
	return totals.row(rig, memory.mean()), nil
}

func (a Arrival) ask(entry int) toucancaller.Completion {
	return toucancaller.Completion{Entry: entry, Workspace: a.Workspace, Service: a.Service, Class: a.Class, Prompt: a.prompt()}
}

// scheduleFault begins a fault after from and ends it after to.
func scheduleFault(r *toucanrig.Rig, name string, from, to time.Duration) error {
	first := r.Endpoints()[0]
	if name == FaultStalledLink {
		link := toucanrig.LinkName{From: r.EntryName(0), To: first.SidecarAddress()}
		stalled := toucanrig.LinkState{Delay: toucanrig.InnerDelay, RequestsStalled: true, RepliesStalled: true}
		time.AfterFunc(from, func() { r.Network.Set(link, stalled) })
		time.AfterFunc(to, func() { r.Network.Set(link, toucanrig.LinkState{Delay: toucanrig.InnerDelay}) })
		return nil
	}
	fault := toucanfake.Fault(name)
	known := false
	for _, f := range toucanfake.Faults() {
		known = known || f == fault
	}
	if !known {
		return errors.Wrapf(ErrFaultName, "%q", name)
	}
	time.AfterFunc(from, func() { _ = first.Engine().Inject(fault) })
	time.AfterFunc(to, func() { first.Engine().Heal() })
	return nil
}

// memoryMeter samples how full the engines' memory is.
type memoryMeter struct {
	rig         *toucanrig.Rig
	from, until time.Time
	done        chan struct{}
	used, total int
}

func newMemoryMeter(rig *toucanrig.Rig, from, until time.Time) *memoryMeter {
	return &memoryMeter{rig: rig, from: from, until: until, done: make(chan struct{})}
}

func (m *memoryMeter) run() {
	defer close(m.done)
	time.Sleep(time.Until(m.from))
	for time.Now().Before(m.until) {
		for _, ep := range m.rig.Endpoints() {
			rep := ep.Engine().Report()
			m.used += rep.UsedBlocks
			m.total += rep.TotalBlocks
		}
		time.Sleep(memorySampleInterval)
	}
}

func (m *memoryMeter) mean() float64 { return float64(m.used) / float64(max(m.total, 1)) }
