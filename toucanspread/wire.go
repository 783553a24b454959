package toucanspread

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucanwire"
)

// maxDocumentBytes bounds an unpacked document; the store holds values up to a megabyte.
const maxDocumentBytes = 1 << 20

func toWire(revisions []Revision) []*toucanwire.DocumentRevision {
	out := make([]*toucanwire.DocumentRevision, len(revisions))
	for i, r := range revisions {
		out[i] = &toucanwire.DocumentRevision{Path: r.Path, Revision: r.Revision}
	}
	return out
}

func fromWire(revisions []*toucanwire.DocumentRevision) []Revision {
	out := make([]Revision, len(revisions))
	for i, r := range revisions {
		out[i] = Revision{Path: r.Path, Revision: r.Revision}
	}
	return out
}

// documents returns what a peer asked for, as patches from what it holds where the history reaches back.
func (h *Holder) documents(asked []Revision) ([]*toucanwire.Document, error) {
	var out []*toucanwire.Document
	for _, r := range asked {
		d, ok := h.Document(r.Path)
		if !ok || d.Revision <= r.Revision {
			continue
		}
		packed, err := h.pack(d, r.Revision)
		if err != nil {
			return out, err
		}
		out = append(out, packed)
	}
	return out, nil
}

// maxPacked bounds the cache of packed documents.
const maxPacked = 64

// pack returns d as sent to a peer that holds the revision from. Many peers ask for the same.
func (h *Holder) pack(d toucanrevision.Document, from uint64) (*toucanwire.Document, error) {
	key := packKey{d.Path, from}
	h.mu.Lock()
	packed, ok := h.packed[key]
	h.mu.Unlock()
	if ok && packed.Revision == d.Revision {
		return packed, nil
	}
	packed, err := pack(d, from)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.packed) < maxPacked && h.held[d.Path].Revision == d.Revision {
		h.packed[key] = packed
	}
	return packed, nil
}

func pack(d toucanrevision.Document, from uint64) (*toucanwire.Document, error) {
	patch, ok, err := d.PatchFrom(from)
	if err != nil {
		return nil, err
	}
	if ok {
		return &toucanwire.Document{Path: d.Path, Revision: d.Revision, Patch: patchToWire(patch)}, nil
	}
	body, err := d.Encode()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	zw := gzip.NewWriter(&b)
	if _, err := zw.Write(body); err != nil {
		return nil, errors.Wrap(err, "compressing settings")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing settings")
	}
	return &toucanwire.Document{Path: d.Path, Revision: d.Revision, Body: b.Bytes()}, nil
}

func (h *Holder) offerPacked(d *toucanwire.Document) error {
	if d.Revision <= h.RevisionOf(d.Path) {
		return nil
	}
	zr, err := gzip.NewReader(bytes.NewReader(d.Body))
	if err != nil {
		return errors.Wrapf(err, "document %s", d.Path)
	}
	body, err := io.ReadAll(io.LimitReader(zr, maxDocumentBytes+1))
	if err != nil {
		return errors.Wrapf(err, "document %s", d.Path)
	}
	if len(body) > maxDocumentBytes {
		return errors.Errorf("document %s is over %d bytes", d.Path, maxDocumentBytes)
	}
	_, err = h.OfferBytes(d.Path, body)
	return err
}

func patchToWire(p toucanrevision.Patch) *toucanwire.DocumentPatch {
	out := &toucanwire.DocumentPatch{From: p.From, Sum: p.Sum}
	for _, c := range p.Changes {
		out.Changes = append(out.Changes, &toucanwire.DocumentChange{
			Id:           c.ID,
			AtUnixMillis: c.At.UnixMilli(),
			Author:       c.Author,
			Revision:     c.Revision,
			Paths:        c.Paths,
			Refused:      c.Refused,
		})
	}
	for _, e := range p.Edits {
		out.Edits = append(out.Edits, &toucanwire.DocumentEdit{Path: e.Path, Body: e.Body, Gone: e.Gone})
	}
	return out
}

func patchFromWire(d *toucanwire.Document) toucanrevision.Patch {
	p := toucanrevision.Patch{From: d.Patch.From, To: d.Revision, Sum: d.Patch.Sum}
	for _, c := range d.Patch.Changes {
		p.Changes = append(p.Changes, toucanrevision.Change{
			ID:       c.Id,
			At:       time.UnixMilli(c.AtUnixMillis).UTC(),
			Author:   c.Author,
			Revision: c.Revision,
			Paths:    c.Paths,
			Refused:  c.Refused,
		})
	}
	for _, e := range d.Patch.Edits {
		p.Edits = append(p.Edits, toucanrevision.PatchEdit{Path: e.Path, Body: e.Body, Gone: e.Gone})
	}
	return p
}
