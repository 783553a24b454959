// Package toucanfault runs fault cases against a rig and checks what callers were told against the ledgers of
// engines and application instances.
package toucanfault

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanfake"
	"toucanport/toucanfakestore"
	"toucanport/toucanrig"
)

// faultKind is one way in which the system is disturbed. Endpoint faults hit the first endpoint of every
// service, and link faults the links to these from the first entry.
type faultKind struct {
	name string
	// length is how long the fault lasts, or the time until a killed process is replaced.
	length time.Duration
	begin  func(c *caseRun, length time.Duration)
}

// faultKinds returns every fault of the table.
func faultKinds() []faultKind {
	return []faultKind{
		{"cutLink", 0, (*caseRun).cutLink},
		{"stallLink", 3 * time.Second, linkFault(toucanrig.LinkState{RequestsStalled: true, RepliesStalled: true})},
		{"stallRequests", 3 * time.Second, linkFault(toucanrig.LinkState{RequestsStalled: true})},
		{"stallReplies", 3 * time.Second, linkFault(toucanrig.LinkState{RepliesStalled: true})},
		{"loseReplies", 500 * time.Millisecond, (*caseRun).loseReplies},
		{"delayLink", 2 * time.Second, linkFault(toucanrig.LinkState{Delay: 300 * time.Millisecond})},
		{"refuseLink", 3 * time.Second, (*caseRun).refuseLink},
		{"stallAllLinks", 1500 * time.Millisecond, (*caseRun).stallAllLinks},
		{"killSidecar", time.Second, (*caseRun).killSidecar},
		{"killEngine", 2 * time.Second, (*caseRun).killEngine},
		{"killBoth", 2 * time.Second, (*caseRun).killBoth},
		{"killEntry", 2 * time.Second, (*caseRun).killEntry},
		{"cutEngine", 0, (*caseRun).cutEngine},
		{"freezeEngine", 3 * time.Second, engineFault(toucanfake.FaultFrozen)},
		{"stallEngine", 3 * time.Second, engineFault(toucanfake.FaultStalled)},
		{"slowEngine", 3 * time.Second, engineFault(toucanfake.FaultSlow)},
		{"reclaimEngine", 10 * time.Second, engineFault(toucanfake.FaultReclaimed)},
		{"leave", 0, (*caseRun).leave},
		{"drain", 0, (*caseRun).drain},
		{"callersLeave", 0, (*caseRun).callersLeave},
		{"storeDown", 3 * time.Second, storeFault(toucanfakestore.Faults{Down: true})},
		{"storeSlow", 3 * time.Second, storeFault(toucanfakestore.Faults{Delay: 700 * time.Millisecond})},
		{"storeLosesReplies", 2 * time.Second, storeFault(toucanfakestore.Faults{LostReplyShare: 0.7})},
		{"storeLosesRequests", 2 * time.Second, storeFault(toucanfakestore.Faults{LostRequestShare: 0.7})},
		{"storeStalled", 3 * time.Second, (*caseRun).storeStalled},
	}
}

// ErrCase is returned for a line that is no fault case.
var ErrCase = errors.New("no fault case")

// Fault is one fault of a case.
type Fault struct {
	kind   faultKind
	length time.Duration
	// at counts from the first request.
	at time.Duration
}

// String returns the fault as ParseCase reads it.
func (f Fault) String() string { return f.kind.name + ":" + f.length.String() + "@" + f.at.String() }

// parseFault reads name[:length]@moment.
func parseFault(text string) (Fault, error) {
	what, when, ok := strings.Cut(text, "@")
	if !ok {
		return Fault{}, errors.Wrapf(ErrCase, "fault %q has no moment", text)
	}
	name, length, hasLength := strings.Cut(what, ":")
	kinds := faultKinds()
	i := slices.IndexFunc(kinds, func(k faultKind) bool { return k.name == name })
	if i < 0 {
		return Fault{}, errors.Wrapf(ErrCase, "fault %q is not known", name)
	}
	f := Fault{kind: kinds[i], length: kinds[i].length}
	var err error
	if f.at, err = time.ParseDuration(when); err != nil {
		return Fault{}, errors.Wrap(ErrCase, err.Error())
	}
	if hasLength {
		if f.length, err = time.ParseDuration(length); err != nil {
			return Fault{}, errors.Wrap(ErrCase, err.Error())
		}
	}
	return f, nil
}

// targets returns the first endpoint of every service.
func (c *caseRun) targets() []*toucanrig.Endpoint {
	var first []*toucanrig.Endpoint
	for _, ep := range c.rig.Endpoints() {
		if strings.HasSuffix(ep.Name(), "-0") {
			first = append(first, ep)
		}
	}
	return first
}

func (c *caseRun) links() []toucanrig.LinkName {
	var names []toucanrig.LinkName
	for _, ep := range c.targets() {
		names = append(names, toucanrig.LinkName{From: c.rig.EntryName(0), To: ep.SidecarAddress()})
	}
	return names
}

// linkFault gives links a state for a while.
func linkFault(s toucanrig.LinkState) func(*caseRun, time.Duration) {
	s.Delay = max(s.Delay, toucanrig.InnerDelay)
	return func(c *caseRun, length time.Duration) {
		for _, name := range c.links() {
			c.setLink(name, s, length)
		}
	}
}

func (c *caseRun) setLink(name toucanrig.LinkName, s toucanrig.LinkState, length time.Duration) {
	c.rig.Network.Set(name, s)
	time.AfterFunc(length, func() { c.rig.Network.Set(name, toucanrig.LinkState{Delay: toucanrig.InnerDelay}) })
}

func (c *caseRun) cutLink(time.Duration) {
	for _, name := range c.links() {
		c.rig.Network.Cut(name)
	}
}

func (c *caseRun) loseReplies(length time.Duration) {
	for _, name := range c.links() {
		c.setLink(name, toucanrig.LinkState{Delay: toucanrig.InnerDelay, RepliesLost: true}, length)
		time.AfterFunc(length, func() { c.rig.Network.Cut(name) })
	}
}

func (c *caseRun) refuseLink(length time.Duration) {
	for _, name := range c.links() {
		c.setLink(name, toucanrig.LinkState{Delay: toucanrig.InnerDelay, Refused: true}, length)
		c.rig.Network.Cut(name)
	}
}

func (c *caseRun) stallAllLinks(length time.Duration) {
	for _, ep := range c.rig.Endpoints() {
		stalled := toucanrig.LinkState{Delay: toucanrig.InnerDelay, RequestsStalled: true, RepliesStalled: true}
		c.setLink(toucanrig.LinkName{From: toucanrig.Any, To: ep.SidecarAddress()}, stalled, length)
	}
}

func (c *caseRun) killSidecar(length time.Duration) {
	for _, ep := range c.targets() {
		c.rig.KillSidecar(ep, length)
	}
}

func (c *caseRun) killEngine(length time.Duration) {
	for _, ep := range c.targets() {
		c.rig.KillEngine(ep, length)
	}
}

func (c *caseRun) killBoth(length time.Duration) {
	c.killEngine(length)
	c.killSidecar(length)
}

func (c *caseRun) killEntry(length time.Duration) {
	c.rig.KillEntry(0, length)
}

func (c *caseRun) cutEngine(time.Duration) {
	for _, ep := range c.targets() {
		c.rig.Network.Cut(toucanrig.LinkName{From: toucanrig.Any, To: ep.EngineAddress()})
	}
}

func engineFault(f toucanfake.Fault) func(*caseRun, time.Duration) {
	return func(c *caseRun, length time.Duration) {
		for _, ep := range c.targets() {
			ep.Inject(f, length)
		}
	}
}

func (c *caseRun) leave(time.Duration) {
	c.left("leave")
	for _, ep := range c.targets() {
		ep.Leave()
	}
}

func (c *caseRun) drain(time.Duration) {
	c.left("drain")
	for _, ep := range c.targets() {
		c.rig.Drain(ep)
	}
}

func (c *caseRun) callersLeave(time.Duration) { c.goAway() }

func storeFault(f toucanfakestore.Faults) func(*caseRun, time.Duration) {
	return func(c *caseRun, length time.Duration) {
		c.rig.Store.SetFaults(f)
		time.AfterFunc(length, func() { c.rig.Store.SetFaults(toucanfakestore.Faults{}) })
	}
}

func (c *caseRun) storeStalled(length time.Duration) {
	c.setLink(toucanrig.LinkName{From: toucanrig.Any, To: toucanrig.StoreAddress}, toucanrig.LinkState{Delay: toucanrig.InnerDelay, RepliesStalled: true}, length)
}
