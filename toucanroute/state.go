package toucanroute

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentDispatches is how many of the last requests to one endpoint are told apart by time.
	recentDispatches = 8
	// sentPrefixes is how many of the prefixes last sent to one endpoint are taken to be cached there.
	sentPrefixes = 32
	// reportLag is how far a report is behind the requests sent to the endpoint.
	reportLag = 5 * time.Millisecond
	// expectedOutputTokens is counted for a request whose output is not bounded lower.
	expectedOutputTokens = 512
	// firstTokenWeight is the weight of one observation in the moving average.
	firstTokenWeight = 0.2
	// probeWeight is that of an endpoint set aside for being slow, whose observations are few.
	probeWeight = 0.5
	// slowSamples is how many first tokens are seen before they can set an endpoint aside.
	slowSamples = 5
	// stepWindow is the time over which step times are averaged.
	stepWindow = 2 * time.Second
	// probeTimeout ends a probe that never finished, so that the next can be sent.
	probeTimeout = 30 * time.Second
)

// dispatch is one request sent to an endpoint.
type dispatch struct {
	at     time.Time
	tokens int
}

// state is what the router knows of one endpoint.
type state struct {
	endpoint Endpoint
	nameHash uint64
	order    reportOrder
	// load is the last report taken in; its CachedPrefixes are the state's own copy, in ascending order.
	load Load
	// reported is the time of the last report, or the time at which the endpoint was first listed.
	reported time.Time
	// answered is the time of the last first token or answer.
	answered time.Time
	// hasLoad is true once a report was taken in.
	hasLoad bool

	// others is how many requests of other entries the last report counted.
	others int

	// outstanding requests were sent by this router and have not finished.
	outstanding int
	// unseen requests were sent after the last report; never more than outstanding.
	unseen       int
	unseenTokens int
	recent       [recentDispatches]dispatch
	nextRecent   int

	prefixes   [sentPrefixes]uint64
	nextPrefix int

	// step is a moving average of the reported step times in seconds, with stepWindow.
	step float64
	// firstToken is a moving average in seconds over samples observations.
	firstToken float64
	samples    int

	// holds counts the probes in a row that failed; above zero while the endpoint is set aside.
	holds     int
	holdUntil time.Time
	// slow is true while the endpoint is set aside for being slow rather than failing.
	slow bool
	// probing is true while the one request that an endpoint set aside may get is under way.
	probing   bool
	probeSent time.Time

	// fullUntil and fullTokens keep requests of at least that many tokens away after a refusal.
	fullUntil  time.Time
	fullTokens int

	// standing belongs to the choice under way.
	standing standing
}

func newState(now time.Time, e Endpoint) *state {
	return &state{endpoint: e, nameHash: xxhash.Sum64String(e.Name), reported: now}
}

// queryTokens is what q is expected to hold of an engine's memory at its peak, in tokens.
func queryTokens(q *Query) int {
	output := expectedOutputTokens
	if q.MaxTokens > 0 {
		output = min(output, q.MaxTokens)
	}
	return q.PromptTokens + output
}

func (s *state) report(now time.Time, l Load) {
	cached := append(s.load.CachedPrefixes[:0], l.CachedPrefixes...)
	slices.Sort(cached)
	s.observeStep(now, l.StepTime)
	s.load = l
	s.load.CachedPrefixes = cached
	s.hasLoad = true
	s.reported = now
	s.recountUnseen(now)
	s.others = max(0, l.Running+l.Queued-(s.outstanding-s.unseen))
	if l.Queued == 0 {
		s.fullUntil = time.Time{}
	}
}

// recountUnseen keeps only the requests that were sent too late to be in a report that arrived now.
func (s *state) recountUnseen(now time.Time) {
	s.unseen, s.unseenTokens = 0, 0
	for _, d := range s.recent {
		if !d.at.IsZero() && now.Sub(d.at) < reportLag && s.unseen < s.outstanding {
			s.unseen++
			s.unseenTokens += d.tokens
		}
	}
}

func (s *state) sent(now time.Time, q *Query) {
	tokens := queryTokens(q)
	s.outstanding++
	s.unseen++
	s.unseenTokens += tokens
	s.recent[s.nextRecent] = dispatch{at: now, tokens: tokens}
	s.nextRecent = (s.nextRecent + 1) % recentDispatches
	if q.PrefixHash != 0 && !slices.Contains(s.prefixes[:], q.PrefixHash) {
		s.prefixes[s.nextPrefix] = q.PrefixHash
		s.nextPrefix = (s.nextPrefix + 1) % sentPrefixes
	}
}

// drop forgets one outstanding request.
func (s *state) drop() {
	if s.outstanding == 0 {
		return
	}
	s.outstanding--
	if s.unseen > s.outstanding {
		s.unseenTokens = s.unseenTokens * s.outstanding / s.unseen
		s.unseen = s.outstanding
	}
}

// observeStep averages over time, since single steps vary with the prompts in them.
func (s *state) observeStep(now time.Time, step time.Duration) {
	if step <= 0 {
		return
	}
	if s.step == 0 {
		s.step = step.Seconds()
		return
	}
	weight := 1 - math.Exp(-now.Sub(s.reported).Seconds()/stepWindow.Seconds())
	s.step += weight * (step.Seconds() - s.step)
}

func (s *state) observe(firstToken time.Duration) {
	if firstToken <= 0 {
		return
	}
	s.samples++
	if s.samples == 1 {
		s.firstToken = firstToken.Seconds()
		return
	}
	weight := firstTokenWeight
	if s.slow {
		weight = probeWeight
	}
	s.firstToken += weight * (firstToken.Seconds() - s.firstToken)
}

// refused keeps requests of the same size or larger away for a short time.
func (s *state) refused(now time.Time, q *Query, cfg *Config) {
	tokens := queryTokens(q)
	if now.Before(s.fullUntil) {
		tokens = min(tokens, s.fullTokens)
	}
	s.fullTokens = tokens
	s.fullUntil = now.Add(cfg.FullHold)
}

// setAside begins or lengthens the time in which the endpoint gets probes only.
func (s *state) setAside(now time.Time, cfg *Config, slow bool) {
	if now.Before(s.holdUntil) {
		return
	}
	hold := cfg.MaxHold
	if s.holds < 16 {
		hold = min(cfg.MaxHold, cfg.MinHold<<s.holds)
	}
	s.holds++
	s.holdUntil = now.Add(hold)
	s.slow = slow
}

func (s *state) restore() {
	s.holds = 0
	s.holdUntil = time.Time{}
	s.slow = false
}

func (s *state) silent(now time.Time, cfg *Config) bool {
	return now.Sub(s.reported) > cfg.SilentAfter && now.Sub(s.answered) > cfg.SilentAfter
}

// refusesWork is true for endpoints that must not be sent anything, not even a probe.
func (s *state) refusesWork() bool {
	return s.hasLoad && (s.load.Leaving || !s.load.Healthy)
}

func (s *state) full(now time.Time, tokens int) bool {
	return now.Before(s.fullUntil) && tokens >= s.fullTokens
}

func (s *state) probeDue(now time.Time) bool {
	if s.probing && now.Sub(s.probeSent) < probeTimeout {
		return false
	}
	return !now.Before(s.holdUntil)
}

// busy is the requests on the endpoint: this entry's own, and those of others by the last report.
func (s *state) busy() int {
	return s.others + s.outstanding
}

// wait is the reported wait in seconds, scaled by how many requests have come or gone since.
func (s *state) wait() float64 {
	reported := s.load.Running + s.load.Queued
	if reported == 0 {
		return s.load.Wait.Seconds()
	}
	return s.load.Wait.Seconds() * float64(s.busy()) / float64(reported)
}

func (s *state) holdsPrefix(hash uint64) bool {
	if hash == 0 {
		return false
	}
	if _, ok := slices.BinarySearch(s.load.CachedPrefixes, hash); ok {
		return true
	}
	return slices.Contains(s.prefixes[:], hash)
}
