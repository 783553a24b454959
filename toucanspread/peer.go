package toucanspread

// Peer is one link's side of the spread: what was last told and heard there. The owner of the link calls it
// from one goroutine.
type Peer struct {
	holder *Holder
	// told is the digest that the peer was last sent revisions for.
	told uint64
	// heard is the peer's last digest; zero before the first.
	heard uint64
	// revisions are the last that the peer sent.
	revisions []Revision
}

// NewPeer returns the state of a new link.
func NewPeer(h *Holder) *Peer { return &Peer{holder: h} }

// Announcement is what a heartbeat carries about settings. Revisions are left out while the peer is known to
// have the same, so that an idle heartbeat costs eight bytes.
type Announcement struct {
	Digest    uint64
	Revisions []Revision
}

// Announce returns what the next heartbeat carries.
func (p *Peer) Announce() Announcement {
	digest := p.holder.Digest()
	a := Announcement{Digest: digest}
	if digest != p.told || (p.heard != 0 && p.heard != digest) {
		a.Revisions = p.holder.Revisions()
		p.told = digest
	}
	return a
}

// Hear takes in the peer's announcement and returns what to pull from it.
func (p *Peer) Hear(a Announcement) []Revision {
	p.heard = a.Digest
	if len(a.Revisions) > 0 {
		p.revisions = a.Revisions
	}
	if a.Digest == p.holder.Digest() {
		return nil
	}
	return p.holder.Behind(p.revisions)
}

// Lag is how far a peer is behind this instance in one document.
type Lag struct {
	Path string `json:"path"`
	// Held and Newest are the peer's revision and the one in force here.
	Held   uint64 `json:"held"`
	Newest uint64 `json:"newest"`
}

// Lags returns where the peer is behind; none when its digest equals this instance's.
func (p *Peer) Lags() []Lag {
	if p.heard == p.holder.Digest() {
		return nil
	}
	return Lags(p.revisions, p.holder.Revisions())
}

// Lags returns where held is behind newest.
func Lags(held, newest []Revision) []Lag {
	at := make(map[string]uint64, len(held))
	for _, r := range held {
		at[r.Path] = r.Revision
	}
	var out []Lag
	for _, r := range newest {
		if at[r.Path] < r.Revision {
			out = append(out, Lag{Path: r.Path, Held: at[r.Path], Newest: r.Revision})
		}
	}
	return out
}
