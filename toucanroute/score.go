package toucanroute

import (
	"slices"
	"time"
)

const (
	// reportTrust is the age at which a report counts half.
	reportTrust = time.Second
	// minStepSeconds is the step time assumed of an endpoint that has not reported one.
	minStepSeconds = 0.005
	// unseenSteps is how many steps a request that is not in the report yet delays the next one.
	unseenSteps = 0.5
	// busySeconds is what each request on an endpoint adds; it balances endpoints that report no wait.
	busySeconds = 0.01
	// usualSlowness is how far above the median a step time lies by chance.
	usualSlowness = 1.25
	// memorySeconds is what a full memory adds, and crowdedSeconds each further whole memory past crowdedMemory.
	memorySeconds  = 0.1
	crowdedSeconds = 10
	crowdedMemory  = 0.9
	// domainSeconds and domainFactor are what another failure domain adds; more than tieSeconds and tieFactor, so
	// that the entry's own is preferred among equals.
	domainSeconds = 0.001
	domainFactor  = 0.03
	// tieSeconds and tieFactor bound the random part of a fresh report's score, ageFactor that of an old one.
	tieSeconds = 0.0005
	tieFactor  = 0.02
	ageFactor  = 0.5
)

// standing is what an endpoint may be given.
type standing int

const (
	// standingNone endpoints are not sent anything.
	standingNone standing = iota
	// standingAside endpoints are slow or silent: they get probes, and work when nothing better is left.
	standingAside
	// standingUsable endpoints take part in the choice.
	standingUsable
)

// choice is one pass over the endpoints of a service.
type choice struct {
	now    time.Time
	query  *Query
	tokens int
	cfg    *Config
	// meanBusy is the mean of busy over usable endpoints; at least 0.
	meanBusy float64
	// allSilent is true when so many endpoints are silent that silence tells nothing about one of them.
	allSilent bool
	// medianStep is in seconds; zero while it is not known.
	medianStep float64
	// meanFirstToken is the service's mean first-token time in seconds.
	meanFirstToken float64
}

// judge returns what s may be given.
func (c *choice) judge(s *state) standing {
	if s.refusesWork() || s.full(c.now, c.tokens) || slices.Contains(c.query.Exclude, s.endpoint.Name) {
		return standingNone
	}
	if s.holds > 0 && !s.slow {
		return standingNone
	}
	if s.slow || s.silent(c.now, c.cfg) && !c.allSilent {
		return standingAside
	}
	return standingUsable
}

// probe reports whether the endpoint is set aside and due for a single request.
func (c *choice) probe(s *state) bool {
	if s.refusesWork() || s.full(c.now, c.tokens) {
		return false
	}
	aside := s.holds > 0 || s.silent(c.now, c.cfg) && !c.allSilent
	return aside && s.probeDue(c.now)
}

// score is the expected cost in seconds of sending the query to s; lower is better.
func (c *choice) score(s *state, random float64) float64 {
	trust := c.trust(s)
	step := max(s.step, minStepSeconds)
	wait := s.wait()
	score := trust*wait + (1-trust)*max(wait, c.meanFirstToken)
	score += float64(s.unseen) * unseenSteps * step
	score += busySeconds * float64(s.busy()+1) * c.slowness(s)
	score += c.memory(s)
	if s.endpoint.FailureDomain != c.cfg.FailureDomain {
		score += domainSeconds + domainFactor*score
	}
	score += random * (tieSeconds + (tieFactor+(1-trust)*ageFactor)*score)
	return score - c.affinity(s)
}

// slowness is how much slower than its peers the endpoint steps; 1 for those near the median or faster.
func (c *choice) slowness(s *state) float64 {
	if c.medianStep == 0 {
		return 1
	}
	return max(1, s.step/c.medianStep/usualSlowness)
}

// trust is between 0 and 1 and falls with the age of the last report.
func (c *choice) trust(s *state) float64 {
	if !s.hasLoad {
		return 0
	}
	age := max(c.now.Sub(s.reported), 0)
	return 1 / (1 + age.Seconds()/reportTrust.Seconds())
}

// memory is the cost of the endpoint's memory forecast with the query and the unseen requests on top.
func (c *choice) memory(s *state) float64 {
	if s.load.TotalBlocks <= 0 {
		return 0
	}
	blocks := max(s.load.ForecastBlocks, s.load.UsedBlocks)
	blocks += (s.unseenTokens + c.tokens) / c.cfg.BlockTokens
	fraction := float64(blocks) / float64(s.load.TotalBlocks)
	return memorySeconds*fraction + crowdedSeconds*max(0, fraction-crowdedMemory)
}

// affinity is the prefill time that a cached prefix saves.
func (c *choice) affinity(s *state) float64 {
	if !s.holdsPrefix(c.query.PrefixHash) || !c.withinBound(s) {
		return 0
	}
	return float64(c.query.PromptTokens) * c.cfg.PrefillTokenTime.Seconds()
}

// withinBound reports whether the endpoint may attract more work by prefix or key.
func (c *choice) withinBound(s *state) bool {
	return float64(s.busy()) <= c.cfg.LoadBound*c.meanBusy+1
}

// keyRank orders endpoints for a key; the highest rank is preferred.
func keyRank(keyHash uint64, s *state) uint64 {
	x := keyHash ^ s.nameHash
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
