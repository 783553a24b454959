// Package toucantraffic holds what operators want done with requests: routes by host and path, the services behind
// them and the workspaces that may send to them. A Table is one immutable version of all of it.
package toucantraffic

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request may be carried out.
type Kind int

// The kinds of request.
const (
	// AtMostOnce requests may be carried out once; the zero value, so that an unknown kind is treated with care.
	AtMostOnce Kind = iota
	// Idempotent requests may be carried out any number of times.
	Idempotent
	// Stream requests are answered by a series of events and carried out at most once.
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

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the route's other shares.
	Weight float64
}

// Route says where the requests under one host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to its final answer; zero means no bound.
	Timeout time.Duration
	// Goal is the time within which an answer, or a stream's first event, is worth most.
	Goal time.Duration
	// Gap is the longest pause between two events of a stream that is still on time.
	Gap time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts bounds the endpoints that may run one request; at least 1.
	MaxAttempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Generates is true when requests tell their prompt and ask for generated tokens.
	Generates bool
}

// Service returns the service for a request. The same request id always gets the same one.
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
	// Slots is how many requests an engine runs at once.
	Slots int
	// MemoryTokens is how many tokens an engine keeps in memory.
	MemoryTokens int
	// TokenBytes is the size of one token in memory, in bytes.
	TokenBytes float64
	// LinkBitsPerSecond is the rate at which engines copy memory to one another.
	LinkBitsPerSecond float64
	// Moves is true when engines hand running generations to one another.
	Moves bool
	// Backups is true when engines keep copies of running generations at one another.
	Backups bool
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
	// HandleLife is how long an engine keeps a copy that nobody uses.
	HandleLife time.Duration
}

// Service describes the endpoints of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one endpoint from all callers together.
	MaxConnections int
	// Engine is nil for services that are not model engines.
	Engine *Engine
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is who a request is made for.
type Workspace struct {
	Name string
	// Priority goes before the route's when Ranked is true.
	Priority int
	Ranked   bool
}

// Table is one version of the settings for requests. It is immutable.
type Table struct {
	// Version grows with each change.
	Version uint64
	Limits  Limits

	// byHost holds each host's routes, longest prefix first.
	byHost     map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
	routes     int
}

// Key is one credential of a workspace.
type Key struct {
	Secret    string
	Workspace Workspace
}

// New returns a table. Of two keys with the same secret the later one holds.
func New(version uint64, routes []Route, services []Service, keys []Key, limits Limits) *Table {
	t := &Table{
		Version:    version,
		Limits:     limits,
		byHost:     make(map[string][]Route),
		services:   make(map[string]Service, len(services)),
		workspaces: make(map[string]Workspace, len(keys)),
		routes:     len(routes),
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, k := range keys {
		t.workspaces[k.Secret] = k.Workspace
	}
	return t
}

// Route returns the route of a host whose prefix is the longest that begins path. A port in host is ignored.
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

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services.
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

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}
