// Package toucanreplicate replicates settings documents to every instance over the heartbeats between instances.
// Each instance keeps the highest revision it has received and never goes back to a lower one.
package toucanreplicate

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanwire"
)

// Revision names a document by its path and gives one of its revisions.
type Revision struct {
	Path     string `json:"path"`
	Revision uint64 `json:"revision"`
}

// Holder keeps the documents that are in force on this instance. It is safe for concurrent use.
type Holder struct {
	// tree is immutable and is swapped on each change, so that readers never wait for a writer.
	tree atomic.Pointer[toucansettings.Tree]
	// links is the number of open links to peers.
	links atomic.Int64

	mu sync.Mutex
	// held maps a path to its document; the revision at a path only grows.
	held map[string]toucanrevision.Document
	// teams and operators are the decoded forms of the documents in held.
	teams     map[string]toucansettings.Team
	operators toucansettings.Operators
	digest    uint64
	// changed is closed and replaced when a document is accepted.
	changed chan struct{}
	// replicated maps a path to the highest revision that any peer was known to hold. replicatedChanged is
	// closed and replaced when one of them grows.
	replicated        map[string]uint64
	replicatedChanged chan struct{}
	// pulledFrom maps a path to the peer that this instance requests it from, so that it is transferred once.
	pulledFrom map[string]*Peer
	// encoded caches the encoded form of held documents, as sent to peers.
	encoded map[cacheKey]*toucanwire.Document
}

// cacheKey identifies the encoding of the held revision at path for a peer that holds revision from.
type cacheKey struct {
	path string
	from uint64
}

// NewHolder returns a holder with an empty tree.
func NewHolder() *Holder {
	h := &Holder{
		held:              make(map[string]toucanrevision.Document),
		teams:             make(map[string]toucansettings.Team),
		operators:         toucansettings.NewTree(nil).Operators(),
		changed:           make(chan struct{}),
		replicated:        make(map[string]uint64),
		replicatedChanged: make(chan struct{}),
		pulledFrom:        make(map[string]*Peer),
		encoded:           make(map[cacheKey]*toucanwire.Document),
	}
	h.tree.Store(toucansettings.NewTree(nil))
	h.digest = digestOf(nil)
	return h
}

// Tree returns the settings in force.
func (h *Holder) Tree() *toucansettings.Tree { return h.tree.Load() }

// Changed returns a channel that is closed when the next document is accepted.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer accepts d if it is valid and its revision is above the held one, and reports whether it did. After an
// error the held document stays in force.
func (h *Holder) Offer(d toucanrevision.Document) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Revision <= h.held[d.Path].Revision {
		return false, nil
	}
	if err := h.setTyped(d); err != nil {
		return false, err
	}
	h.held[d.Path] = d
	h.dropEncoded(d.Path)
	h.publish()
	return true, nil
}

// OfferBytes parses an encoded document and passes it to Offer.
func (h *Holder) OfferBytes(path string, body []byte) (bool, error) {
	d, err := toucanrevision.ParseDocument(path, body)
	if err != nil {
		return false, err
	}
	return h.Offer(d)
}

// OfferPatch applies p to the held document and passes the result to Offer. The error matches
// toucanrevision.ErrPatch when the patch does not apply; the whole document is then needed.
func (h *Holder) OfferPatch(path string, p toucanrevision.Patch) (bool, error) {
	held, _ := h.Document(path)
	if p.To <= held.Revision {
		return false, nil
	}
	d, err := held.WithPatch(p)
	if err != nil {
		return false, err
	}
	return h.Offer(d)
}

func (h *Holder) setTyped(d toucanrevision.Document) error {
	if d.Path == toucansettings.OperatorsPath {
		o, err := d.Operators()
		if err != nil {
			return errors.Wrap(err, "document rejected")
		}
		h.operators = o
		return nil
	}
	team, err := d.Team()
	if err != nil {
		return errors.Wrap(err, "document rejected")
	}
	h.teams[team.Name] = team
	return nil
}

// publish builds a new tree from the held documents and wakes those that wait for a change.
func (h *Holder) publish() {
	teams := make([]toucansettings.Team, 0, len(h.teams))
	for _, team := range h.teams {
		teams = append(teams, team)
	}
	slices.SortFunc(teams, func(a, b toucansettings.Team) int { return strings.Compare(a.Name, b.Name) })
	h.tree.Store(toucansettings.NewTree(teams).WithOperators(h.operators))
	h.digest = digestOf(h.revisions())
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Holder) dropEncoded(path string) {
	for k := range h.encoded {
		if k.path == path {
			delete(h.encoded, k)
		}
	}
}

// Document returns the held document at path.
func (h *Holder) Document(path string) (toucanrevision.Document, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.held[path]
	if !ok {
		return toucanrevision.NewDocument(path), false
	}
	return d, true
}

// RevisionOf returns the held revision of a document, zero when there is none.
func (h *Holder) RevisionOf(path string) uint64 {
	d, _ := h.Document(path)
	return d.Revision
}

// Revisions returns the held revisions in the order of their paths.
func (h *Holder) Revisions() []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revisions()
}

func (h *Holder) revisions() []Revision {
	out := make([]Revision, 0, len(h.held))
	for path, d := range h.held {
		out = append(out, Revision{Path: path, Revision: d.Revision})
	}
	slices.SortFunc(out, func(a, b Revision) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// Digest returns a digest of Revisions. Two holders with equal digests hold the same revisions.
func (h *Holder) Digest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest
}

func digestOf(revisions []Revision) uint64 {
	d := xxhash.New()
	for _, r := range revisions {
		_, _ = d.WriteString(r.Path)
		_, _ = d.Write([]byte{0})
		var b [8]byte
		for i := range b {
			b[i] = byte(r.Revision >> (8 * i))
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// Outdated returns the documents that the peer holds at a higher revision than this holder. Each Revision in
// the result is the one held here, from which a patch would start.
func (h *Holder) Outdated(peer []Revision) []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Revision
	for _, r := range peer {
		if held := h.held[r.Path].Revision; r.Revision > held {
			out = append(out, Revision{Path: r.Path, Revision: held})
		}
	}
	return out
}
