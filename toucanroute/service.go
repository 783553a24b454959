package toucanroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeSpacing is the picks of a service between two probes, so that at most one request in so many risks
	// an endpoint that is set aside.
	probeSpacing = 12
	// minPeers is how many endpoints must be measured before one can be called slow.
	minPeers = 3
	// slowShare is the divisor of a service's endpoints that can be set aside for being slow.
	slowShare = 3
	// recoveredFactor is how near to the median a slow endpoint must come to be restored.
	recoveredFactor = 1.25
	// medianInterval is how long medians are kept before they are computed again.
	medianInterval = 100 * time.Millisecond

	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// service holds the candidates of one service.
type service struct {
	states []*state
	// sinceProbe counts the picks since the last probe.
	sinceProbe int

	// medians are in seconds; zero while fewer than minPeers endpoints are measured.
	medianFirstToken float64
	medianStep       float64
	meanFirstToken   float64
	medianAt         time.Time
	scratch          []float64
}

// newChoice judges all candidates and takes the measures over them that single scores refer to.
func (v *service) newChoice(now time.Time, q *Query, cfg *Config) choice {
	c := choice{now: now, query: q, tokens: queryTokens(q), cfg: cfg, meanFirstToken: v.meanFirstToken, medianStep: v.medianStep}
	silent := 0
	for _, s := range v.states {
		if s.silent(now, cfg) {
			silent++
		}
	}
	c.allSilent = 2*silent > len(v.states)
	busy, usable := 0, 0
	for _, s := range v.states {
		s.standing = c.judge(s)
		if s.standing == standingUsable {
			busy += s.busy()
			usable++
		}
	}
	if usable > 0 {
		c.meanBusy = float64(busy) / float64(usable)
	}
	return c
}

// choose returns the endpoint for the query, or nil. It allocates nothing.
func (v *service) choose(c *choice, rnd *rand.Rand) *state {
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

// chooseProbe returns the endpoint whose probe has been due longest. Retries are not spent on probes.
func (v *service) chooseProbe(c *choice) *state {
	if len(c.query.Exclude) > 0 || v.sinceProbe < probeSpacing {
		return nil
	}
	var due *state
	for _, s := range v.states {
		if c.probe(s) && (due == nil || s.holdUntil.Before(due.holdUntil)) {
			due = s
		}
	}
	return due
}

func (v *service) chooseByKey(c *choice) *state {
	keyHash := xxhash.Sum64String(c.query.Key)
	var best *state
	var bestRank uint64
	for _, s := range v.states {
		if s.standing != standingUsable || !c.withinBound(s) {
			continue
		}
		if rank := keyRank(keyHash, s); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

func (v *service) chooseByScore(c *choice, rnd *rand.Rand) *state {
	var best *state
	var bestScore float64
	bestStanding := standingNone
	for _, s := range v.states {
		if s.standing == standingNone || s.standing < bestStanding {
			continue
		}
		score := c.score(s, rnd.Float64())
		if s.standing > bestStanding || score < bestScore {
			best, bestScore, bestStanding = s, score, s.standing
		}
	}
	if best != nil {
		return best
	}
	return v.chooseOverdue(c)
}

// chooseOverdue returns a probe when nothing else is left, whatever the spacing.
func (v *service) chooseOverdue(c *choice) *state {
	for _, s := range v.states {
		if c.probe(s) && !slices.Contains(c.query.Exclude, s.endpoint.Name) {
			return s
		}
	}
	return nil
}

// retryAfter is the earliest time at which an endpoint may take the query.
func (v *service) retryAfter(c *choice) time.Duration {
	earliest := maxRetryAfter
	known := false
	for _, s := range v.states {
		if s.refusesWork() {
			continue
		}
		wait := max(s.holdUntil.Sub(c.now), s.fullUntil.Sub(c.now))
		if s.full(c.now, c.tokens) {
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

// measure computes the medians anew when the last ones are old.
func (v *service) measure(now time.Time) {
	if !v.medianAt.IsZero() && now.Sub(v.medianAt) < medianInterval {
		return
	}
	v.medianAt = now
	v.scratch = v.scratch[:0]
	sum := 0.0
	for _, s := range v.states {
		if s.samples >= slowSamples {
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

// exceeds reports whether one of the endpoint's measures is above factor times its service's median.
func (v *service) exceeds(s *state, factor float64) bool {
	if s.step == 0 && v.medianFirstToken > 0 && s.samples >= slowSamples && s.firstToken > factor*v.medianFirstToken {
		return true
	}
	return v.medianStep > 0 && s.step > factor*v.medianStep
}

// judge sets an endpoint aside when it has become slow.
func (v *service) judge(now time.Time, s *state, cfg *Config) {
	if s.holds > 0 || !v.exceeds(s, cfg.SlowFactor) {
		return
	}
	slow := 0
	for _, other := range v.states {
		if other.slow {
			slow++
		}
	}
	if slow < len(v.states)/slowShare {
		s.setAside(now, cfg, true)
	}
}
