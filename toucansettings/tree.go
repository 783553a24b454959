// Package toucansettings is the settings tree: one document for each team and one for the operators, each
// with a revision of its own.
package toucansettings

import (
	"encoding/hex"
	"net/netip"
	"time"

	"crypto/sha256"
)

// Kind says what a service's endpoints are.
type Kind string

// The kinds of service.
const (
	KindGeneration Kind = "generation"
	KindPlain      Kind = "plain"
)

// Weigh says which measure a service's endpoints keep low first.
type Weigh string

// What a service may weigh most.
const (
	WeighStallTime         Weigh = "stallTime"
	WeighInterTokenLatency Weigh = "interTokenLatency"
)

// Policy chooses the decision code of a service.
type Policy string

// The policies.
const (
	PolicyNaive  Policy = "naive"
	PolicyToucan Policy = "toucan"
)

// Service is one model or one plain application that a team's workspaces call.
type Service struct {
	Name string
	// Team owns the service; never empty.
	Team  string
	Kind  Kind
	Model string
	// Version is the version of the model that its engines load; empty leaves them what they have.
	Version string
	// Adapters are loaded beside the model.
	Adapters []string
	Weigh    Weigh
	Policy   Policy
	// FirstToken and InterToken are the bounds kept for 95 in 100 requests.
	FirstToken time.Duration
	InterToken time.Duration
}

// Workspace sends work to its team's services.
type Workspace struct {
	Name string
	Team string
	// KeyHashes are hex SHA-256 digests of the workspace's keys. The keys themselves are kept nowhere.
	KeyHashes []string
	// Weight is the workspace's share of crowded endpoints relative to others; above zero.
	Weight float64
	// Services names what the workspace may call; never empty.
	Services []string
	// ConcurrentRequests and TokensPerMinute bound the workspace over all entries; zero means unbounded.
	ConcurrentRequests int
	TokensPerMinute    int
}

// Endpoint is one engine or application instance with its sidecar.
type Endpoint struct {
	Name    string
	Team    string
	Service string
	// Address is the sidecar's inner listener.
	Address       netip.AddrPort
	FailureDomain string
	// ChecksFencing is true when the engine refuses orders that carry an old fencing number.
	ChecksFencing bool
	// Role is what the engine is told to be, such as "prefill"; empty leaves it as it is.
	Role string
	// Draining is set by operators: the endpoint gets no new work.
	Draining bool
}

// Team is one team's subtree.
type Team struct {
	Name       string
	Revision   uint64
	Services   []Service
	Workspaces []Workspace
	Endpoints  []Endpoint
}

// Tree is an immutable snapshot of all settings, with indexes for the request path.
type Tree struct {
	teams []Team
	// byKey has the first workspace by team for a key that two teams took at the same instant.
	byKey       map[string]Workspace
	byService   map[serviceKey]Service
	byEndpoints map[serviceKey][]Endpoint
	// byAddress gives the team that owns an endpoint's address.
	byAddress map[netip.AddrPort]string
	operators Operators
}

type serviceKey struct{ team, service string }

// NewTree indexes teams, which must be valid, in the order of their names, and must not be changed afterwards.
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
			if _, taken := t.byKey[h]; !taken {
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

// WithOperators returns a tree that has o for its operators' document and shares everything else.
func (t *Tree) WithOperators(o Operators) *Tree {
	next := *t
	next.operators = o
	return &next
}

// Operators returns the operators' document.
func (t *Tree) Operators() Operators { return t.operators }

// Teams returns every team; callers must not change the result.
func (t *Tree) Teams() []Team { return t.teams }

// WorkspaceByKey returns the workspace that key belongs to. The lookup is by digest, so its duration tells
// nothing about how much of a guessed key is right.
func (t *Tree) WorkspaceByKey(key string) (Workspace, bool) {
	w, ok := t.byKey[HashKey(key)]
	return w, ok
}

// Service returns a team's service.
func (t *Tree) Service(team, name string) (Service, bool) {
	s, ok := t.byService[serviceKey{team, name}]
	return s, ok
}

// Endpoints returns the endpoints of a team's service; callers must not change the result.
func (t *Tree) Endpoints(team, service string) []Endpoint {
	return t.byEndpoints[serviceKey{team, service}]
}

// HashKey returns the hex SHA-256 digest of a workspace key or credential.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
