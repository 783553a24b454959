package toucanlimit

import (
	"math"
	"sync"
	"time"
)

const (
	// BurstFactor limits what an entry admits to this multiple of its equal share of a limit. This also bounds the
	// sum over all entries to BurstFactor times the limit, even if entries receive no reports from each other.
	BurstFactor = 2
	// useTimeout is the age after which a peer's report is ignored.
	useTimeout = 3 * time.Second
	// maxPeers limits the peers whose reports are kept. Any further peers are assumed to use their equal share.
	maxPeers = 32
	// maxReportWorkspaces limits the workspaces in one report.
	maxReportWorkspaces = 32
	// sweepInterval is the time between two removals of idle workspaces.
	sweepInterval = 10 * time.Second
	// concurrentRetryAfter is the retry time returned to a workspace at its limit of concurrent requests.
	concurrentRetryAfter = time.Second
	minRetryAfter        = 100 * time.Millisecond
	maxRetryAfter        = time.Minute
	// rateWindow is the averaging window of the token rate.
	rateWindow = 10 * time.Second
)

// WorkspaceUse is the use of one workspace's limits at one entry.
type WorkspaceUse struct {
	Workspace       string
	Running         int
	TokensPerMinute int
}

// UseReport is the report that an entry sends to its peers with its heartbeats.
type UseReport struct {
	List []WorkspaceUse
	// Complete is true if workspaces that are not listed have no requests in progress and no recent tokens at the
	// entry.
	Complete bool
}

// Shared enforces one entry's share of every workspace's limits: an equal share plus what its peers leave unused, up
// to BurstFactor times the equal share.
type Shared struct {
	mu sync.Mutex
	// entries is the number of entries set by the user of the limiter. More can be known from reports; see
	// entryCount.
	entries int
	// workspaces holds the workspaces with requests in progress or a bucket that is not full.
	workspaces map[string]*workspaceUsage
	// peers holds the entries whose last report was at most useTimeout old at the last request; at most maxPeers.
	peers     map[string]*peer
	lastSweep time.Time
}

var _ Limiter = (*Shared)(nil)

// workspaceUsage is the use of one workspace's limits at this entry.
type workspaceUsage struct {
	running int
	bucket  bucket
	// used is the number of recently used tokens; it decays with time constant rateWindow.
	used    float64
	decayed time.Time
}

// peer is the last report of another entry.
type peer struct {
	receivedAt time.Time
	uses       map[string]WorkspaceUse
	complete   bool
}

// NewShared returns a limiter for one of at least n entries.
func NewShared(n int) *Shared {
	return &Shared{entries: max(1, n), workspaces: make(map[string]*workspaceUsage), peers: make(map[string]*peer)}
}

// SetEntries implements Limiter.
func (s *Shared) SetEntries(_ time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = max(1, n)
}

// ObserveReport records a peer's report, which replaces the peer's previous one.
func (s *Shared) ObserveReport(now time.Time, name string, uses UseReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeStalePeers(now)
	p, ok := s.peers[name]
	if !ok && len(s.peers) >= maxPeers {
		return
	}
	if !ok {
		p = &peer{}
		s.peers[name] = p
	}
	p.receivedAt = now
	p.complete = uses.Complete
	p.uses = make(map[string]WorkspaceUse, len(uses.List))
	for _, u := range uses.List {
		p.uses[u.Workspace] = u
	}
}

func (s *Shared) removeStalePeers(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) > useTimeout {
			delete(s.peers, name)
		}
	}
}

// Report returns this entry's report for its peers, with at most maxReportWorkspaces workspaces.
func (s *Shared) Report(now time.Time) UseReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	uses := UseReport{Complete: true}
	for name, u := range s.workspaces {
		rate := int(u.rate(now))
		if u.running == 0 && rate == 0 {
			continue
		}
		if len(uses.List) == maxReportWorkspaces {
			uses.Complete = false
			break
		}
		uses.List = append(uses.List, WorkspaceUse{Workspace: name, Running: u.running, TokensPerMinute: rate})
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
	s.removeStalePeers(now)
	u := s.usageOf(now, w.Name)
	taken, err := s.admit(now, w, u, tokens)
	if err != nil {
		return nil, err
	}
	u.running++
	return s.release(u, taken), nil
}

// Check returns the error that Acquire would return now, and acquires nothing.
func (s *Shared) Check(now time.Time, w Workspace, tokens int) error {
	if w.ConcurrentRequests <= 0 && w.TokensPerMinute <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeStalePeers(now)
	u := workspaceUsage{decayed: now}
	if known, ok := s.workspaces[w.Name]; ok {
		u = *known
	}
	_, err := s.admit(now, w, &u, tokens)
	return err
}

// admit takes tokens from the use of a workspace and returns how many, or an *Error if a limit does not allow the request.
func (s *Shared) admit(now time.Time, w Workspace, u *workspaceUsage, tokens int) (taken float64, err error) {
	if !s.admitsConcurrent(w, u) {
		return 0, &Error{Workspace: w.Name, Kind: ConcurrentRequests, RetryAfter: concurrentRetryAfter}
	}
	taken, wait := s.takeTokens(now, w, u, float64(tokens))
	if wait > 0 {
		return 0, &Error{Workspace: w.Name, Kind: TokensPerMinute, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	return taken, nil
}

func (s *Shared) usageOf(now time.Time, name string) *workspaceUsage {
	u, ok := s.workspaces[name]
	if !ok {
		u = &workspaceUsage{decayed: now}
		s.workspaces[name] = u
	}
	return u
}

// admitsConcurrent reports whether the limit of concurrent requests allows another request. The first request on an
// entry is always admitted, so that a workspace whose limit is below the number of entries can use all of them.
func (s *Shared) admitsConcurrent(w Workspace, u *workspaceUsage) bool {
	if w.ConcurrentRequests <= 0 || u.running == 0 {
		return true
	}
	limit := float64(w.ConcurrentRequests)
	others := s.peerUsage(w.Name, limit, func(use WorkspaceUse) int { return use.Running })
	return u.running+1 <= int(s.entryShare(limit, others))
}

// entryCount returns the number of entries: the number set by SetEntries, or the number known from reports if that is
// higher.
func (s *Shared) entryCount() int { return max(s.entries, 1+len(s.peers)) }

// entryShare returns this entry's share of a limit when its peers together use the amount others of it.
func (s *Shared) entryShare(limit, others float64) float64 {
	equal := limit / float64(s.entryCount())
	return min(max(equal, limit-others), min(limit, BurstFactor*equal))
}

// peerUsage returns the sum of what the peers use of a limit. Peers without a current report are assumed to use their
// equal share.
func (s *Shared) peerUsage(workspace string, limit float64, measure func(WorkspaceUse) int) float64 {
	reported := 0
	sum := 0.0
	for _, p := range s.peers {
		use, listed := p.uses[workspace]
		if listed || p.complete {
			reported++
			sum += float64(measure(use))
		}
	}
	unreported := max(0, s.entryCount()-1-reported)
	return sum + float64(unreported)*limit/float64(s.entryCount())
}

// takeTokens takes the estimated tokens from the bucket and returns how many it took, or the time to wait if there
// are too few.
func (s *Shared) takeTokens(now time.Time, w Workspace, u *workspaceUsage, tokens float64) (float64, time.Duration) {
	if w.TokensPerMinute <= 0 {
		u.bucket = bucket{}
		return 0, 0
	}
	limit := float64(w.TokensPerMinute)
	others := s.peerUsage(w.Name, limit, func(use WorkspaceUse) int { return use.TokensPerMinute })
	u.bucket.setRate(now, s.entryShare(limit, others))
	taken, wait := u.bucket.take(now, tokens)
	u.record(now, taken)
	return taken, wait
}

func (s *Shared) release(u *workspaceUsage, taken float64) Release {
	done := false
	return func(now time.Time, tokensUsed int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if done {
			return
		}
		done = true
		u.running--
		if !u.bucket.isConfigured() {
			return
		}
		difference := float64(tokensUsed) - taken
		u.bucket.settle(now, difference)
		u.record(now, difference)
	}
}

// sweep removes idle workspaces, so that memory use is proportional to the active workspaces.
func (s *Shared) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for name, u := range s.workspaces {
		if u.running == 0 && (!u.bucket.isConfigured() || u.bucket.isFull(now)) {
			delete(s.workspaces, name)
		}
	}
}

// record adds tokens to the recent use.
func (u *workspaceUsage) record(now time.Time, tokens float64) {
	u.used = max(0, u.decayedUse(now)+tokens)
	u.decayed = now
}

func (u *workspaceUsage) decayedUse(now time.Time) float64 {
	elapsed := max(0, now.Sub(u.decayed).Seconds())
	return u.used * math.Exp(-elapsed/rateWindow.Seconds())
}

// rate returns the recent use in tokens per minute.
func (u *workspaceUsage) rate(now time.Time) float64 {
	return u.decayedUse(now) * time.Minute.Seconds() / rateWindow.Seconds()
}
