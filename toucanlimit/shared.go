package toucanlimit

import (
	"math"
	"sync"
	"time"
)

const (
	// BurstFactor bounds the sum of what all entries admit, in multiples of a limit, whatever they hear of each
	// other: no entry takes more than BurstFactor times its equal part.
	BurstFactor = 2
	// useTimeout is the age at which a peer's use is no longer believed.
	useTimeout = 3 * time.Second
	// maxPeers bounds the peers whose use is kept; any further are taken to use their equal part.
	maxPeers = 32
	// maxUses bounds what an entry tells of itself at once.
	maxUses = 32
	// sweepInterval is the time between two removals of idle workspaces.
	sweepInterval = 10 * time.Second
	// concurrentRetryAfter is when a workspace at its limit of concurrent requests should come back.
	concurrentRetryAfter = time.Second
	minRetryAfter        = 100 * time.Millisecond
	maxRetryAfter        = time.Minute
	// rateWindow is the time over which used tokens are averaged.
	rateWindow = 10 * time.Second
)

// Use is what one entry carries of a workspace.
type Use struct {
	Workspace       string
	Running         int
	TokensPerMinute int
}

// Uses is what one entry tells its peers, on heartbeats.
type Uses struct {
	List []Use
	// Complete is true when workspaces that are not listed have no work at the entry.
	Complete bool
}

// Shared enforces one entry's part of every workspace's limits: an equal part, and what the peers leave unused
// up to BurstFactor times that.
type Shared struct {
	mu sync.Mutex
	// entries is a lower bound; see count.
	entries int
	// workspaces has an entry for each workspace with work in progress or a bucket that is not full.
	workspaces map[string]*usage
	// peers has those heard of within useTimeout of the last request; at most maxPeers.
	peers map[string]*peer
	swept time.Time
}

var _ Limiter = (*Shared)(nil)

// usage is what this entry carries of one workspace.
type usage struct {
	running int
	bucket  bucket
	// used is the tokens used lately, decaying with rateWindow.
	used    float64
	decayed time.Time
}

// peer is what another entry told last.
type peer struct {
	heard    time.Time
	uses     map[string]Use
	complete bool
}

// NewShared returns a limiter for one of at least n entries.
func NewShared(n int) *Shared {
	return &Shared{entries: max(1, n), workspaces: make(map[string]*usage), peers: make(map[string]*peer)}
}

// SetEntries implements Limiter.
func (s *Shared) SetEntries(_ time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = max(1, n)
}

// Observe takes in what a peer carries; it replaces what the peer told before.
func (s *Shared) Observe(now time.Time, name string, uses Uses) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetPeers(now)
	p, ok := s.peers[name]
	if !ok && len(s.peers) >= maxPeers {
		return
	}
	if !ok {
		p = &peer{}
		s.peers[name] = p
	}
	p.heard = now
	p.complete = uses.Complete
	p.uses = make(map[string]Use, len(uses.List))
	for _, u := range uses.List {
		p.uses[u.Workspace] = u
	}
}

func (s *Shared) forgetPeers(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.heard) > useTimeout {
			delete(s.peers, name)
		}
	}
}

// Uses returns what this entry carries, for its peers: at most maxUses workspaces.
func (s *Shared) Uses(now time.Time) Uses {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	uses := Uses{Complete: true}
	for name, u := range s.workspaces {
		rate := int(u.rate(now))
		if u.running == 0 && rate == 0 {
			continue
		}
		if len(uses.List) == maxUses {
			uses.Complete = false
			break
		}
		uses.List = append(uses.List, Use{Workspace: name, Running: u.running, TokensPerMinute: rate})
	}
	return uses
}

// Acquire implements Limiter.
func (s *Shared) Acquire(now time.Time, w Workspace, tokens int) (Release, error) {
	if w.ConcurrentRequests <= 0 && w.TokensPerMinute <= 0 {
		return func(time.Time, int) {}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	s.forgetPeers(now)
	u := s.usage(now, w.Name)
	if !s.admitsRunning(w, u) {
		return nil, &Error{Workspace: w.Name, Kind: ConcurrentRequests, RetryAfter: concurrentRetryAfter}
	}
	taken, wait := s.takeTokens(now, w, u, float64(tokens))
	if wait > 0 {
		return nil, &Error{Workspace: w.Name, Kind: TokensPerMinute, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	u.running++
	return s.release(u, taken), nil
}

func (s *Shared) usage(now time.Time, name string) *usage {
	u, ok := s.workspaces[name]
	if !ok {
		u = &usage{decayed: now}
		s.workspaces[name] = u
	}
	return u
}

// admitsRunning reports whether one more request fits. One request is always admitted, so that a limit below the
// number of entries does not shut a workspace out of some of them.
func (s *Shared) admitsRunning(w Workspace, u *usage) bool {
	if w.ConcurrentRequests <= 0 || u.running == 0 {
		return true
	}
	limit := float64(w.ConcurrentRequests)
	others := s.others(w.Name, limit, func(use Use) int { return use.Running })
	return u.running+1 <= int(s.part(limit, others))
}

// count is the number of entries: what SetEntries said, or more when more are heard of.
func (s *Shared) count() int { return max(s.entries, 1+len(s.peers)) }

// part is what this entry may take of a limit of which its peers take others.
func (s *Shared) part(limit, others float64) float64 {
	equal := limit / float64(s.count())
	return min(max(equal, limit-others), min(limit, BurstFactor*equal))
}

// others sums what the peers take. Where a peer said nothing lately it is taken to use its equal part.
func (s *Shared) others(workspace string, limit float64, measure func(Use) int) float64 {
	heard := 0
	sum := 0.0
	for _, p := range s.peers {
		use, listed := p.uses[workspace]
		if listed || p.complete {
			heard++
			sum += float64(measure(use))
		}
	}
	unheard := max(0, s.count()-1-heard)
	return sum + float64(unheard)*limit/float64(s.count())
}

// takeTokens returns the tokens taken in advance, or the time to wait.
func (s *Shared) takeTokens(now time.Time, w Workspace, u *usage, tokens float64) (float64, time.Duration) {
	if w.TokensPerMinute <= 0 {
		u.bucket = bucket{}
		return 0, 0
	}
	limit := float64(w.TokensPerMinute)
	others := s.others(w.Name, limit, func(use Use) int { return use.TokensPerMinute })
	u.bucket.setRate(now, s.part(limit, others))
	taken, wait := u.bucket.take(now, tokens)
	u.record(now, taken)
	return taken, wait
}

func (s *Shared) release(u *usage, taken float64) Release {
	done := false
	return func(now time.Time, tokensUsed int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if done {
			return
		}
		done = true
		u.running--
		if !u.bucket.metered() {
			return
		}
		difference := float64(tokensUsed) - taken
		u.bucket.settle(now, difference)
		u.record(now, difference)
	}
}

// sweep forgets idle workspaces, so that memory follows the workspaces with work.
func (s *Shared) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for name, u := range s.workspaces {
		if u.running == 0 && (!u.bucket.metered() || u.bucket.full(now)) {
			delete(s.workspaces, name)
		}
	}
}

// record adds tokens to the recent use.
func (u *usage) record(now time.Time, tokens float64) {
	u.used = max(0, u.decayedUse(now)+tokens)
	u.decayed = now
}

func (u *usage) decayedUse(now time.Time) float64 {
	elapsed := max(0, now.Sub(u.decayed).Seconds())
	return u.used * math.Exp(-elapsed/rateWindow.Seconds())
}

// rate is the recent use in tokens a minute.
func (u *usage) rate(now time.Time) float64 {
	return u.decayedUse(now) * time.Minute.Seconds() / rateWindow.Seconds()
}
