package toucanrig

import (
	"time"

	"toucanport/toucanfake"
)

// restartPause is the least time between the end of a process and the start of its successor.
const restartPause = 50 * time.Millisecond

// operation serializes what faults do to processes.
func (r *Rig) operation(f func()) {
	r.operations.Lock()
	defer r.operations.Unlock()
	if r.ctx.Err() == nil {
		f()
	}
}

// isolate makes a process that is about to be killed unable to reach anything.
func (r *Rig) isolate(p process, address string) {
	r.Network.Set(LinkName{p.name, Any}, LinkState{Refused: true})
	r.Network.Cut(LinkName{p.name, Any})
	r.Network.Cut(LinkName{Any, address})
	p.kill()
	r.Network.Cut(LinkName{Any, address})
}

// killSidecar ends a sidecar at once; a new one starts after.
func (r *Rig) killSidecar(ep *endpointProcesses, after time.Duration) {
	r.isolate(ep.sidecarRun, ep.spec.sidecar.String())
	r.restart(after, func() error { return r.startSidecar(ep) })
}

// killEngine ends an engine or application instance at once; a new one starts after.
func (r *Rig) killEngine(ep *endpointProcesses, after time.Duration) {
	if ep.spec.plain {
		ep.service.kill()
	} else {
		ep.engine.Kill()
	}
	r.Network.Cut(LinkName{Any, ep.spec.engine.String()})
	r.restart(after, func() error { return r.startEngine(ep) })
}

// killEntry ends an entry at once; a new one starts after.
func (r *Rig) killEntry(e *entryProcess, after time.Duration) {
	r.isolate(e.process, e.address)
	r.restart(after, func() error { return r.startEntry(e) })
}

// restart starts a process after a while, unless the rig has ended. An address that is still in use belongs to a successor
// that another fault has started.
func (r *Rig) restart(after time.Duration, start func() error) {
	time.AfterFunc(max(after, restartPause), func() {
		r.operation(func() {
			if err := start(); err != nil {
				r.log.Warn("process not started", "error", err.Error())
			}
		})
	})
}

// drain marks an endpoint as draining in the settings.
func (r *Rig) drain(ep *endpointProcesses) {
	r.draining[ep.spec.name] = true
	if err := r.publish(); err != nil {
		r.log.Error("settings not published", "error", err.Error())
	}
}

// inject gives an engine a fault for a while.
func (ep *endpointProcesses) inject(f toucanfake.Fault, length time.Duration) {
	if ep.spec.plain {
		return
	}
	engine := ep.engine
	_ = engine.Inject(f) // every fault of the table is known
	time.AfterFunc(length, engine.Heal)
}
