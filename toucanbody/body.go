// Package toucanbody holds the bodies of callers' requests. A body that is kept whole can be sent any number of times. One
// for which no memory is left is passed on as it arrives, and can be sent once.
package toucanbody

import (
	"bytes"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const (
	// freeBytes is the part of each body that is kept without a reservation.
	freeBytes = 64 << 10
	// blockBytes is the size of the blocks that hold the rest, each of which is reserved before it is read.
	blockBytes = 64 << 10
)

var (
	// ErrTooLong is returned for a body that is longer than the caller may send.
	ErrTooLong = errors.New("body is too long")
	// ErrSpent is returned by a reader of a body that can be sent once and was sent before.
	ErrSpent = errors.New("body can be sent only once")
)

// Body is the body of one request. It alone knows whether the request can be sent again whole. It is safe for concurrent
// use. The zero value is an empty body.
type Body struct {
	memory *Memory
	// length is the number of bytes of a body that is kept whole.
	length int
	// rest is what follows the blocks of a body that is not kept whole; nil for others.
	rest io.Reader

	mu sync.Mutex
	// blocks holds the first bytes, or all of them if rest is nil. Blocks that were sent leave it if rest is not nil.
	blocks [][]byte
	// reserved is the number of bytes of memory that the body holds.
	reserved int
	// sender is the only reader that may read a body with a rest; nil until it has begun.
	sender *onceReader
	// ended is true once rest was read to its end.
	ended bool
}

// Read reads a body of at most maxLength bytes, without a bound if that is zero. It returns when it has read the whole body,
// or when no memory is left for more of it. The body must be released. The error is ErrTooLong or that of r.
func Read(r io.Reader, maxLength int64, m *Memory) (*Body, error) {
	b := &Body{memory: m}
	if maxLength > 0 {
		r = &lengthLimit{r: r, left: maxLength}
	}
	first, err := io.ReadAll(io.LimitReader(r, freeBytes))
	if err != nil {
		return nil, err
	}
	b.add(first)
	for whole := len(first) < freeBytes; !whole && b.rest == nil; {
		if whole, err = b.readBlock(r); err != nil {
			b.Release()
			return nil, err
		}
	}
	return b, nil
}

// readBlock reads another block, or sets rest if there is no memory for it. It returns true at the end of the body.
func (b *Body) readBlock(r io.Reader) (whole bool, err error) {
	var next [1]byte
	if _, err := fill(r, next[:]); err != nil {
		return err == io.EOF, ignoreEnd(err) //nolint:errorlint // a reader returns io.EOF unwrapped
	}
	if !b.memory.take(blockBytes) {
		b.rest = io.MultiReader(bytes.NewReader(next[:]), r)
		return false, nil
	}
	b.reserved += blockBytes
	block := make([]byte, blockBytes)
	block[0] = next[0]
	n, err := fill(r, block[1:])
	b.add(block[:1+n])
	return err == io.EOF, ignoreEnd(err) //nolint:errorlint // as above
}

func (b *Body) add(block []byte) {
	b.blocks = append(b.blocks, block)
	b.length += len(block)
}

// fill reads until p is full. Unlike io.ReadFull, it returns the reader's own error, which tells the end of the body from a
// body that was cut.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	if n == len(p) {
		return n, nil
	}
	return n, err
}

func ignoreEnd(err error) error {
	if err == io.EOF { //nolint:errorlint // a reader returns io.EOF unwrapped
		return nil
	}
	return err
}

// Whole reports whether all of the body is kept, so that it can be sent any number of times.
func (b *Body) Whole() bool { return b.rest == nil }

// Repeatable reports whether the body can be sent whole now: it is kept whole, or no byte of it was sent.
func (b *Body) Repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil || b.sender == nil
}

// Length returns the number of bytes, or -1 if it is unknown, since the body is not kept whole.
func (b *Body) Length() int64 {
	if b.rest != nil {
		return -1
	}
	return int64(b.length)
}

// Reader returns a reader of the whole body, from its beginning. If the body can be sent only once, the first reader that is
// used gets it, and the others return ErrSpent.
func (b *Body) Reader() io.Reader {
	if b.rest != nil {
		return &onceReader{body: b}
	}
	return b.kept(int64(b.length))
}

// kept returns a reader of up to n bytes of the blocks.
func (b *Body) kept(n int64) io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &blockReader{blocks: slices.Clone(b.blocks), left: n}
}

// Prefix returns a reader of up to n of the bytes that are kept and were not sent yet.
func (b *Body) Prefix(n int64) io.Reader { return b.kept(n) }

// Release returns the reserved memory. Readers that are still in use keep their bytes.
func (b *Body) Release() {
	b.mu.Lock()
	n := b.reserved
	b.reserved = 0
	b.mu.Unlock()
	if n > 0 {
		b.memory.free(n)
	}
}

// Unread reports whether the caller's request has bytes of the body that were not read.
func (b *Body) Unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest != nil && !b.ended
}

// blockReader reads the first bytes of some blocks. It writes them without a buffer of its own.
type blockReader struct {
	blocks [][]byte
	// left is the number of bytes that may still be read.
	left int64
}

// next returns what may be read of the first block that is left; empty at the end.
func (r *blockReader) next() []byte {
	for len(r.blocks) > 0 && len(r.blocks[0]) == 0 {
		r.blocks = r.blocks[1:]
	}
	if len(r.blocks) == 0 {
		return nil
	}
	return r.blocks[0][:min(r.left, int64(len(r.blocks[0])))]
}

// take records that n bytes of the first block were read.
func (r *blockReader) take(n int) {
	r.blocks[0] = r.blocks[0][n:]
	r.left -= int64(n)
}

// Read implements io.Reader.
func (r *blockReader) Read(p []byte) (int, error) {
	block := r.next()
	if len(block) == 0 {
		return 0, io.EOF
	}
	n := copy(p, block)
	r.take(n)
	return n, nil
}

// WriteTo implements io.WriterTo.
func (r *blockReader) WriteTo(w io.Writer) (written int64, err error) {
	for block := r.next(); len(block) > 0 && err == nil; block = r.next() {
		var n int
		n, err = w.Write(block)
		r.take(n)
		written += int64(n)
	}
	return written, err
}

// onceReader reads a body with a rest. It frees each block that it has read.
type onceReader struct {
	body *Body
	// block is what is left of the block that is being read.
	block []byte
}

// Read implements io.Reader.
func (r *onceReader) Read(p []byte) (int, error) {
	if len(r.block) == 0 {
		if err := r.nextBlock(); err != nil {
			return 0, err
		}
	}
	if len(r.block) > 0 {
		n := copy(p, r.block)
		r.block = r.block[n:]
		return n, nil
	}
	n, err := r.body.rest.Read(p)
	if err == io.EOF { //nolint:errorlint // a reader returns io.EOF unwrapped
		r.body.mu.Lock()
		r.body.ended = true
		r.body.mu.Unlock()
	}
	return n, err
}

// nextBlock takes the next block from the body. It takes none once all were taken.
func (r *onceReader) nextBlock() error {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sender == nil {
		b.sender = r
	}
	if b.sender != r {
		return ErrSpent
	}
	if len(b.blocks) == 0 {
		return nil
	}
	r.block = b.blocks[0]
	b.blocks = b.blocks[1:]
	if done := b.reserved - len(b.blocks)*blockBytes; done > 0 {
		b.reserved -= done
		b.memory.free(done)
	}
	return nil
}

// lengthLimit returns ErrTooLong once more than left bytes were read.
type lengthLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *lengthLimit) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, ErrTooLong
	}
	return n, err
}
