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

// Members is what an entry needs to know of other instances.
type Members interface {
	// Version grows whenever an instance comes, goes or begins to leave.
	Version() uint64
	// Entries returns the names of the entries that stay.
	Entries() []string
	// Sidecars returns the inner addresses of the sidecars that stay.
	Sidecars() []string
	// Leaving reports whether the instance that is listed at an address leaves.
	Leaving(address string) bool
	// Report takes in what an instance told of itself.
	Report(r toucanmember.Report)
}

func (e *Entry) membersVersion() uint64 {
	if e.cfg.Members == nil {
		return 0
	}
	return e.cfg.Members.Version()
}

// usable returns the endpoints of a service that may get new work: those of this entry's subset that stay, or
// when none of them does, all that stay.
func (e *Entry) usable(s toucansettings.Service, mine, all []toucansettings.Endpoint) []toucanroute.Endpoint {
	if staying := e.staying(s, mine); len(staying) > 0 {
		return staying
	}
	return e.staying(s, all)
}

// staying leaves out the endpoints that drain, and those whose instance leaves by the platform's list.
func (e *Entry) staying(s toucansettings.Service, endpoints []toucansettings.Endpoint) []toucanroute.Endpoint {
	var out []toucanroute.Endpoint
	for _, ep := range endpoints {
		if ep.Draining || e.leaving(ep) {
			continue
		}
		out = append(out, toucanroute.Endpoint{
			Name:          endpointKey(ep.Team, ep.Name),
			Service:       serviceKey(s),
			FailureDomain: ep.FailureDomain,
			Address:       ep.Address,
		})
	}
	return out
}

func (e *Entry) leaving(ep toucansettings.Endpoint) bool {
	return e.cfg.Members != nil && e.cfg.Members.Leaving(ep.Address.String())
}

// countEntries tells the limiter how many entries share the limits.
func (e *Entry) countEntries() {
	if e.cfg.Members != nil {
		e.cfg.Limiter.SetEntries(time.Now(), len(e.cfg.Members.Entries()))
	}
}

// divider picks, of one service's endpoints, those that this entry works with.
type divider func(service string, endpoints []toucansettings.Endpoint) []toucansettings.Endpoint

func (e *Entry) subsets(tree *toucansettings.Tree) divider {
	if e.cfg.Members == nil {
		return func(_ string, endpoints []toucansettings.Endpoint) []toucansettings.Endpoint { return endpoints }
	}
	services := 0
	for _, team := range tree.Teams() {
		services += len(team.Services)
	}
	entries, want := e.knownEntries(time.Now()), toucanmember.SubsetSize(services)
	return func(service string, endpoints []toucansettings.Endpoint) []toucansettings.Endpoint {
		return e.pickSubset(service, entries, endpoints, want)
	}
}

// entriesInterval is the time between two looks at which entries there are, since each change of them makes the
// entry divide every service anew, and many come at once when a failure domain returns.
const entriesInterval = 10 * time.Second

// entryList is the entries that services are divided over.
type entryList struct {
	names []string
	// version is that of the membership when names were read, at readAt.
	version uint64
	readAt  time.Time
}

// entriesDue reports whether it is time to look at the entries again.
func (e *Entry) entriesDue(now time.Time, version uint64) bool {
	return version != e.entries.version && (len(e.entries.names) == 0 || now.Sub(e.entries.readAt) >= entriesInterval)
}

func (e *Entry) knownEntries(now time.Time) []string {
	if version := e.membersVersion(); e.entriesDue(now, version) {
		e.entries = entryList{names: e.cfg.Members.Entries(), version: version, readAt: now}
	}
	return e.entries.names
}

// subset is the division of one service's endpoints that was made last, with what it was made from. Dividing is
// costly, and most changes of settings and membership leave it as it was.
type subset struct {
	entries, names []string
	want           int
	picked         map[string]bool
}

func (s subset) madeFrom(entries, names []string, want int) bool {
	return s.want == want && slices.Equal(s.entries, entries) && slices.Equal(s.names, names)
}

func (e *Entry) pickSubset(service string, entries []string, endpoints []toucansettings.Endpoint, want int) []toucansettings.Endpoint {
	names := make([]string, len(endpoints))
	for i, ep := range endpoints {
		names[i] = endpointKey(ep.Team, ep.Name)
	}
	made := e.divided[service]
	if !made.madeFrom(entries, names, want) {
		made = subset{entries: entries, names: names, want: want, picked: make(map[string]bool)}
		for _, name := range toucanmember.Subset(e.cfg.Instance, entries, names, want) {
			made.picked[name] = true
		}
		e.divided[service] = made
	}
	var out []toucansettings.Endpoint
	for i, ep := range endpoints {
		if made.picked[names[i]] {
			out = append(out, ep)
		}
	}
	return out
}

// seedLinks is how many sidecars an entry without settings learns them from.
const seedLinks = 3

// useSeeds links to a few sidecars that the platform lists while there are no settings to say where any are,
// as when an entry starts during an outage of the store.
func (e *Entry) useSeeds(tree *toucansettings.Tree) {
	if e.cfg.Members == nil || len(tree.Teams()) > 0 {
		return
	}
	seeds := e.cfg.Members.Sidecars()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	wanted := make(map[string]bool)
	for _, address := range seeds[:min(seedLinks, len(seeds))] {
		wanted[address] = true
	}
	e.links.Want(wanted)
}

// takeMember tells the membership what the sidecar on a link said of itself.
func (e *Entry) takeMember(peer *toucanwire.Hello, load *toucanwire.LoadReport) {
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
