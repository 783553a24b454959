// Package toucanmetric records what callers experience: histograms for each workspace and class, and counts of
// requests and refusals, with a scrape endpoint in the Prometheus text format.
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
	// reportInterval is the time between takeovers of recorded values into the scrape endpoint.
	reportInterval = time.Second
	// maxWorkspaces bounds the workspaces with histograms of their own; the rest share one.
	maxWorkspaces = 512
	// otherWorkspaces is the tag of the rest.
	otherWorkspaces = "other"
)

// latencyBuckets hold the bounds that services keep, 68 ms and 1.2 s, as bucket ends.
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

// New returns the root scope of a process and the handler of its scrape endpoint, which serves the collectors too.
// Closing stops its duty.
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

// Callers records the generations of callers by workspace and class. It is safe for concurrent use.
type Callers struct {
	scope tally.Scope

	mu sync.Mutex
	// series has at most maxWorkspaces workspaces and otherWorkspaces, each with its classes.
	series     map[seriesKey]*Series
	workspaces map[string]struct{}
}

type seriesKey struct{ workspace, class string }

// NewCallers returns a recorder into scope.
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
	key := seriesKey{c.bounded(workspace), class}
	s, ok := c.series[key]
	if !ok {
		s = c.newSeries(key)
		c.series[key] = s
	}
	return s
}

func (c *Callers) bounded(workspace string) string {
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

// Refused counts a request that got no complete answer, by its code and what is known of its run.
func (c *Callers) Refused(code, ran string) {
	c.scope.Tagged(map[string]string{"code": code, "ran": ran}).Counter("refusals").Inc(1)
}

// Generation follows one caller's generation. It is not safe for concurrent use.
type Generation struct {
	series *Series
	// last is when the caller last saw progress.
	last time.Time
	// longest is the longest wait without progress, the first token included.
	longest time.Duration
	begun   bool
}

// Begin follows a generation that arrived at now.
func (s *Series) Begin(now time.Time) *Generation {
	return &Generation{series: s, last: now}
}

// Tokens records that n tokens reached the caller together.
func (g *Generation) Tokens(now time.Time, n int) {
	wait := now.Sub(g.last)
	g.last = now
	g.longest = max(g.longest, wait)
	if g.begun {
		g.series.interToken.RecordDuration(wait)
	} else {
		g.series.firstToken.RecordDuration(wait)
	}
	g.begun = true
	g.series.tokens.Inc(int64(n))
}

// End records the end of the generation.
func (g *Generation) End(now time.Time, complete bool) {
	g.series.stall.RecordDuration(max(g.longest, now.Sub(g.last)))
	if complete {
		g.series.completed.Inc(1)
	}
}
