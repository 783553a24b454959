package toucanmetric

import "github.com/uber-go/tally/v4"

// Engine records the state of the engine beside a sidecar. It is used by one goroutine.
type Engine struct {
	preemptions tally.Counter
	running     tally.Gauge
	queued      tally.Gauge
	usedBlocks  tally.Gauge
	totalBlocks tally.Gauge
	// seen is the engine's own count of preemptions in its last report.
	seen uint64
}

// NewEngine returns a recorder into scope.
func NewEngine(scope tally.Scope) *Engine {
	return &Engine{
		preemptions: scope.Counter("preemptions"),
		running:     scope.Gauge("running_generations"),
		queued:      scope.Gauge("queued_generations"),
		usedBlocks:  scope.Gauge("memory_used_blocks"),
		totalBlocks: scope.Gauge("memory_total_blocks"),
	}
}

// Report takes in the engine's report. preemptions counts since the engine's start, so a lower count than
// before is that of a new engine.
func (e *Engine) Report(preemptions uint64, running, usedBlocks, totalBlocks, queued int) {
	if preemptions < e.seen {
		e.seen = 0
	}
	e.preemptions.Inc(int64(preemptions - e.seen))
	e.seen = preemptions
	e.running.Update(float64(running))
	e.usedBlocks.Update(float64(usedBlocks))
	e.totalBlocks.Update(float64(totalBlocks))
	e.queued.Update(float64(queued))
}
