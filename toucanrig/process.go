package toucanrig

import (
	"time"

	"toucanport/toucanfake"
)

// restartPause is the least time between the end of a process and the start of its successor.
const restartPause = 50 * time.Millisecond

// Operation serializes what faults do to processes.
func (r *Rig) Operation(f func()) {
	r.operations.Lock()
	defer r.operations.Unlock()
	if r.ctx.Err() == nil {
		f()
	}
}

// isolate makes a process that is about to be killed unable to reach anything.
func (r *Rig) isolate(p process, address string) {
	r.Network.Set(LinkName{From: p.name, To: Any}, LinkState{Refused: true})
	r.Network.Cut(LinkName{From: p.name, To: Any})
	r.Network.Cut(LinkName{From: Any, To: address})
	p.kill()
	r.Network.Cut(LinkName{From: Any, To: address})
}

// KillSidecar ends a sidecar at once; a new one starts after.
func (r *Rig) KillSidecar(ep *Endpoint, after time.Duration) {
	r.isolate(ep.sidecarRun, ep.spec.sidecar.String())
	r.restart(after, func() error { return r.startSidecar(ep) })
}

// KillEngine ends an engine or application instance at once; a new one starts after.
func (r *Rig) KillEngine(ep *Endpoint, after time.Duration) {
	if ep.spec.plain {
		ep.service.kill()
	} else {
		ep.engine.Kill()
	}
	r.Network.Cut(LinkName{From: Any, To: ep.spec.engine.String()})
	r.restart(after, func() error { return r.startEngine(ep) })
}

// KillEntry ends entry i at once; a new one starts after.
func (r *Rig) KillEntry(i int, after time.Duration) {
	e := r.entries[i]
	r.isolate(e.process, e.address)
	r.restart(after, func() error { return r.startEntry(e) })
}

// restart starts a process after a while, unless the rig has ended. An address that is still in use belongs to a successor
// that another fault has started.
func (r *Rig) restart(after time.Duration, start func() error) {
	time.AfterFunc(max(after, restartPause), func() {
		r.Operation(func() {
			if err := start(); err != nil {
				r.log.Warn("process not started", "error", err.Error())
			}
		})
	})
}

// Drain marks an endpoint as draining in the settings.
func (r *Rig) Drain(ep *Endpoint) {
	r.draining[ep.spec.name] = true
	if err := r.publish(); err != nil {
		r.log.Error("settings not published", "error", err.Error())
	}
}

// Inject gives an engine a fault for a while.
func (ep *Endpoint) Inject(f toucanfake.Fault, length time.Duration) {
	if ep.spec.plain {
		return
	}
	engine := ep.engine
	_ = engine.Inject(f) // every fault of the table is known
	time.AfterFunc(length, engine.Heal)
}

// Endpoints returns every endpoint in the order of the deployment.
func (r *Rig) Endpoints() []*Endpoint { return r.endpoints }

// EntryName returns the name that entry i dials sidecars from.
func (r *Rig) EntryName(i int) string { return r.entries[i].name }

// Name returns the endpoint's name, which engines record in the ledger.
func (ep *Endpoint) Name() string { return ep.spec.name }

// SidecarAddress returns where the endpoint's sidecar listens.
func (ep *Endpoint) SidecarAddress() string { return ep.spec.sidecar.String() }

// EngineAddress returns where the endpoint's engine or application instance listens.
func (ep *Endpoint) EngineAddress() string { return ep.spec.engine.String() }

// Engine returns the present engine; nil beside a plain service.
func (ep *Endpoint) Engine() *toucanfake.Engine { return ep.engine }

// Leave tells the present sidecar that its endpoint leaves.
func (ep *Endpoint) Leave() { ep.sidecar.Leave() }
