package toucanentry

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanport/toucanmember"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanwire"
)

// Members is the part of the membership that an entry uses.
type Members interface {
	// Version increases whenever an instance joins, leaves or starts to drain.
	Version() uint64
	// Entries returns the names of the entries that are not draining.
	Entries() []string
	// Sidecars returns the addresses at which the sidecars that are not draining accept links.
	Sidecars() []string
	// IsDraining reports whether the instance with the address is draining.
	IsDraining(address string) bool
	// Report applies an instance's report about its own state.
	Report(r toucanmember.Report)
}

func (e *Entry) membersVersion() uint64 {
	if e.cfg.Members == nil {
		return 0
	}
	return e.cfg.Members.Version()
}

// assignable returns the endpoints of a service that can get new work: the endpoints of this entry's subset that are
// not draining. If the subset has none, it returns all endpoints of the service that are not draining.
func (e *Entry) assignable(s toucansettings.Service, own, all []toucansettings.Endpoint) []toucanroute.Endpoint {
	if available := e.withoutDraining(s, own); len(available) > 0 {
		return available
	}
	return e.withoutDraining(s, all)
}

// withoutDraining returns the endpoints that neither the settings nor the membership list as draining.
func (e *Entry) withoutDraining(s toucansettings.Service, endpoints []toucansettings.Endpoint) []toucanroute.Endpoint {
	var out []toucanroute.Endpoint
	for _, ep := range endpoints {
		if ep.Draining || e.isDraining(ep) {
			continue
		}
		out = append(out, toucanroute.Endpoint{
			Name:          endpointKey(ep.Team, ep.Name),
			Service:       ServiceKey(s),
			FailureDomain: ep.FailureDomain,
			Address:       ep.Address,
		})
	}
	return out
}

func (e *Entry) isDraining(ep toucansettings.Endpoint) bool {
	return e.cfg.Members != nil && e.cfg.Members.IsDraining(ep.Address.String())
}

// updateEntryCount sets the number of entries that share the limits in the limiter.
func (e *Entry) updateEntryCount() {
	if e.cfg.Members != nil {
		e.cfg.Limiter.SetEntries(time.Now(), len(e.cfg.Members.Entries()))
	}
}

// subsetPicker returns the endpoints of a service that are in this entry's subset.
type subsetPicker func(service string, endpoints []toucansettings.Endpoint) []toucansettings.Endpoint

func (e *Entry) newSubsetPicker(tree *toucansettings.Tree) subsetPicker {
	if e.cfg.Members == nil {
		return func(_ string, endpoints []toucansettings.Endpoint) []toucansettings.Endpoint { return endpoints }
	}
	services := 0
	for _, team := range tree.Teams() {
		services += len(team.Services)
	}
	entries, want := e.currentEntries(time.Now()), toucanmember.SubsetSize(services)
	return func(service string, endpoints []toucansettings.Endpoint) []toucansettings.Endpoint {
		return e.pickSubset(service, entries, endpoints, want)
	}
}

// entriesInterval is the minimum time between updates of the list of entries. Each update recomputes the subsets of
// all services, and many entries join at once when a failure domain returns.
const entriesInterval = 10 * time.Second

// entryList is the list of entries among which the endpoints of each service are divided.
type entryList struct {
	names []string
	// version is the version of the membership at readAt, when names was read.
	version uint64
	readAt  time.Time
}

// entriesOutdated reports whether the list of entries must be updated: the version has changed, and the list is empty
// or entriesInterval has passed since the last update.
func (e *Entry) entriesOutdated(now time.Time, version uint64) bool {
	return version != e.entries.version && (len(e.entries.names) == 0 || now.Sub(e.entries.readAt) >= entriesInterval)
}

func (e *Entry) currentEntries(now time.Time) []string {
	if version := e.membersVersion(); e.entriesOutdated(now, version) {
		e.entries = entryList{names: e.cfg.Members.Entries(), version: version, readAt: now}
	}
	return e.entries.names
}

// subset caches the picked endpoints of one service with the inputs of the computation, which is expensive. Most
// changes of settings and membership do not affect it.
type subset struct {
	entries, names []string
	want           int
	picked         map[string]bool
}

func (s subset) computedFrom(entries, names []string, want int) bool {
	return s.want == want && slices.Equal(s.entries, entries) && slices.Equal(s.names, names)
}

func (e *Entry) pickSubset(service string, entries []string, endpoints []toucansettings.Endpoint, want int) []toucansettings.Endpoint {
	names := make([]string, len(endpoints))
	for i, ep := range endpoints {
		names[i] = endpointKey(ep.Team, ep.Name)
	}
	cached := e.pickedSubsets[service]
	if !cached.computedFrom(entries, names, want) {
		cached = subset{entries: entries, names: names, want: want, picked: make(map[string]bool)}
		for _, name := range toucanmember.Subset(e.cfg.Instance, entries, names, want) {
			cached.picked[name] = true
		}
		e.pickedSubsets[service] = cached
	}
	var out []toucansettings.Endpoint
	for i, ep := range endpoints {
		if cached.picked[names[i]] {
			out = append(out, ep)
		}
	}
	return out
}

// seedLinks is the number of sidecars that an entry without settings connects to, to receive the settings.
const seedLinks = 3

// linkToSeeds connects to a few sidecars from the membership while the entry has no settings, for example after a start
// during a store outage.
func (e *Entry) linkToSeeds(tree *toucansettings.Tree) {
	if e.cfg.Members == nil || len(tree.Teams()) > 0 {
		return
	}
	seeds := e.cfg.Members.Sidecars()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	wanted := make(map[string]bool)
	for _, address := range seeds[:min(seedLinks, len(seeds))] {
		wanted[address] = true
	}
	e.links.SetWanted(wanted)
}

// reportMember passes a sidecar's report about its own state to the membership.
func (e *Entry) reportMember(peer *toucanwire.Hello, load *toucanwire.LoadReport) {
	if e.cfg.Members == nil || load == nil {
		return
	}
	e.cfg.Members.Report(toucanmember.Report{
		Instance: peer.Instance,
		BootID:   load.BootId,
		Sequence: load.Sequence,
		Leaving:  load.Leaving,
	})
}
