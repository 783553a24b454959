package toucanrig

import (
	"time"

	"toucanport/toucanfake"
)

// restartPause is the minimum time between the end of a process and the start of its successor.
const restartPause = 50 * time.Millisecond

// RunExclusive calls f while no other fault starts or ends processes. It does nothing after Stop.
func (r *Rig) RunExclusive(f func()) {
	r.processesMu.Lock()
	defer r.processesMu.Unlock()
	if r.ctx.Err() == nil {
		f()
	}
}

// isolate refuses and cuts all connections of a process and kills it, so that no later output of it reaches other
// processes.
func (r *Rig) isolate(p process, address string) {
	r.Network.Set(LinkName{From: p.name, To: Any}, LinkState{Refused: true})
	r.Network.Cut(LinkName{From: p.name, To: Any})
	r.Network.Cut(LinkName{From: Any, To: address})
	p.kill()
	r.Network.Cut(LinkName{From: Any, To: address})
}

// KillSidecar kills a sidecar without a drain. A new one starts when after has passed.
func (r *Rig) KillSidecar(ep *Endpoint, after time.Duration) {
	r.isolate(ep.sidecarProcess, ep.spec.sidecar.String())
	r.restart(after, func() error { return r.startSidecar(ep) })
}

// KillEngine kills an engine or application instance without a drain. A new one starts when after has passed.
func (r *Rig) KillEngine(ep *Endpoint, after time.Duration) {
	if ep.spec.plain {
		ep.service.kill()
	} else {
		ep.engine.Kill()
	}
	r.Network.Cut(LinkName{From: Any, To: ep.spec.engine.String()})
	r.restart(after, func() error { return r.startEngine(ep) })
}

// KillEntry kills entry i without a drain. A new one starts when after has passed.
func (r *Rig) KillEntry(i int, after time.Duration) {
	e := r.entries[i]
	r.isolate(e.process, e.address)
	r.restart(after, func() error { return r.startEntry(e) })
}

// restart calls start when after has passed, but at least restartPause from now, unless the rig has stopped. start fails
// without harm if another fault has already started a successor at the same address.
func (r *Rig) restart(after time.Duration, start func() error) {
	time.AfterFunc(max(after, restartPause), func() {
		r.RunExclusive(func() {
			if err := start(); err != nil {
				r.log.Warn("process not started", "error", err.Error())
			}
		})
	})
}

// DrainInSettings marks an endpoint as draining in the settings and publishes them.
func (r *Rig) DrainInSettings(ep *Endpoint) {
	r.draining[ep.spec.name] = true
	if err := r.publishSettings(); err != nil {
		r.log.Error("settings not published", "error", err.Error())
	}
}

// InjectFault starts a fault of the engine and ends it after duration. It does nothing for an endpoint of a plain service.
func (ep *Endpoint) InjectFault(f toucanfake.Fault, duration time.Duration) {
	if ep.spec.plain {
		return
	}
	engine := ep.engine
	_ = engine.Inject(f) // toucanfault injects only faults that the engine supports
	time.AfterFunc(duration, engine.Heal)
}

// Endpoints returns all endpoints in the order of the deployment.
func (r *Rig) Endpoints() []*Endpoint { return r.endpoints }

// EntryName returns the address that entry i dials sidecars from. It changes when the entry restarts.
func (r *Rig) EntryName(i int) string { return r.entries[i].name }

// Name returns the endpoint's name, which its engine records in the ledger.
func (ep *Endpoint) Name() string { return ep.spec.name }

// SidecarAddress returns the address on which the endpoint's sidecar listens.
func (ep *Endpoint) SidecarAddress() string { return ep.spec.sidecar.String() }

// EngineAddress returns the address on which the endpoint's engine or application instance listens.
func (ep *Endpoint) EngineAddress() string { return ep.spec.engine.String() }

// Engine returns the current engine, or nil for an endpoint of a plain service.
func (ep *Endpoint) Engine() *toucanfake.Engine { return ep.engine }

// DrainAtSidecar makes the current sidecar drain its endpoint.
func (ep *Endpoint) DrainAtSidecar() { ep.sidecar.Drain() }
