// Package toucantraffic holds the settings by which requests are routed: routes by host and path, the services behind
// them and the workspaces with their keys. A Table is one immutable version of these settings.
package toucantraffic

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines how often a request may be run and in which form it is answered.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce requests may be run once. It is the zero value, so that a request of unknown kind is never run twice.
	AtMostOnce Kind = iota
	// Idempotent requests may be run any number of times.
	Idempotent
	// Stream requests are answered by a stream of events. They are run at most once, unless their route is resumable.
	Stream
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	case AtMostOnce:
	}
	return "atMostOnce"
}

// Share assigns a part of a route's requests to a service.
type Share struct {
	Service string
	// Weight is the service's part relative to the sum of the weights of the route's shares.
	Weight float64
}

// Route maps the requests with one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to its final answer; zero means no bound.
	Timeout time.Duration
	// Goal is the target for the time from a request's arrival to its answer, or to a stream's first event. A later
	// answer is worth less. Zero means no target.
	Goal time.Duration
	// Gap is the longest pause between two events of a stream that does not count as late.
	Gap time.Duration
	// Priority is 0 for the most urgent requests and grows with falling urgency.
	Priority int
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts bounds how many endpoints may run one request. It is at least 1.
	MaxAttempts int
	// Anonymous is true if the route accepts requests without a key.
	Anonymous bool
	// Resumable is true if a stream may go on at any endpoint after the last event that its caller has. Only streams do.
	Resumable bool
	// Generates is true if requests state the length of their prompt and are answered by generated tokens.
	Generates bool
}

// CanResume reports whether the route's requests are streams that may go on at any endpoint after the last event that the caller has.
func (r Route) CanResume() bool { return r.Kind == Stream && r.Resumable }

// IsIdempotent reports whether the route's requests may be run any number of times.
func (r Route) IsIdempotent() bool { return r.Kind == Idempotent || r.CanResume() }

// Service returns the name of the service for a request. It depends only on the request id and the shares.
func (r Route) Service(requestID string) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// MemoryTokens is the number of tokens that fit into an engine's memory.
	MemoryTokens int
	// TokenBytes is the size of one token in memory, in bytes.
	TokenBytes float64
	// LinkBitsPerSecond is the rate at which engines copy memory to one another.
	LinkBitsPerSecond float64
	// Moves is true if running generations can be moved between the engines.
	Moves bool
	// Backups is true if engines can keep backups of running generations at other engines.
	Backups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleLife is how long an engine keeps a copied memory that no request resumes.
	HandleLife time.Duration
}

// Service holds the settings of one service's endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one endpoint from all callers together.
	MaxConnections int
	// ColdPerSecond is the rate of requests that an endpoint takes while it is cold; zero for any. ColdTime is how long it is
	// cold after a start.
	ColdPerSecond float64
	ColdTime      time.Duration
	// Engine is nil for services that are not model engines.
	Engine *Engine
}

// Limits bounds what a caller may send, and how slowly. A zero field means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer or tenant that sends requests.
type Workspace struct {
	Name string
	// Priority replaces the route's priority if Ranked is true.
	Priority int
	Ranked   bool
}

// Table is one version of the settings by which requests are routed. It is immutable.
type Table struct {
	// Version increases with each change of the settings.
	Version uint64
	Limits  Limits

	// byHost holds the routes of each host, longest prefix first.
	byHost     map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
	routes     int
	// mixed holds the services whose requests differ in their goals or priorities.
	mixed map[string]bool
}

// Key is one credential of a workspace.
type Key struct {
	Secret    string
	Workspace Workspace
}

// New returns a table. If two keys have the same secret, the later one is used.
func New(version uint64, routes []Route, services []Service, keys []Key, limits Limits) *Table {
	t := &Table{
		Version:    version,
		Limits:     limits,
		byHost:     make(map[string][]Route),
		services:   make(map[string]Service, len(services)),
		workspaces: make(map[string]Workspace, len(keys)),
		routes:     len(routes),
		mixed:      mixedServices(routes, keys),
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, k := range keys {
		t.workspaces[k.Secret] = k.Workspace
	}
	return t
}

// Route returns the host's route with the longest prefix that matches path, and false if none does. Case and port of
// host are ignored.
func (t *Table) Route(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with a name, and false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services in sorted order.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Workspace returns the workspace that a key belongs to, and false if the key is unknown.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// WorkspaceByName returns the workspace with a name, and false if no key belongs to one.
func (t *Table) WorkspaceByName(name string) (Workspace, bool) {
	for _, w := range t.workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}
