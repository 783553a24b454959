package toucanroute

import (
	"slices"
	"time"
)

const (
	// reportHalfTrustAge is the age at which a report has half the weight of a new one.
	reportHalfTrustAge = time.Second
	// minStepSeconds is the lower limit of step times in scores, also used for endpoints that have not reported one.
	minStepSeconds = 0.005
	// unreportedSteps is the number of steps by which each request that is not in the last report yet delays a new
	// request.
	unreportedSteps = 0.5
	// activeRequestSeconds is the cost of each request on an endpoint. It balances endpoints that report no wait.
	activeRequestSeconds = 0.01
	// normalStepRatio is the ratio to the median step time that still counts as random variation.
	normalStepRatio = 1.25
	// memorySeconds is the cost of a full memory. highMemorySeconds is the additional cost of a full memory's worth
	// of use above highMemoryFraction.
	memorySeconds      = 0.1
	highMemorySeconds  = 10
	highMemoryFraction = 0.9
	// remoteDomainSeconds and remoteDomainFactor are the cost of an endpoint in another failure domain. They are
	// larger than tieSeconds and tieFactor, so that of otherwise equal endpoints the entry's own failure domain is
	// preferred.
	remoteDomainSeconds = 0.001
	remoteDomainFactor  = 0.03
	// tieSeconds and tieFactor limit the random part of the score with a new report; staleTieFactor limits the
	// additional random part with an old one.
	tieSeconds     = 0.0005
	tieFactor      = 0.02
	staleTieFactor = 0.5
)

// eligibility determines for which requests an endpoint can be chosen.
type eligibility int

const (
	// ineligible endpoints get no requests, except for probes.
	ineligible eligibility = iota
	// eligibleAsFallback endpoints are slow or silent. They get probes, and other requests only if no endpoint is
	// eligible.
	eligibleAsFallback
	// eligible endpoints can be chosen for any request.
	eligible
)

// choice is the state of choosing an endpoint of a service for one query.
type choice struct {
	now    time.Time
	query  *Query
	tokens int
	cfg    *Config
	// meanActive is the mean number of active requests of the eligible endpoints; zero if there are none.
	meanActive float64
	// mostSilent is true if more than half of the endpoints are silent. The cause is then probably not at the
	// endpoints, so silence is ignored.
	mostSilent bool
	// medianStep is the service's median step time in seconds; zero while it is unknown.
	medianStep float64
	// meanFirstToken is the service's mean first-token time in seconds.
	meanFirstToken float64
}

// eligibility returns the eligibility of s for the query.
func (c *choice) eligibility(s *endpointState) eligibility {
	if s.refusesWork() || s.isFull(c.now, c.tokens) || slices.Contains(c.query.Exclude, s.endpoint.Name) {
		return ineligible
	}
	if s.ejections > 0 && !s.ejectedAsSlow {
		return ineligible
	}
	if s.ejectedAsSlow || s.isSilent(c.now, c.cfg) && !c.mostSilent {
		return eligibleAsFallback
	}
	return eligible
}

// probeDue reports whether the endpoint is ejected or silent and can now be sent a single request as a probe.
func (c *choice) probeDue(s *endpointState) bool {
	if s.refusesWork() || s.isFull(c.now, c.tokens) {
		return false
	}
	ejected := s.ejections > 0 || s.isSilent(c.now, c.cfg) && !c.mostSilent
	return ejected && s.probeDue(c.now)
}

// score returns the expected cost, in seconds, of sending the query to s. Lower is better.
func (c *choice) score(s *endpointState, random float64) float64 {
	score := c.loadCost(s)
	score += c.distanceCost(s, score)
	score += random * (tieSeconds + (tieFactor+(1-c.trust(s))*staleTieFactor)*score)
	return score - c.prefixSaving(s)
}

// loadCost returns the part of the score for the load of s.
func (c *choice) loadCost(s *endpointState) float64 {
	trust := c.trust(s)
	step := max(s.step, minStepSeconds)
	wait := s.estimatedWait()
	cost := trust*wait + (1-trust)*max(wait, c.meanFirstToken)
	cost += float64(s.unreported) * unreportedSteps * step
	cost += activeRequestSeconds * float64(s.activeRequests()+1) * c.relativeStepTime(s)
	return cost + c.memoryCost(s)
}

// distanceCost returns the part of the score for another failure domain, beside the part for the load.
func (c *choice) distanceCost(s *endpointState, load float64) float64 {
	if s.endpoint.FailureDomain == c.cfg.FailureDomain {
		return 0
	}
	return remoteDomainSeconds + remoteDomainFactor*load
}

// relativeStepTime returns the ratio of the endpoint's step time to the service's median, less normal variation; at
// least 1.
func (c *choice) relativeStepTime(s *endpointState) float64 {
	if c.medianStep == 0 {
		return 1
	}
	return max(1, s.step/c.medianStep/normalStepRatio)
}

// trust returns the weight of the last report, between 0 and 1. It decreases with the age of the report.
func (c *choice) trust(s *endpointState) float64 {
	if !s.hasLoad {
		return 0
	}
	age := max(c.now.Sub(s.reportedAt), 0)
	return 1 / (1 + age.Seconds()/reportHalfTrustAge.Seconds())
}

// memoryCost returns the cost of the endpoint's forecast memory use, including the query and the unreported requests.
func (c *choice) memoryCost(s *endpointState) float64 {
	if s.load.TotalBlocks <= 0 {
		return 0
	}
	blocks := max(s.load.ForecastBlocks, s.load.UsedBlocks)
	blocks += (s.unreportedTokens + c.tokens) / c.cfg.BlockTokens
	fraction := float64(blocks) / float64(s.load.TotalBlocks)
	return memorySeconds*fraction + highMemorySeconds*max(0, fraction-highMemoryFraction)
}

// prefixSaving returns the prefill time, in seconds, that the endpoint's cached prefix saves.
func (c *choice) prefixSaving(s *endpointState) float64 {
	if !s.holdsPrefix(c.query.PrefixHash) || !c.withinBound(s) {
		return 0
	}
	return float64(c.query.PromptTokens) * c.cfg.PrefillTokenTime.Seconds()
}

// withinBound reports whether the endpoint's load is low enough for it to be preferred for its prefixes and keys.
func (c *choice) withinBound(s *endpointState) bool {
	return float64(s.activeRequests()) <= c.cfg.LoadBound*c.meanActive+1
}

// keyRank returns the endpoint's rank for a key by rendezvous hashing. The endpoint with the highest rank is
// preferred.
func keyRank(keyHash uint64, s *endpointState) uint64 {
	x := keyHash ^ s.nameHash
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
