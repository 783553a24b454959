// Package toucanmetric records metrics and serves them in the Prometheus text format: latency histograms by workspace
// and class, counts of requests and refusals, the load of engines and a process's view of the system.
package toucanmetric

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the interval at which recorded values are passed on to the scrape endpoint.
	reportInterval = time.Second
	// maxWorkspaces is the maximum number of workspaces with separate histograms; the others share one.
	maxWorkspaces = 512
	// otherWorkspaces is the tag value for the workspaces beyond maxWorkspaces.
	otherWorkspaces = "other"
)

// latencyBuckets include the latency limits of services, 68 ms and 1.2 s, as bucket bounds.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	68 * time.Millisecond,
	100 * time.Millisecond,
	250 * time.Millisecond,
	600 * time.Millisecond,
	1200 * time.Millisecond,
	2500 * time.Millisecond,
	5 * time.Second,
	15 * time.Second,
	60 * time.Second,
}

// New returns the root scope of a process and the handler of its scrape endpoint, which also serves collectors. Closing
// the closer stops the reporting goroutine.
func New(collectors ...prometheus.Collector) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors...)
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "toucan",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// Callers records the latency and results of generations by workspace and class. It is safe for concurrent use.
type Callers struct {
	scope tally.Scope

	mu sync.Mutex
	// series holds the series of at most maxWorkspaces workspaces and of otherWorkspaces, by class.
	series     map[seriesKey]*Series
	workspaces map[string]struct{}
}

type seriesKey struct{ workspace, class string }

// NewCallers returns a recorder that writes to scope.
func NewCallers(scope tally.Scope) *Callers {
	return &Callers{
		scope:      scope,
		series:     make(map[seriesKey]*Series),
		workspaces: make(map[string]struct{}),
	}
}

// Series holds the instruments of one workspace and class.
type Series struct {
	firstToken tally.Histogram
	interToken tally.Histogram
	stall      tally.Histogram
	completed  tally.Counter
	tokens     tally.Counter
}

// Series returns the instruments of a workspace and class.
func (c *Callers) Series(workspace, class string) *Series {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := seriesKey{c.workspaceTag(workspace), class}
	s, ok := c.series[key]
	if !ok {
		s = c.newSeries(key)
		c.series[key] = s
	}
	return s
}

func (c *Callers) workspaceTag(workspace string) string {
	if _, ok := c.workspaces[workspace]; ok {
		return workspace
	}
	if len(c.workspaces) >= maxWorkspaces {
		return otherWorkspaces
	}
	c.workspaces[workspace] = struct{}{}
	return workspace
}

func (c *Callers) newSeries(key seriesKey) *Series {
	scope := c.scope.Tagged(map[string]string{"workspace": key.workspace, "class": key.class})
	return &Series{
		firstToken: scope.Histogram("time_to_first_token_seconds", latencyBuckets),
		interToken: scope.Histogram("inter_token_latency_seconds", latencyBuckets),
		stall:      scope.Histogram("stall_time_seconds", latencyBuckets),
		completed:  scope.Counter("generations_completed"),
		tokens:     scope.Counter("tokens"),
	}
}

// Refused counts a request without a complete answer, by error code and by whether it ran.
func (c *Callers) Refused(code, ran string) {
	c.scope.Tagged(map[string]string{"code": code, "ran": ran}).Counter("refusals").Inc(1)
}

// Generation measures one generation as its caller sees it. It is not safe for concurrent use.
type Generation struct {
	series *Series
	// lastProgress is when the caller last received tokens; at first when the generation began.
	lastProgress time.Time
	// longestWait is the longest time between tokens so far, including the time to the first token.
	longestWait time.Duration
	hasTokens   bool
}

// Begin starts the measurement of a generation that arrived at now.
func (s *Series) Begin(now time.Time) *Generation {
	return &Generation{series: s, lastProgress: now}
}

// Tokens records that n tokens reached the caller together.
func (g *Generation) Tokens(now time.Time, n int) {
	wait := now.Sub(g.lastProgress)
	g.lastProgress = now
	g.longestWait = max(g.longestWait, wait)
	if g.hasTokens {
		g.series.interToken.RecordDuration(wait)
	} else {
		g.series.firstToken.RecordDuration(wait)
	}
	g.hasTokens = true
	g.series.tokens.Inc(int64(n))
}

// End records the end of the generation. The time since the last tokens counts as a wait.
func (g *Generation) End(now time.Time, complete bool) {
	g.series.stall.RecordDuration(max(g.longestWait, now.Sub(g.lastProgress)))
	if complete {
		g.series.completed.Inc(1)
	}
}
