// Package toucanspread brings settings documents to every instance: each one holds the highest revision it
// has seen and never takes a lower one.
package toucanspread

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

// Revision is the revision of one document.
type Revision struct {
	Path     string `json:"path"`
	Revision uint64 `json:"revision"`
}

// Holder holds the documents that are in force on this instance. It is safe for concurrent use.
type Holder struct {
	// tree is replaced whole, so that readers never wait for a writer.
	tree atomic.Pointer[toucansettings.Tree]
	// links counts open links.
	links atomic.Int64

	mu sync.Mutex
	// held has one document per path; its revisions only grow.
	held map[string]toucanrevision.Document
	// teams and operators are the typed forms of held.
	teams     map[string]toucansettings.Team
	operators toucansettings.Operators
	digest    uint64
	// changed is closed and replaced when a document is taken.
	changed chan struct{}
	// replicas are the highest revisions that any peer was known to hold; confirmed is closed and replaced
	// when one of them grows.
	replicas  map[string]uint64
	confirmed chan struct{}
	// pulling says which peer each document is being pulled from, so that it comes once.
	pulling map[string]*Peer
	// packed caches what peers were sent of the held revisions.
	packed map[packKey]*toucanwire.Document
}

// packKey names a document of the held revision as sent to a peer at the revision from.
type packKey struct {
	path string
	from uint64
}

// NewHolder returns a holder with an empty tree.
func NewHolder() *Holder {
	h := &Holder{
		held:      make(map[string]toucanrevision.Document),
		teams:     make(map[string]toucansettings.Team),
		operators: toucansettings.NewTree(nil).Operators(),
		changed:   make(chan struct{}),
		replicas:  make(map[string]uint64),
		confirmed: make(chan struct{}),
		pulling:   make(map[string]*Peer),
		packed:    make(map[packKey]*toucanwire.Document),
	}
	h.tree.Store(toucansettings.NewTree(nil))
	h.digest = digestOf(nil)
	return h
}

// Tree returns what is in force.
func (h *Holder) Tree() *toucansettings.Tree { return h.tree.Load() }

// Changed returns a channel that is closed when the next document is taken.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer takes d if its revision is above the held one and it is valid, and reports whether it did. After an
// error what was in force stays.
func (h *Holder) Offer(d toucanrevision.Document) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Revision <= h.held[d.Path].Revision {
		return false, nil
	}
	if err := h.putTyped(d); err != nil {
		return false, err
	}
	h.held[d.Path] = d
	h.dropPacked(d.Path)
	h.publish()
	return true, nil
}

// OfferBytes offers an encoded document.
func (h *Holder) OfferBytes(path string, body []byte) (bool, error) {
	d, err := toucanrevision.ParseDocument(path, body)
	if err != nil {
		return false, err
	}
	return h.Offer(d)
}

// OfferPatch offers the document that p makes of the held one. The error matches toucanrevision.ErrPatch
// when the whole document is needed.
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

func (h *Holder) putTyped(d toucanrevision.Document) error {
	if d.Path == toucansettings.OperatorsPath {
		o, err := d.Operators()
		if err != nil {
			return errors.Wrap(err, "document not taken")
		}
		h.operators = o
		return nil
	}
	team, err := d.Team()
	if err != nil {
		return errors.Wrap(err, "document not taken")
	}
	h.teams[team.Name] = team
	return nil
}

// publish makes what is held visible to readers.
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

func (h *Holder) dropPacked(path string) {
	for k := range h.packed {
		if k.path == path {
			delete(h.packed, k)
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

// Digest returns a digest of Revisions: two holders with the same one hold the same revisions.
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

// Behind returns what the peer holds at a higher revision than this holder, with the revision that is held
// here, which a patch would start from.
func (h *Holder) Behind(peer []Revision) []Revision {
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
