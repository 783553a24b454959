package toucanreplicate

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanrevision"
	"toucanport/toucanwire"
)

// maxDocumentBytes bounds a decompressed document; the store holds values of up to 1 MiB.
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

// documents returns the documents that a peer requested. A document is sent as a patch when its history reaches
// back to the revision that the peer holds, otherwise whole.
func (h *Holder) documents(requested []Revision) ([]*toucanwire.Document, error) {
	var out []*toucanwire.Document
	for _, r := range requested {
		d, ok := h.Document(r.Path)
		if !ok || d.Revision <= r.Revision {
			continue
		}
		document, err := h.encodeFor(d, r.Revision)
		if err != nil {
			return out, err
		}
		out = append(out, document)
	}
	return out, nil
}

// maxEncoded bounds the number of entries in Holder.encoded.
const maxEncoded = 64

// encodeFor returns d encoded for a peer that holds revision from. The result is cached, because many peers
// request the same revision.
func (h *Holder) encodeFor(d toucanrevision.Document, from uint64) (*toucanwire.Document, error) {
	key := cacheKey{d.Path, from}
	h.mu.Lock()
	document, ok := h.encoded[key]
	h.mu.Unlock()
	if ok && document.Revision == d.Revision {
		return document, nil
	}
	document, err := encodeDocument(d, from)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.encoded) < maxEncoded && h.held[d.Path].Revision == d.Revision {
		h.encoded[key] = document
	}
	return document, nil
}

func encodeDocument(d toucanrevision.Document, from uint64) (*toucanwire.Document, error) {
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

func (h *Holder) offerCompressed(d *toucanwire.Document) error {
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
