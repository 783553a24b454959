// Package toucanprobe asks endpoints directly whether they are draining while the store answers no entry. The
// live entries divide the endpoints among themselves, and each shares its results with the others.
package toucanprobe

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanmember"
	"toucanport/toucanplace"
)

const (
	// probeInterval is the minimum time between the starts of two rounds of probes.
	probeInterval = 350 * time.Millisecond
	// checkInterval is the time between two checks whether the store is silent.
	checkInterval = 70 * time.Millisecond
	// probeTimeout limits one probe.
	probeTimeout = 300 * time.Millisecond
	// probersPerEndpoint is how many entries probe one endpoint.
	probersPerEndpoint = 1
	// maxUnanswered is how many consecutive probes an endpoint can fail before it counts as draining.
	maxUnanswered = 2
)

// Prober sends a probe to an endpoint.
type Prober interface {
	// Leaving reports whether the endpoint at address is draining.
	Leaving(ctx context.Context, address string) (bool, error)
}

// PeerState is the state that entries share about the store and about draining endpoints.
type PeerState interface {
	// StoreSilent reports whether the store has answered no entry for longer than expected.
	StoreSilent(now time.Time) bool
	// ActivePeers returns the names of the other live entries.
	ActivePeers(now time.Time) []string
	// SetProbedLeaving records that the endpoint with this key is draining, and reports it to the other entries.
	SetProbedLeaving(now time.Time, endpoint uint64)
}

// RateLimits keeps the limits of endpoints on requests a second.
type RateLimits interface {
	// Take takes a slot for a request to an endpoint that begins within patience, and returns the time until then and whether
	// there was one.
	Take(ctx context.Context, endpoint uint64, patience time.Duration) (time.Duration, bool)
}

// Poller probes this entry's share of the endpoints while the store is silent.
type Poller struct {
	name   string
	prober Prober
	placer *toucanplace.Placer
	peers  PeerState
	limits RateLimits
	log    *slog.Logger
	// active is true while the store is silent.
	active bool

	mu sync.Mutex
	// unanswered counts the consecutive failed probes of each endpoint, by its ID.
	unanswered map[string]int
}

// New returns the poller of the entry name.
func New(name string, prober Prober, placer *toucanplace.Placer, peers PeerState, limits RateLimits, log *slog.Logger) *Poller {
	return &Poller{
		name:       name,
		prober:     prober,
		placer:     placer,
		peers:      peers,
		limits:     limits,
		log:        log,
		unanswered: make(map[string]int),
	}
}

// Run probes endpoints until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var lastRound time.Time
	for {
		select {
		case <-ticker.C:
			if now := time.Now(); p.shouldProbe(now) && now.Sub(lastRound) >= probeInterval {
				lastRound = now
				p.probeEndpoints(ctx, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// shouldProbe reports whether the store is silent, and logs each change.
func (p *Poller) shouldProbe(now time.Time) bool {
	silent := p.peers.StoreSilent(now)
	if silent != p.active {
		p.active = silent
		p.log.Info(toucanlog.MsgAskingEndpoints,
			toucanlog.Asking, silent,
			toucanlog.PeersHeard, len(p.peers.ActivePeers(now)),
		)
	}
	return silent
}

// probeEndpoints probes each engine of this entry's share once, concurrently. Endpoints without memory are plain
// services and are not probed.
func (p *Poller) probeEndpoints(ctx context.Context, now time.Time) {
	entries := append(p.peers.ActivePeers(now), p.name)
	var wg sync.WaitGroup
	for _, e := range p.placer.Endpoints() {
		if e.MemoryTokens > 0 && toucanmember.IsResponsible(p.name, e.ID, entries, probersPerEndpoint) {
			wg.Go(func() { p.probe(ctx, e) })
		}
	}
	wg.Wait()
}

func (p *Poller) probe(ctx context.Context, e toucanplace.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, ok := p.limits.Take(ctx, e.Key(), 0); !ok {
		// The endpoint takes no more requests now; the next round may find a slot.
		return
	}
	leaving, err := p.prober.Leaving(ctx, e.Address)
	if err != nil {
		p.recordFailure(e, err)
		return
	}
	p.mu.Lock()
	delete(p.unanswered, e.ID)
	p.mu.Unlock()
	if leaving {
		p.log.Info(toucanlog.MsgEndpointLeaves,
			toucanlog.Endpoint, e.ID,
			toucanlog.Address, e.Address,
		)
		p.peers.SetProbedLeaving(time.Now(), e.Key())
	}
}

// recordFailure records a failed probe. After maxUnanswered consecutive ones the endpoint counts as draining.
func (p *Poller) recordFailure(e toucanplace.Endpoint, err error) {
	p.placer.Suspect(time.Now(), e.ID)
	p.mu.Lock()
	p.unanswered[e.ID]++
	n := p.unanswered[e.ID]
	if n == maxUnanswered {
		delete(p.unanswered, e.ID)
	}
	p.mu.Unlock()
	if n == maxUnanswered {
		p.log.Warn(toucanlog.MsgEndpointSilent,
			toucanlog.Endpoint, e.ID,
			toucanlog.Address, e.Address,
			toucanlog.Questions, n,
			toucanlog.Cause, err.Error(),
		)
		p.peers.SetProbedLeaving(time.Now(), e.Key())
	}
}
