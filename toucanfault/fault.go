// Package toucanfault runs fault cases against a rig and checks the callers' answers against the ledgers of engines and
// application instances.
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

// faultKind is a type of fault. Faults of endpoints affect the first endpoint of every service; faults of links affect the
// links from the first entry to these endpoints.
type faultKind struct {
	name string
	// duration is how long the fault lasts, or the time until a killed process is replaced, unless a case sets its own.
	duration time.Duration
	start    func(c *caseRun, duration time.Duration)
}

// faultKinds returns all types of faults, with the names that fault cases use.
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

// ErrInvalidCase is returned for a line that can't be parsed as a fault case.
var ErrInvalidCase = errors.New("invalid fault case")

// Fault is a fault of a case, with its start and duration.
type Fault struct {
	kind     faultKind
	duration time.Duration
	// at is the start, counted from the start of the case.
	at time.Duration
}

// String returns the fault in the form that ParseCase accepts.
func (f Fault) String() string { return f.kind.name + ":" + f.duration.String() + "@" + f.at.String() }

// parseFault parses a fault of the form name[:duration]@start.
func parseFault(text string) (Fault, error) {
	kind, start, ok := strings.Cut(text, "@")
	if !ok {
		return Fault{}, errors.Wrapf(ErrInvalidCase, "fault %q has no @start", text)
	}
	name, duration, hasDuration := strings.Cut(kind, ":")
	kinds := faultKinds()
	i := slices.IndexFunc(kinds, func(k faultKind) bool { return k.name == name })
	if i < 0 {
		return Fault{}, errors.Wrapf(ErrInvalidCase, "unknown fault %q", name)
	}
	f := Fault{kind: kinds[i], duration: kinds[i].duration}
	var err error
	if f.at, err = time.ParseDuration(start); err != nil {
		return Fault{}, errors.Wrap(ErrInvalidCase, err.Error())
	}
	if hasDuration {
		if f.duration, err = time.ParseDuration(duration); err != nil {
			return Fault{}, errors.Wrap(ErrInvalidCase, err.Error())
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

func (c *caseRun) targetLinks() []toucanrig.LinkName {
	var names []toucanrig.LinkName
	for _, ep := range c.targets() {
		names = append(names, toucanrig.LinkName{From: c.rig.EntryName(0), To: ep.SidecarAddress()})
	}
	return names
}

// linkFault returns a fault that sets the state of the target links for its duration.
func linkFault(s toucanrig.LinkState) func(*caseRun, time.Duration) {
	s.Delay = max(s.Delay, toucanrig.InnerDelay)
	return func(c *caseRun, duration time.Duration) {
		for _, name := range c.targetLinks() {
			c.setLink(name, s, duration)
		}
	}
}

func (c *caseRun) setLink(name toucanrig.LinkName, s toucanrig.LinkState, duration time.Duration) {
	c.rig.Network.Set(name, s)
	time.AfterFunc(duration, func() { c.rig.Network.Set(name, toucanrig.LinkState{Delay: toucanrig.InnerDelay}) })
}

func (c *caseRun) cutLink(time.Duration) {
	for _, name := range c.targetLinks() {
		c.rig.Network.Cut(name)
	}
}

func (c *caseRun) loseReplies(duration time.Duration) {
	for _, name := range c.targetLinks() {
		c.setLink(name, toucanrig.LinkState{Delay: toucanrig.InnerDelay, RepliesLost: true}, duration)
		time.AfterFunc(duration, func() { c.rig.Network.Cut(name) })
	}
}

func (c *caseRun) refuseLink(duration time.Duration) {
	for _, name := range c.targetLinks() {
		c.setLink(name, toucanrig.LinkState{Delay: toucanrig.InnerDelay, Refused: true}, duration)
		c.rig.Network.Cut(name)
	}
}

func (c *caseRun) stallAllLinks(duration time.Duration) {
	for _, ep := range c.rig.Endpoints() {
		stalled := toucanrig.LinkState{Delay: toucanrig.InnerDelay, RequestsStalled: true, RepliesStalled: true}
		c.setLink(toucanrig.LinkName{From: toucanrig.Any, To: ep.SidecarAddress()}, stalled, duration)
	}
}

func (c *caseRun) killSidecar(duration time.Duration) {
	for _, ep := range c.targets() {
		c.rig.KillSidecar(ep, duration)
	}
}

func (c *caseRun) killEngine(duration time.Duration) {
	for _, ep := range c.targets() {
		c.rig.KillEngine(ep, duration)
	}
}

func (c *caseRun) killBoth(duration time.Duration) {
	c.killEngine(duration)
	c.killSidecar(duration)
}

func (c *caseRun) killEntry(duration time.Duration) {
	c.rig.KillEntry(0, duration)
}

func (c *caseRun) cutEngine(time.Duration) {
	for _, ep := range c.targets() {
		c.rig.Network.Cut(toucanrig.LinkName{From: toucanrig.Any, To: ep.EngineAddress()})
	}
}

func engineFault(f toucanfake.Fault) func(*caseRun, time.Duration) {
	return func(c *caseRun, duration time.Duration) {
		for _, ep := range c.targets() {
			ep.InjectFault(f, duration)
		}
	}
}

// leave makes the sidecars of the targets drain their endpoints.
func (c *caseRun) leave(time.Duration) {
	c.recordDraining("leave")
	for _, ep := range c.targets() {
		ep.DrainAtSidecar()
	}
}

// drain marks the targets as draining in the settings.
func (c *caseRun) drain(time.Duration) {
	c.recordDraining("drain")
	for _, ep := range c.targets() {
		c.rig.DrainInSettings(ep)
	}
}

func (c *caseRun) callersLeave(time.Duration) { c.cancelCallers() }

func storeFault(f toucanfakestore.Faults) func(*caseRun, time.Duration) {
	return func(c *caseRun, duration time.Duration) {
		c.rig.Store.SetFaults(f)
		time.AfterFunc(duration, func() { c.rig.Store.SetFaults(toucanfakestore.Faults{}) })
	}
}

func (c *caseRun) storeStalled(duration time.Duration) {
	c.setLink(toucanrig.LinkName{From: toucanrig.Any, To: toucanrig.StoreAddress}, toucanrig.LinkState{Delay: toucanrig.InnerDelay, RepliesStalled: true}, duration)
}
