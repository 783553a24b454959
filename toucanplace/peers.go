package toucanplace

import "time"

// peerUses is the load that a peer last reported, by the endpoint's Key.
type peerUses struct {
	at   time.Time
	uses map[uint64]Use
	// unreachable holds the Keys of the endpoints that the peer can't reach.
	unreachable []uint64
}

// Observe replaces a peer's load with its newest report, and drops reports older than peerUsesTTL.
func (p *Placer) Observe(now time.Time, peer string, uses map[uint64]Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropPeer(peer)
	p.peers[peer] = peerUses{at: now, uses: uses}
	for key, u := range uses {
		if s, ok := p.byKey[key]; ok {
			s.reported = s.reported.plus(u)
		}
	}
	if expiry := now.Add(peerUsesTTL); p.nextExpiry.IsZero() || expiry.Before(p.nextExpiry) {
		p.nextExpiry = expiry
	}
	p.expirePeers(now)
	broadcast(&p.freed)
}

// dropPeer forgets the last report of a peer. The caller holds p.mu.
func (p *Placer) dropPeer(peer string) {
	for key, u := range p.peers[peer].uses {
		if s, ok := p.byKey[key]; ok {
			s.reported = s.reported.minus(u)
		}
	}
	delete(p.peers, peer)
}

// expirePeers drops reports older than peerUsesTTL. The caller holds p.mu.
func (p *Placer) expirePeers(now time.Time) {
	if p.nextExpiry.IsZero() || now.Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = time.Time{}
	for peer, reported := range p.peers {
		expiry := reported.at.Add(peerUsesTTL)
		if !now.Before(expiry) {
			p.dropPeer(peer)
			continue
		}
		if p.nextExpiry.IsZero() || expiry.Before(p.nextExpiry) {
			p.nextExpiry = expiry
		}
	}
}

// sumReports returns the load that peers have reported for an endpoint. The caller holds p.mu.
func (p *Placer) sumReports(key uint64) Use {
	var u Use
	for _, reported := range p.peers {
		u = u.plus(reported.uses[key])
	}
	return u
}
