package toucanreplicate

import (
	stderrors "errors"
	"slices"

	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucanwire"
)

// Peer is the replication state of one link to a peer. The owner calls Fill before it sends a heartbeat and
// Receive after it receives one, all from one goroutine.
type Peer struct {
	holder *Holder
	// sentDigest is the digest of the revisions that were last sent to the peer.
	sentDigest uint64
	// peerDigest is the last digest received from the peer; zero before the first.
	peerDigest uint64
	// peerRevisions are the last revisions received from the peer.
	peerRevisions []Revision
	// recordedDigest is the digest at which the peer's revisions were last recorded as replicated.
	recordedDigest uint64
	// requested lists the documents that the peer requested and that were not sent yet.
	requested []Revision
	// lastSent lists the documents that were last sent, so that they are not sent again in a tight loop to a peer
	// that rejects them.
	lastSent []Revision
	// pulls lists the documents to request in the next heartbeat, lastPulls those of the last request.
	pulls, lastPulls []Revision
	// patchFailed has the paths whose last patch did not apply; their whole document is requested next.
	patchFailed map[string]bool
}

// NewPeer returns the state of a new link. The caller closes it when the link ends.
func NewPeer(h *Holder) *Peer {
	h.links.Add(1)
	return &Peer{holder: h, patchFailed: make(map[string]bool)}
}

// Close removes the link from the number of open links. Documents that were requested over it can be requested
// from other peers afterwards.
func (p *Peer) Close() {
	p.holder.links.Add(-1)
	p.holder.releasePulls(p)
}

// Fill adds the settings fields to an outgoing heartbeat: the digest alone, eight bytes, while both sides hold
// the same revisions, and otherwise also revisions, requests and requested documents.
func (p *Peer) Fill(beat *toucanwire.Heartbeat) error {
	digest := p.holder.Digest()
	beat.RevisionsDigest = digest
	if digest != p.sentDigest || (p.peerDigest != 0 && p.peerDigest != digest) {
		beat.Revisions = toWire(p.holder.Revisions())
		p.sentDigest = digest
	}
	if len(p.pulls) > 0 {
		beat.Wanted = &toucanwire.DocumentsRequest{Wanted: toWire(p.pulls)}
		p.pulls, p.lastPulls = nil, p.pulls
	}
	documents, err := p.holder.documents(p.requested)
	beat.Documents = documents
	p.requested, p.lastSent = nil, p.requested
	return err
}

// Receive processes a heartbeat from the peer. It reports whether the next heartbeat should be sent at once,
// because there are new documents to request or to send. An error means that a document was rejected; the link
// stays usable.
func (p *Peer) Receive(beat *toucanwire.Heartbeat) (again bool, err error) {
	for _, d := range beat.Documents {
		err = stderrors.Join(err, p.offerDocument(d))
	}
	p.peerDigest = beat.RevisionsDigest
	if len(beat.Revisions) > 0 {
		p.peerRevisions = fromWire(beat.Revisions)
	}
	p.recordReplicas()
	p.requested = fromWire(beat.GetWanted().GetWanted())
	p.pulls = nil
	p.holder.releasePulls(p)
	if p.peerDigest != p.holder.Digest() {
		p.pulls = p.holder.reservePulls(p, p.outdated())
	}
	newRequests := len(p.requested) > 0 && !slices.Equal(p.requested, p.lastSent)
	newPulls := len(p.pulls) > 0 && !slices.Equal(p.pulls, p.lastPulls)
	return newRequests || newPulls, err
}

// recordReplicas records the revisions that the peer is known to hold.
func (p *Peer) recordReplicas() {
	if digest := p.holder.Digest(); p.peerDigest == digest && p.recordedDigest != digest {
		p.recordedDigest = digest
		p.holder.recordReplicas(p.holder.Revisions())
		return
	}
	p.holder.recordReplicas(p.peerRevisions)
}

// outdated returns the documents that the peer holds at a higher revision. Revision zero requests the whole
// document, for paths whose last patch did not apply.
func (p *Peer) outdated() []Revision {
	out := p.holder.Outdated(p.peerRevisions)
	for i, r := range out {
		if p.patchFailed[r.Path] {
			out[i].Revision = 0
		}
	}
	return out
}

func (p *Peer) offerDocument(d *toucanwire.Document) error {
	var err error
	if d.Patch == nil {
		err = p.holder.offerCompressed(d)
	} else {
		_, err = p.holder.OfferPatch(d.Path, patchFromWire(d))
	}
	p.patchFailed[d.Path] = errors.Is(err, toucanrevision.ErrPatch)
	if p.patchFailed[d.Path] {
		return nil
	}
	return err
}

// Lag describes a document that an instance holds at an older revision than the newest known one.
type Lag struct {
	Path string `json:"path"`
	// Held is the instance's revision, and Newest the newest known one.
	Held   uint64 `json:"held"`
	Newest uint64 `json:"newest"`
}

// Revisions returns the revisions that the peer was last known to hold.
func (p *Peer) Revisions() []Revision {
	if p.peerDigest == p.holder.Digest() {
		return p.holder.Revisions()
	}
	return p.peerRevisions
}

// Lags returns the documents whose revision in held is below that in newest. A path missing from held counts
// as revision zero.
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
