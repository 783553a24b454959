// Package toucansettings defines the settings tree: one document for each team and one for the operators, each
// with its own revision.
package toucansettings

import (
	"encoding/hex"
	"net/netip"
	"time"

	"crypto/sha256"
)

// Kind is the type of a service: endpoints of a generation service are engines that run a model, those of a plain
// service are other applications.
type Kind string

// Kinds of service.
const (
	KindGeneration Kind = "generation"
	KindPlain      Kind = "plain"
)

// LatencyPriority is the latency measure that a service gives priority to.
type LatencyPriority string

// Latency measures that a service can give priority to.
const (
	PrioritizeStallTime         LatencyPriority = "stallTime"
	PrioritizeInterTokenLatency LatencyPriority = "interTokenLatency"
)

// Policy selects the implementation that makes the scheduling decisions for a service.
type Policy string

// Policies of a service.
const (
	PolicyNaive  Policy = "naive"
	PolicyToucan Policy = "toucan"
)

// Service is one model or plain application that a team's workspaces call.
type Service struct {
	Name string
	// Team owns the service; never empty.
	Team  string
	Kind  Kind
	Model string
	// Version is the model version that the engines load; when empty they keep the version they have.
	Version string
	// Adapters are the names of adapters that the engines load in addition to the model.
	Adapters []string
	Weigh    LatencyPriority
	Policy   Policy
	// FirstToken and InterToken are latency goals at the 95th percentile of requests.
	FirstToken time.Duration
	InterToken time.Duration
}

// Workspace is a tenant that sends requests to its team's services.
type Workspace struct {
	Name string
	Team string
	// KeyHashes are hex SHA-256 digests of the workspace's keys. The keys themselves are not stored.
	KeyHashes []string
	// Weight is the workspace's share of overloaded endpoints, relative to other workspaces; above zero.
	Weight float64
	// Services are the names of the services that the workspace may call; never empty.
	Services []string
	// ConcurrentRequests and TokensPerMinute are limits over all entries together; zero means no limit.
	ConcurrentRequests int
	TokensPerMinute    int
}

// Endpoint is one replica of a service, an engine or an application, with its sidecar.
type Endpoint struct {
	Name    string
	Team    string
	Service string
	// Address is the address of the sidecar's internal listener.
	Address       netip.AddrPort
	FailureDomain string
	// ChecksFencing is true when the engine refuses orders with an outdated fencing number.
	ChecksFencing bool
	// Role is the role that the engine is set to, such as "prefill"; when empty the engine keeps its role.
	Role string
	// Draining is set by operators: the endpoint takes no new work.
	Draining bool
}

// Team is one team's subtree of the settings.
type Team struct {
	Name       string
	Revision   uint64
	Services   []Service
	Workspaces []Workspace
	Endpoints  []Endpoint
}

// Tree is an immutable snapshot of all settings, indexed for lookups on the path of a request.
type Tree struct {
	teams []Team
	// byKey maps a key's digest to its workspace. When two teams added the same key at the same time, it has the
	// workspace of the team that is first by name.
	byKey       map[string]Workspace
	byService   map[serviceKey]Service
	byEndpoints map[serviceKey][]Endpoint
	// byAddress maps an endpoint's address to the name of its team.
	byAddress map[netip.AddrPort]string
	operators Operators
}

type serviceKey struct{ team, service string }

// NewTree returns a tree of teams, which must be valid and sorted by name, and must not be modified afterwards.
func NewTree(teams []Team) *Tree {
	t := &Tree{
		teams:       teams,
		byKey:       make(map[string]Workspace),
		byService:   make(map[serviceKey]Service),
		byEndpoints: make(map[serviceKey][]Endpoint),
		byAddress:   make(map[netip.AddrPort]string),
		operators:   Operators{Fleet: defaultFleet()},
	}
	for _, team := range teams {
		t.index(team)
	}
	return t
}

func (t *Tree) index(team Team) {
	for _, w := range team.Workspaces {
		for _, h := range w.KeyHashes {
			if _, exists := t.byKey[h]; !exists {
				t.byKey[h] = w
			}
		}
	}
	for _, s := range team.Services {
		t.byService[serviceKey{team.Name, s.Name}] = s
	}
	for _, e := range team.Endpoints {
		k := serviceKey{team.Name, e.Service}
		t.byEndpoints[k] = append(t.byEndpoints[k], e)
		t.byAddress[e.Address] = team.Name
	}
}

// WithOperators returns a copy of the tree with o as its operators' document. The teams are shared.
func (t *Tree) WithOperators(o Operators) *Tree {
	next := *t
	next.operators = o
	return &next
}

// Operators returns the decoded operators' document.
func (t *Tree) Operators() Operators { return t.operators }

// Teams returns all teams. The result must not be modified.
func (t *Tree) Teams() []Team { return t.teams }

// WorkspaceByKey returns the workspace that key belongs to. The lookup is by digest, so that its duration does not
// reveal how much of a guessed key is correct.
func (t *Tree) WorkspaceByKey(key string) (Workspace, bool) {
	w, ok := t.byKey[HashKey(key)]
	return w, ok
}

// Service returns the service of a team by name.
func (t *Tree) Service(team, name string) (Service, bool) {
	s, ok := t.byService[serviceKey{team, name}]
	return s, ok
}

// Endpoints returns the endpoints of a team's service. The result must not be modified.
func (t *Tree) Endpoints(team, service string) []Endpoint {
	return t.byEndpoints[serviceKey{team, service}]
}

// HashKey returns the hex SHA-256 digest of a workspace key or credential.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
