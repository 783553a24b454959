package toucanmetric

import "github.com/uber-go/tally/v4"

// Engine records the state of the engine beside a sidecar. It is not safe for concurrent use.
type Engine struct {
	preemptions tally.Counter
	running     tally.Gauge
	queued      tally.Gauge
	usedBlocks  tally.Gauge
	totalBlocks tally.Gauge
	// lastPreemptions is the engine's preemption count in its last report.
	lastPreemptions uint64
}

// NewEngine returns an engine recorder that writes to scope.
func NewEngine(scope tally.Scope) *Engine {
	return &Engine{
		preemptions: scope.Counter("preemptions"),
		running:     scope.Gauge("running_generations"),
		queued:      scope.Gauge("queued_generations"),
		usedBlocks:  scope.Gauge("memory_used_blocks"),
		totalBlocks: scope.Gauge("memory_total_blocks"),
	}
}

// Report records a report of the engine. preemptions counts from the engine's start; a lower count than before means
// that the engine was restarted.
func (e *Engine) Report(preemptions uint64, running, usedBlocks, totalBlocks, queued int) {
	if preemptions < e.lastPreemptions {
		e.lastPreemptions = 0
	}
	e.preemptions.Inc(int64(preemptions - e.lastPreemptions))
	e.lastPreemptions = preemptions
	e.running.Update(float64(running))
	e.usedBlocks.Update(float64(usedBlocks))
	e.totalBlocks.Update(float64(totalBlocks))
	e.queued.Update(float64(queued))
}
