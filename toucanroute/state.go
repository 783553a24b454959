package toucanroute

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentDispatches is the number of latest requests to an endpoint whose send times are kept.
	recentDispatches = 8
	// sentPrefixes is the number of latest prefixes sent to an endpoint that are assumed to be cached there.
	sentPrefixes = 32
	// reportLag is the assumed delay from the sidecar's measurement of a report to its arrival. Requests sent within
	// it are not in the report.
	reportLag = 5 * time.Millisecond
	// expectedOutputTokens is assumed for a request without a lower output limit.
	expectedOutputTokens = 512
	// firstTokenWeight is the weight of an observation in the moving average of first-token times.
	firstTokenWeight = 0.2
	// slowProbeWeight replaces firstTokenWeight for an endpoint that is ejected as slow, because its observations are
	// few.
	slowProbeWeight = 0.5
	// minSlowSamples is the number of first-token times required before an endpoint can be ejected for them.
	minSlowSamples = 5
	// stepWindow is the averaging window of step times.
	stepWindow = 2 * time.Second
	// probeTimeout is the time after which a probe that has not finished is ignored, so that the next one can be
	// sent.
	probeTimeout = 30 * time.Second
)

// dispatch records a request sent to an endpoint.
type dispatch struct {
	at     time.Time
	tokens int
}

// endpointState holds the load, latency and failures of an endpoint as seen by this router.
type endpointState struct {
	endpoint Endpoint
	nameHash uint64
	filter   reportFilter
	// load is the last accepted report. Its CachedPrefixes are a sorted copy owned by the state.
	load Load
	// reportedAt is the time of the last report, or of the first listing if there was none.
	reportedAt time.Time
	// answeredAt is the time of the last first token or response.
	answeredAt time.Time
	// hasLoad is true once a report was accepted.
	hasLoad bool

	// otherEntriesRequests is the number of requests of other entries at the time of the last report.
	otherEntriesRequests int

	// outstanding counts the requests that this router sent and that have not finished.
	outstanding int
	// unreported counts the requests that were sent too late for the last report; at most outstanding.
	unreported       int
	unreportedTokens int
	recent           [recentDispatches]dispatch
	nextRecent       int

	prefixes   [sentPrefixes]uint64
	nextPrefix int

	// step is a moving average of the reported step times, in seconds, with window stepWindow.
	step float64
	// firstToken is a moving average of first-token times, in seconds. samples counts the observations.
	firstToken float64
	samples    int

	// ejections counts the consecutive ejections; zero unless the endpoint is ejected.
	ejections    int
	ejectedUntil time.Time
	// ejectedAsSlow is true while the endpoint is ejected for being slow rather than for failing.
	ejectedAsSlow bool
	// probing is true while a probe is in progress. An ejected endpoint gets one probe at a time.
	probing   bool
	probeSent time.Time

	// fullUntil and fullTokens record a refusal: until fullUntil, requests of at least fullTokens tokens are not
	// sent.
	fullUntil  time.Time
	fullTokens int

	// eligibility is valid only during the current choice.
	eligibility eligibility
}

func newEndpointState(now time.Time, e Endpoint) *endpointState {
	return &endpointState{endpoint: e, nameHash: xxhash.Sum64String(e.Name), reportedAt: now}
}

// queryTokens returns the engine memory that q is expected to hold at its peak, in tokens.
func queryTokens(q *Query) int {
	output := expectedOutputTokens
	if q.MaxTokens > 0 {
		output = min(output, q.MaxTokens)
	}
	return q.PromptTokens + output
}

func (s *endpointState) applyReport(now time.Time, l Load) {
	cached := append(s.load.CachedPrefixes[:0], l.CachedPrefixes...)
	slices.Sort(cached)
	s.observeStep(now, l.StepTime)
	s.load = l
	s.load.CachedPrefixes = cached
	s.hasLoad = true
	s.reportedAt = now
	s.recountUnreported(now)
	s.otherEntriesRequests = max(0, l.Running+l.Queued-(s.outstanding-s.unreported))
	if l.Queued == 0 {
		s.fullUntil = time.Time{}
	}
}

// recountUnreported keeps only the requests that were sent too late to be included in a report that arrives now.
func (s *endpointState) recountUnreported(now time.Time) {
	s.unreported, s.unreportedTokens = 0, 0
	for _, d := range s.recent {
		if !d.at.IsZero() && now.Sub(d.at) < reportLag && s.unreported < s.outstanding {
			s.unreported++
			s.unreportedTokens += d.tokens
		}
	}
}

func (s *endpointState) recordSent(now time.Time, q *Query) {
	tokens := queryTokens(q)
	s.outstanding++
	s.unreported++
	s.unreportedTokens += tokens
	s.recent[s.nextRecent] = dispatch{at: now, tokens: tokens}
	s.nextRecent = (s.nextRecent + 1) % recentDispatches
	if q.PrefixHash != 0 && !slices.Contains(s.prefixes[:], q.PrefixHash) {
		s.prefixes[s.nextPrefix] = q.PrefixHash
		s.nextPrefix = (s.nextPrefix + 1) % sentPrefixes
	}
}

// removeOutstanding removes one outstanding request.
func (s *endpointState) removeOutstanding() {
	if s.outstanding == 0 {
		return
	}
	s.outstanding--
	if s.unreported > s.outstanding {
		s.unreportedTokens = s.unreportedTokens * s.outstanding / s.unreported
		s.unreported = s.outstanding
	}
}

// observeStep updates the moving average of step times. It weights by time because single step times vary with the
// prompts that they compute.
func (s *endpointState) observeStep(now time.Time, step time.Duration) {
	if step <= 0 {
		return
	}
	if s.step == 0 {
		s.step = step.Seconds()
		return
	}
	weight := 1 - math.Exp(-now.Sub(s.reportedAt).Seconds()/stepWindow.Seconds())
	s.step += weight * (step.Seconds() - s.step)
}

func (s *endpointState) observeFirstToken(firstToken time.Duration) {
	if firstToken <= 0 {
		return
	}
	s.samples++
	if s.samples == 1 {
		s.firstToken = firstToken.Seconds()
		return
	}
	weight := firstTokenWeight
	if s.ejectedAsSlow {
		weight = slowProbeWeight
	}
	s.firstToken += weight * (firstToken.Seconds() - s.firstToken)
}

// recordRefusal excludes the endpoint from requests of the same size or larger for cfg.RefusalPeriod.
func (s *endpointState) recordRefusal(now time.Time, q *Query, cfg *Config) {
	tokens := queryTokens(q)
	if now.Before(s.fullUntil) {
		tokens = min(tokens, s.fullTokens)
	}
	s.fullTokens = tokens
	s.fullUntil = now.Add(cfg.RefusalPeriod)
}

// eject starts or extends the period in which the endpoint gets no requests other than probes. The period doubles
// with each consecutive ejection, from MinEjection up to MaxEjection.
func (s *endpointState) eject(now time.Time, cfg *Config, slow bool) {
	if now.Before(s.ejectedUntil) {
		return
	}
	period := cfg.MaxEjection
	if s.ejections < 16 {
		period = min(cfg.MaxEjection, cfg.MinEjection<<s.ejections)
	}
	s.ejections++
	s.ejectedUntil = now.Add(period)
	s.ejectedAsSlow = slow
}

func (s *endpointState) reinstate() {
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.ejectedAsSlow = false
}

func (s *endpointState) isSilent(now time.Time, cfg *Config) bool {
	return now.Sub(s.reportedAt) > cfg.SilentAfter && now.Sub(s.answeredAt) > cfg.SilentAfter
}

// refusesWork reports whether the endpoint must not be sent any request, not even a probe.
func (s *endpointState) refusesWork() bool {
	return s.hasLoad && (s.load.Leaving || !s.load.Healthy)
}

func (s *endpointState) isFull(now time.Time, tokens int) bool {
	return now.Before(s.fullUntil) && tokens >= s.fullTokens
}

func (s *endpointState) probeDue(now time.Time) bool {
	if s.probing && now.Sub(s.probeSent) < probeTimeout {
		return false
	}
	return !now.Before(s.ejectedUntil)
}

// activeRequests returns the number of requests on the endpoint: those of this router, and those of other entries
// according to the last report.
func (s *endpointState) activeRequests() int {
	return s.otherEntriesRequests + s.outstanding
}

// estimatedWait returns the reported wait, in seconds, scaled by the change in the number of requests since the
// report.
func (s *endpointState) estimatedWait() float64 {
	reported := s.load.Running + s.load.Queued
	if reported == 0 {
		return s.load.Wait.Seconds()
	}
	return s.load.Wait.Seconds() * float64(s.activeRequests()) / float64(reported)
}

func (s *endpointState) holdsPrefix(hash uint64) bool {
	if hash == 0 {
		return false
	}
	if _, ok := slices.BinarySearch(s.load.CachedPrefixes, hash); ok {
		return true
	}
	return slices.Contains(s.prefixes[:], hash)
}
