package toucanfake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault names a fault that can be injected into an engine.
type Fault string

// The faults that Inject accepts.
const (
	// FaultSlow makes every step take slowFactor times as long.
	FaultSlow Fault = "slowEngine"
	// FaultFrozen stops decoding steps and answers, while connections stay open.
	FaultFrozen Fault = "frozenEngine"
	// FaultDead kills the engine: it closes every connection and loses every generation.
	FaultDead Fault = "deadEngine"
	// FaultStalled stops answers while decoding steps continue.
	FaultStalled Fault = "stalledConnection"
	// FaultReclaimed reports the engine as draining and kills it after reclaimNotice, as when the platform reclaims
	// an instance.
	FaultReclaimed Fault = "reclaimedEngine"
)

const (
	slowFactor    = 4
	reclaimNotice = 10 * time.Second
)

// Faults returns every fault of an engine.
func Faults() []Fault {
	return []Fault{FaultSlow, FaultFrozen, FaultDead, FaultStalled, FaultReclaimed}
}

// ErrUnknownFault is returned for an unknown fault name.
var ErrUnknownFault = errors.New("unknown fault")

// Inject starts a fault. Heal ends it, unless the fault kills the engine.
func (e *Engine) Inject(f Fault) error {
	switch f {
	case FaultSlow:
		e.SetSlowdown(slowFactor)
	case FaultFrozen:
		e.steps.close()
		e.answers.close()
	case FaultStalled:
		e.answers.close()
	case FaultDead:
		e.Kill()
	case FaultReclaimed:
		e.Reclaim(reclaimNotice)
	default:
		return errors.Wrapf(ErrUnknownFault, "%q", f)
	}
	return nil
}

// Heal ends FaultSlow, FaultFrozen and FaultStalled. It does not stop a reclaim or restart a dead engine.
func (e *Engine) Heal() {
	e.SetSlowdown(1)
	e.steps.open()
	e.answers.open()
}

// SetSlowdown multiplies the duration of every later step by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Kill closes every connection, makes Run return and loses all generations.
func (e *Engine) Kill() { e.kill() }

// Reclaim reports the engine as draining in its load reports and kills it after notice.
func (e *Engine) Reclaim(notice time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	timer := time.AfterFunc(notice, e.Kill)
	context.AfterFunc(e.ctx, func() { timer.Stop() })
}

// gate blocks the callers of wait while it is closed.
type gate struct {
	mu sync.Mutex
	// opened is nil while the gate is open. While the gate is closed, it is a channel that open closes.
	opened chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks until the gate is open or ctx is done, and returns ctx.Err().
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return ctx.Err()
	}
	select {
	case <-opened:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
