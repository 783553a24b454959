package main

import (
	"encoding/binary"
	"hash/fnv"
	"io"
)

// bodyByte returns the byte at an offset of the body of the request with an id. Each offset has its own value, so that a piece that
// is missing, doubled or moved shows.
func bodyBytes(id string, offset, n int) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	seed := h.Sum64()
	out := make([]byte, 0, n+16)
	for word := offset / 8; len(out) < n+offset%8; word++ {
		x := seed + uint64(word)*0x9e3779b97f4a7c15
		x ^= x >> 30
		x *= 0xbf58476d1ce4e5b9
		x ^= x >> 27
		out = binary.BigEndian.AppendUint64(out, x)
	}
	return out[offset%8 : offset%8+n]
}

// bodyCheck compares a body that arrives with that of the request with an id.
type bodyCheck struct {
	id string
	// length is the length of the body that the client sends.
	length int
	// read is the number of bytes so far. differs is the offset of the first other byte, or -1.
	read, differs int
	// complete is true once the end of the body has arrived, as its framing shows.
	complete bool
}

func newBodyCheck(id string, length int) *bodyCheck {
	return &bodyCheck{id: id, length: length, differs: -1}
}

// write compares the next bytes.
func (b *bodyCheck) write(p []byte) {
	want := bodyBytes(b.id, b.read, len(p))
	for i := range p {
		if b.differs < 0 && (p[i] != want[i] || b.read+i >= b.length) {
			b.differs = b.read + i
		}
	}
	b.read += len(p)
}

// readAll reads a body to its end. An error means that the body is cut.
func (b *bodyCheck) readAll(r io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := r.Read(buf)
		b.write(buf[:n])
		if err == io.EOF {
			b.complete = true
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// changed reports whether the body is not the client's: a byte differs, or the end came too early or too late.
func (b *bodyCheck) changed() bool { return b.differs >= 0 || b.complete && b.read != b.length }
