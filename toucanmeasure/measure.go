// Package toucanmeasure compares policies: it sends seeded arrivals through a rig and computes latencies, goodput and
// fairness from the answers.
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

// ErrUnknownFault is returned if no fault has the given name.
var ErrUnknownFault = errors.New("unknown fault")

// FaultStalledLink stalls the link between the first entry and the first sidecar. The other faults of a measurement are the
// faults of toucanfake, applied to the first engine.
const FaultStalledLink = "stalledLink"

const (
	measureEntries       = 2
	memorySampleInterval = 100 * time.Millisecond
)

// Measurement describes a run of arrivals through a rig with one policy.
type Measurement struct {
	Deployment toucanrig.Deployment
	Policy     toucansettings.Policy
	// Load is the arrival rate of each service as a multiple of its Capacity.
	Load     float64
	Seed     uint64
	Duration time.Duration
	// Fault is the name of a fault, which lasts from a quarter to three quarters of Duration; empty for none.
	Fault string
}

// Run runs the measurement. It must be called inside a bubble of testing/synctest.
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
	memory := newMemorySampler(rig, begin.Add(m.Duration/4), begin.Add(m.Duration))
	go memory.run()
	totals := newTotals(m)
	var requests sync.WaitGroup
	for i, a := range Arrivals(m.Deployment, m.Load, m.Seed, m.Duration) {
		time.Sleep(time.Until(begin.Add(a.At)))
		requests.Go(func() { totals.add(a, rig.Complete(context.Background(), a.completion(i%measureEntries))) })
	}
	requests.Wait()
	<-memory.done
	return totals.row(rig, memory.mean()), nil
}

func (a Arrival) completion(entry int) toucancaller.Completion {
	return toucancaller.Completion{Entry: entry, Workspace: a.Workspace, Service: a.Service, Class: a.Class, Prompt: a.prompt()}
}

// scheduleFault starts a fault after from and ends it after to, both counted from now.
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
		return errors.Wrapf(ErrUnknownFault, "%q", name)
	}
	time.AfterFunc(from, func() { _ = first.Engine().Inject(fault) })
	time.AfterFunc(to, func() { first.Engine().Heal() })
	return nil
}

// memorySampler samples the memory utilization of all engines every memorySampleInterval.
type memorySampler struct {
	rig                     *toucanrig.Rig
	from, until             time.Time
	done                    chan struct{}
	usedBlocks, totalBlocks int
}

func newMemorySampler(rig *toucanrig.Rig, from, until time.Time) *memorySampler {
	return &memorySampler{rig: rig, from: from, until: until, done: make(chan struct{})}
}

func (m *memorySampler) run() {
	defer close(m.done)
	time.Sleep(time.Until(m.from))
	for time.Now().Before(m.until) {
		for _, ep := range m.rig.Endpoints() {
			rep := ep.Engine().Report()
			m.usedBlocks += rep.UsedBlocks
			m.totalBlocks += rep.TotalBlocks
		}
		time.Sleep(memorySampleInterval)
	}
}

func (m *memorySampler) mean() float64 { return float64(m.usedBlocks) / float64(max(m.totalBlocks, 1)) }
