package toucanspread

import (
	stderrors "errors"
	"slices"

	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucanwire"
)

// Peer is one link's side of the spread. Its owner calls Fill before each heartbeat that it sends and Take
// after each one that it receives, from one goroutine.
type Peer struct {
	holder *Holder
	// told is the digest that the peer was last sent revisions for.
	told uint64
	// heard is the peer's last digest; zero before the first.
	heard uint64
	// revisions are the last that the peer sent.
	revisions []Revision
	// confirmed is the digest up to which the peer's revisions were noted as replicas.
	confirmed uint64
	// asked is what the peer wants and has not been sent.
	asked []Revision
	// sent is what the peer was sent last, so that one that can't take it is not sent it in a tight loop.
	sent []Revision
	// want is what this side has not asked for yet, and wanted what it asked for last.
	want, wanted []Revision
	// whole names documents whose patch did not fit.
	whole map[string]bool
}

// NewPeer returns the state of a new link. Close it when the link ends.
func NewPeer(h *Holder) *Peer {
	h.links.Add(1)
	return &Peer{holder: h, whole: make(map[string]bool)}
}

// Close ends the link's state.
func (p *Peer) Close() {
	p.holder.links.Add(-1)
	p.holder.release(p)
}

// Fill adds to a heartbeat what it carries about settings: eight bytes while both sides hold the same.
func (p *Peer) Fill(beat *toucanwire.Heartbeat) error {
	digest := p.holder.Digest()
	beat.RevisionsDigest = digest
	if digest != p.told || (p.heard != 0 && p.heard != digest) {
		beat.Revisions = toWire(p.holder.Revisions())
		p.told = digest
	}
	if len(p.want) > 0 {
		beat.Wanted = &toucanwire.DocumentsRequest{Wanted: toWire(p.want)}
		p.want, p.wanted = nil, p.want
	}
	documents, err := p.holder.documents(p.asked)
	beat.Documents = documents
	p.asked, p.sent = nil, p.asked
	return err
}

// Take takes in the peer's heartbeat. It reports whether the next one should follow at once, because there
// is something new to ask for or to send. An error is about a document that was not taken; the link goes on.
func (p *Peer) Take(beat *toucanwire.Heartbeat) (again bool, err error) {
	for _, d := range beat.Documents {
		err = stderrors.Join(err, p.takeDocument(d))
	}
	p.heard = beat.RevisionsDigest
	if len(beat.Revisions) > 0 {
		p.revisions = fromWire(beat.Revisions)
	}
	p.confirm()
	p.asked = fromWire(beat.GetWanted().GetWanted())
	p.want = nil
	p.holder.release(p)
	if p.heard != p.holder.Digest() {
		p.want = p.holder.claim(p, p.behind())
	}
	newAsk := len(p.asked) > 0 && !slices.Equal(p.asked, p.sent)
	newWant := len(p.want) > 0 && !slices.Equal(p.want, p.wanted)
	return newAsk || newWant, err
}

// confirm notes what the peer is known to hold.
func (p *Peer) confirm() {
	if digest := p.holder.Digest(); p.heard == digest && p.confirmed != digest {
		p.confirmed = digest
		p.holder.confirm(p.holder.Revisions())
		return
	}
	p.holder.confirm(p.revisions)
}

// behind returns what the peer is ahead in, asking for whole documents where a patch did not fit.
func (p *Peer) behind() []Revision {
	want := p.holder.Behind(p.revisions)
	for i, r := range want {
		if p.whole[r.Path] {
			want[i].Revision = 0
		}
	}
	return want
}

func (p *Peer) takeDocument(d *toucanwire.Document) error {
	var err error
	if d.Patch == nil {
		err = p.holder.offerPacked(d)
	} else {
		_, err = p.holder.OfferPatch(d.Path, patchFromWire(d))
	}
	p.whole[d.Path] = errors.Is(err, toucanrevision.ErrPatch)
	if p.whole[d.Path] {
		return nil
	}
	return err
}

// Lag is how far an instance is behind in one document.
type Lag struct {
	Path string `json:"path"`
	// Held and Newest are the instance's revision and the newest known.
	Held   uint64 `json:"held"`
	Newest uint64 `json:"newest"`
}

// Revisions returns what the peer was last known to hold.
func (p *Peer) Revisions() []Revision {
	if p.heard == p.holder.Digest() {
		return p.holder.Revisions()
	}
	return p.revisions
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
