package toucanfake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault names a way in which a stand-in engine misbehaves.
type Fault string

// The faults of an engine.
const (
	// FaultSlow makes every step take slowFactor times as long.
	FaultSlow Fault = "slowEngine"
	// FaultFrozen stops steps and answers; connections stay open.
	FaultFrozen Fault = "frozenEngine"
	// FaultDead closes every connection and loses every generation.
	FaultDead Fault = "deadEngine"
	// FaultStalled stops answers while steps go on.
	FaultStalled Fault = "stalledConnection"
	// FaultReclaimed announces that the engine leaves and kills it reclaimNotice later.
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

// ErrFault is returned for a name that is no fault.
var ErrFault = errors.New("unknown fault")

// Inject makes the engine misbehave until Heal. A dead engine stays dead.
func (e *Engine) Inject(f Fault) error {
	switch f {
	case FaultSlow:
		e.SetSlowdown(slowFactor)
	case FaultFrozen:
		e.steps.shut()
		e.answers.shut()
	case FaultStalled:
		e.answers.shut()
	case FaultDead:
		e.Kill()
	case FaultReclaimed:
		e.Reclaim(reclaimNotice)
	default:
		return errors.Wrapf(ErrFault, "%q", f)
	}
	return nil
}

// Heal ends slowness, freezes and stalls.
func (e *Engine) Heal() {
	e.SetSlowdown(1)
	e.steps.open()
	e.answers.open()
}

// SetSlowdown makes every later step take factor times as long.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Kill closes every connection and ends Run. All generations are lost.
func (e *Engine) Kill() { e.kill() }

// Reclaim announces that the engine leaves and kills it after notice.
func (e *Engine) Reclaim(notice time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	timer := time.AfterFunc(notice, e.Kill)
	context.AfterFunc(e.ctx, func() { timer.Stop() })
}

// gate holds callers of wait while it is shut.
type gate struct {
	mu sync.Mutex
	// opened is nil while the gate is open and closed when it opens again.
	opened chan struct{}
}

func (g *gate) shut() {
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

// wait returns nil once the gate is open, or ctx's error.
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
