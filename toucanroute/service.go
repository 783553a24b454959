package toucanroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeSpacing is the number of picks of a service from one probe to the next. It limits the share of requests
	// that are at risk on an ejected endpoint.
	probeSpacing = 12
	// minPeers is the number of endpoints with measurements that a median requires. With fewer, no endpoint counts as
	// slow.
	minPeers = 3
	// maxSlowDivisor limits the endpoints that can be ejected as slow to 1/maxSlowDivisor of the service's endpoints.
	maxSlowDivisor = 3
	// recoveredFactor is the multiple of the median up to which an endpoint that was ejected as slow is reinstated.
	recoveredFactor = 1.25
	// medianInterval is the time between two updates of the medians.
	medianInterval = 100 * time.Millisecond

	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// service holds the endpoints of a service and the measurements across them.
type service struct {
	states []*endpointState
	// sinceProbe counts the picks since the last probe.
	sinceProbe int

	// The medians and the mean are in seconds. A median is zero while fewer than minPeers endpoints have
	// measurements.
	medianFirstToken float64
	medianStep       float64
	meanFirstToken   float64
	medianAt         time.Time
	scratch          []float64
}

// newChoice determines the eligibility of all endpoints and computes the values across endpoints that scores depend
// on.
func (v *service) newChoice(now time.Time, q *Query, cfg *Config) choice {
	c := choice{now: now, query: q, tokens: queryTokens(q), cfg: cfg, meanFirstToken: v.meanFirstToken, medianStep: v.medianStep}
	silent := 0
	for _, s := range v.states {
		if s.isSilent(now, cfg) {
			silent++
		}
	}
	c.mostSilent = 2*silent > len(v.states)
	active, eligibleCount := 0, 0
	for _, s := range v.states {
		s.eligibility = c.eligibility(s)
		if s.eligibility == eligible {
			active += s.activeRequests()
			eligibleCount++
		}
	}
	if eligibleCount > 0 {
		c.meanActive = float64(active) / float64(eligibleCount)
	}
	return c
}

// choose returns the endpoint for the query, or nil if there is none. It does not allocate memory.
func (v *service) choose(c *choice, rnd *rand.Rand) *endpointState {
	if s := v.chooseProbe(c); s != nil {
		return s
	}
	if c.query.Key != "" {
		if s := v.chooseByKey(c); s != nil {
			return s
		}
	}
	return v.chooseByScore(c, rnd)
}

// chooseProbe returns the endpoint whose probe has been due the longest, or nil if none is due. Retries are not used
// as probes, since they should reach a working endpoint.
func (v *service) chooseProbe(c *choice) *endpointState {
	if len(c.query.Exclude) > 0 || v.sinceProbe < probeSpacing {
		return nil
	}
	var due *endpointState
	for _, s := range v.states {
		if c.probeDue(s) && (due == nil || s.ejectedUntil.Before(due.ejectedUntil)) {
			due = s
		}
	}
	return due
}

func (v *service) chooseByKey(c *choice) *endpointState {
	keyHash := xxhash.Sum64String(c.query.Key)
	var best *endpointState
	var bestRank uint64
	for _, s := range v.states {
		if s.eligibility != eligible || !c.withinBound(s) {
			continue
		}
		if rank := keyRank(keyHash, s); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

func (v *service) chooseByScore(c *choice, rnd *rand.Rand) *endpointState {
	var best *endpointState
	var bestScore float64
	bestEligibility := ineligible
	for _, s := range v.states {
		if s.eligibility == ineligible || s.eligibility < bestEligibility {
			continue
		}
		score := c.score(s, rnd.Float64())
		if s.eligibility > bestEligibility || score < bestScore {
			best, bestScore, bestEligibility = s, score, s.eligibility
		}
	}
	if best != nil {
		return best
	}
	return v.chooseAnyProbe(c)
}

// chooseAnyProbe returns an endpoint that is due for a probe, regardless of probeSpacing. It is the last resort when
// no endpoint is eligible.
func (v *service) chooseAnyProbe(c *choice) *endpointState {
	for _, s := range v.states {
		if c.probeDue(s) && !slices.Contains(c.query.Exclude, s.endpoint.Name) {
			return s
		}
	}
	return nil
}

// retryAfter returns the time after which an endpoint is expected to take the query, between minRetryAfter and
// maxRetryAfter.
func (v *service) retryAfter(c *choice) time.Duration {
	earliest := maxRetryAfter
	known := false
	for _, s := range v.states {
		if s.refusesWork() {
			continue
		}
		wait := max(s.ejectedUntil.Sub(c.now), s.fullUntil.Sub(c.now))
		if s.isFull(c.now, c.tokens) {
			wait = max(wait, s.load.Wait)
		}
		if wait > 0 {
			earliest = min(earliest, wait)
			known = true
		}
	}
	if !known {
		return defaultRetryAfter
	}
	return max(earliest, minRetryAfter)
}

// updateMedians recomputes the medians and the mean once per medianInterval.
func (v *service) updateMedians(now time.Time) {
	if !v.medianAt.IsZero() && now.Sub(v.medianAt) < medianInterval {
		return
	}
	v.medianAt = now
	v.scratch = v.scratch[:0]
	sum := 0.0
	for _, s := range v.states {
		if s.samples >= minSlowSamples {
			v.scratch = append(v.scratch, s.firstToken)
			sum += s.firstToken
		}
	}
	v.meanFirstToken = sum / float64(max(1, len(v.scratch)))
	v.medianFirstToken = median(v.scratch)
	v.scratch = v.scratch[:0]
	for _, s := range v.states {
		if s.step > 0 {
			v.scratch = append(v.scratch, s.step)
		}
	}
	v.medianStep = median(v.scratch)
}

func median(values []float64) float64 {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// exceeds reports whether the endpoint's step time is above factor times the service's median. For an endpoint that
// reports no step times, it compares first-token times.
func (v *service) exceeds(s *endpointState, factor float64) bool {
	if s.step == 0 && v.medianFirstToken > 0 && s.samples >= minSlowSamples && s.firstToken > factor*v.medianFirstToken {
		return true
	}
	return v.medianStep > 0 && s.step > factor*v.medianStep
}

// ejectIfSlow ejects the endpoint if it is slow and not too many endpoints of the service are ejected as slow
// already.
func (v *service) ejectIfSlow(now time.Time, s *endpointState, cfg *Config) {
	if s.ejections > 0 || !v.exceeds(s, cfg.SlowFactor) {
		return
	}
	slow := 0
	for _, other := range v.states {
		if other.ejectedAsSlow {
			slow++
		}
	}
	if slow < len(v.states)/maxSlowDivisor {
		s.eject(now, cfg, true)
	}
}
