package toucanforward

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"toucanport/toucangeneration"
	"toucanport/toucanrefusal"
	"toucanport/toucantraffic"
)

// Metrics configures the destination of the server's counters and histograms.
type Metrics struct {
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// answerBuckets are the upper bounds of the buckets of all histograms.
var answerBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 1800 * time.Millisecond, 4 * time.Second, 10 * time.Second, 40 * time.Second,
}

// metrics holds the instruments of a server. Their number is bounded by the request kinds, status classes and refusal
// reasons, and by maxWorkspaces. It is safe for concurrent use.
type metrics struct {
	scope      tally.Scope
	retries    tally.Counter
	streamsCut tally.Counter
	// cutAtStart counts the cut streams of which no event had been passed on.
	cutAtStart tally.Counter
	// streamsLate counts streams that completed, but whose first event or a later one was late.
	streamsLate       tally.Counter
	resumed           tally.Counter
	withoutBackup     tally.Counter
	resumedFromBackup tally.Counter
	// callersResumed counts the requests whose callers resume a stream, streamsResent the streams that were sent again to another endpoint
	// within one answer, notResent those that broke and could not be.
	callersResumed, streamsResent, notResent tally.Counter
	// besideStreams counts requests placed at an endpoint where their prompts can make streams late, longPauses the streams with a
	// pause beyond the bound.
	besideStreams, longPauses tally.Counter
	// bodiesNotKept counts the requests that can be sent only once, as there was no memory for their bodies.
	bodiesNotKept tally.Counter
	// takenWhileStopping counts the attempts that were made while the server stops, cutWhileStopping the streams cut then.
	takenWhileStopping, cutWhileStopping tally.Counter

	firstEvent    tally.Histogram
	betweenEvents tally.Histogram
	held          tally.Histogram
	ranks         *rankMetrics

	// limitedSends counts, by kind, what was sent to endpoints that named a limit.
	limitedSends map[sendKind]tally.Counter

	mu       sync.Mutex
	refusals map[toucanrefusal.Reason]tally.Counter
	answers  map[answerKey]tally.Counter
	took     map[toucantraffic.Kind]tally.Histogram
	stops    map[toucangeneration.SourceState]tally.Counter
	// workspaces has at most maxWorkspaces entries plus the one of otherWorkspaces.
	workspaces map[string]workspaceCounters
}

const (
	// maxWorkspaces bounds the workspaces that have counters of their own, and so the number of time series. Further
	// workspaces share the counters of otherWorkspaces.
	maxWorkspaces   = 256
	otherWorkspaces = "other"
	// anonymousWorkspace is the workspace label of requests without a known key.
	anonymousWorkspace = "none"
)

// workspaceCounters counts the requests of a workspace by outcome: answered, refused or cut.
type workspaceCounters struct {
	answered, refused, cut tally.Counter
}

// answerKey identifies a counter of answers; class is the first digit of the status.
type answerKey struct {
	kind  toucantraffic.Kind
	class int
}

func newMetrics(m Metrics) *metrics {
	scope := m.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{
		scope:              scope,
		retries:            scope.Counter("request_retries"),
		streamsLate:        scope.Counter("streams_late"),
		streamsCut:         scope.Counter("streams_cut"),
		cutAtStart:         scope.Counter("streams_cut_at_start"),
		resumed:            scope.Counter("streams_resumed"),
		withoutBackup:      scope.Counter("streams_without_backup"),
		besideStreams:      scope.Counter("prompts_beside_streams"),
		longPauses:         scope.Counter("streams_with_long_pause"),
		resumedFromBackup:  scope.Counter("streams_resumed_from_backup"),
		callersResumed:     scope.Counter("streams_resumed_by_callers"),
		streamsResent:      scope.Counter("streams_resent"),
		notResent:          scope.Counter("streams_not_resent"),
		bodiesNotKept:      scope.Counter("request_bodies_not_kept"),
		takenWhileStopping: scope.Counter("requests_taken_while_stopping"),
		cutWhileStopping:   scope.Counter("streams_cut_while_stopping"),
		firstEvent:         scope.Histogram("first_event", answerBuckets),
		betweenEvents:      scope.Histogram("between_events", answerBuckets),
		held:               scope.Histogram("request_held", answerBuckets),
		ranks:              newRankMetrics(scope),
		limitedSends:       limitedSendCounters(scope),
		refusals:           make(map[toucanrefusal.Reason]tally.Counter),
		answers:            make(map[answerKey]tally.Counter),
		took:               make(map[toucantraffic.Kind]tally.Histogram),
		stops:              make(map[toucangeneration.SourceState]tally.Counter),
		workspaces:         make(map[string]workspaceCounters),
	}
}

// workspace returns the counters of a workspace, or those of otherWorkspaces once maxWorkspaces have their own.
func (m *metrics) workspace(name string) workspaceCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == "" {
		name = anonymousWorkspace
	}
	if c, ok := m.workspaces[name]; ok {
		return c
	}
	if len(m.workspaces) >= maxWorkspaces {
		name = otherWorkspaces
	}
	c, ok := m.workspaces[name]
	if !ok {
		counter := func(outcome string) tally.Counter {
			tags := map[string]string{"workspace": name, "outcome": outcome}
			return m.scope.Tagged(tags).Counter("workspace_requests")
		}
		c = workspaceCounters{answered: counter("answered"), refused: counter("refused"), cut: counter("cut")}
		m.workspaces[name] = c
	}
	return c
}

// refused counts a refused request.
func (m *metrics) refused(why toucanrefusal.Reason, workspace string) {
	m.workspace(workspace).refused.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.refusals[why]
	if !ok {
		c = m.scope.Tagged(map[string]string{"reason": string(why)}).Counter("requests_refused")
		m.refusals[why] = c
	}
	c.Inc(1)
}

// stopped counts the result of asking an endpoint whose stream broke to stop the generation.
func (m *metrics) stopped(state toucangeneration.SourceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.stops[state]
	if !ok {
		c = m.scope.Tagged(map[string]string{"state": string(state)}).Counter("broken_streams_stopped")
		m.stops[state] = c
	}
	c.Inc(1)
}

// answered counts an answered request and records its duration.
func (m *metrics) answered(kind toucantraffic.Kind, workspace string, status int, took time.Duration) {
	m.workspace(workspace).answered.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	key := answerKey{kind: kind, class: status / 100}
	c, ok := m.answers[key]
	if !ok {
		tags := map[string]string{"kind": kind.String(), "class": strconv.Itoa(key.class) + "xx"}
		c = m.scope.Tagged(tags).Counter("requests_answered")
		m.answers[key] = c
	}
	c.Inc(1)
	h, ok := m.took[kind]
	if !ok {
		h = m.scope.Tagged(map[string]string{"kind": kind.String()}).Histogram("request_duration", answerBuckets)
		m.took[kind] = h
	}
	h.RecordDuration(took)
}
