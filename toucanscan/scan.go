// Package toucanscan finds the ends of heads and of chunked bodies in the bytes of a connection, in constant memory, and counts the bytes and lines of
// heads. It takes what net/http takes, and performs no I/O.
package toucanscan

import (
	"bytes"

	"github.com/pkg/errors"
)

// Lines counts the bytes and lines of a head, up to the empty line that ends it. Like net/http, it takes lines that end with or
// without a carriage return.
type Lines struct {
	// Bytes and Lines are those of the head so far, with empty lines before it.
	Bytes, Lines int
	// line is the number of bytes of the current line so far.
	line int
	// blank is true if the current line is at most one carriage return so far.
	blank bool
	// begun is true once a line was not empty. The empty lines before are none of the head's.
	begun bool
}

// NewHead returns the scan of a request's head.
func NewHead() Lines { return Lines{blank: true} }

// newTrailer returns the scan of the trailer of a chunked body, which has no first line.
func newTrailer() Lines { return Lines{blank: true, begun: true} }

// Scan counts bytes of the head and returns how many of p belong to it, and whether it ended with them.
func (s *Lines) Scan(p []byte) (n int, ended bool) {
	for n < len(p) {
		length := bytes.IndexByte(p[n:], '\n')
		if length < 0 {
			s.extend(p[n:])
			return len(p), false
		}
		s.extend(p[n : n+length])
		n += length + 1
		if s.endLine() {
			return n, true
		}
	}
	return n, false
}

// extend adds bytes to the current line.
func (s *Lines) extend(p []byte) {
	if len(p) == 0 {
		return
	}
	s.blank = s.line == 0 && len(p) == 1 && p[0] == '\r'
	s.line += len(p)
	s.Bytes += len(p)
}

// endLine ends the current line and reports whether the head ended with it.
func (s *Lines) endLine() bool {
	ended := s.blank && s.begun
	s.begun = s.begun || !s.blank
	s.Bytes++
	s.Lines++
	s.line, s.blank = 0, true
	return ended
}

// ErrMalformed means that a chunked body can't be told from what follows it.
var ErrMalformed = errors.New("chunked body is malformed")

// maxChunkLine is the length in bytes of the longest line with a chunk's size. That of net/http is shorter.
const maxChunkLine = 8 << 10

// chunkState is the part of a chunked body that comes next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
)

// Chunks finds the end of a chunked body. It takes every body that net/http takes. Its zero value is the beginning of a body.
type Chunks struct {
	state chunkState
	// left is the number of bytes that are left of the chunk, or of the line end after it.
	left uint64
	size sizeLine
	// Trailer is what follows the last chunk.
	Trailer Lines
}

// Scan returns how many of p belong to the body, and whether it ended with them. The error is ErrMalformed.
func (s *Chunks) Scan(p []byte) (n int, ended bool, err error) {
	for n < len(p) && !ended && err == nil {
		switch s.state {
		case chunkSize:
			err = s.scanSize(p[n])
			n++
		case chunkData:
			k := min(s.left, uint64(len(p)-n))
			n += int(k)
			s.consume(k, chunkEnd, len(lineEnd))
		case chunkEnd:
			if p[n] != lineEnd[len(lineEnd)-int(s.left)] {
				err = ErrMalformed
			}
			n++
			s.consume(1, chunkSize, 0)
		default:
			var k int
			k, ended = s.Trailer.Scan(p[n:])
			n += k
		}
	}
	return n, ended, err
}

// lineEnd ends the lines and the chunks of a chunked body.
const lineEnd = "\r\n"

// consume takes bytes off what is left, and goes on to the next state once nothing is.
func (s *Chunks) consume(n uint64, next chunkState, left int) {
	s.left -= n
	if s.left == 0 {
		s.state, s.left = next, uint64(left)
	}
}

// scanSize scans a byte of the line with a chunk's size.
func (s *Chunks) scanSize(b byte) error {
	ended, err := s.size.scan(b)
	if err != nil || !ended {
		return err
	}
	if s.size.value == 0 {
		s.state, s.Trailer = chunkTrailer, newTrailer()
	} else {
		s.state, s.left = chunkData, s.size.value
	}
	s.size = sizeLine{}
	return nil
}

// sizeLine is the line with a chunk's size: hexadecimal digits and extensions, which don't matter.
type sizeLine struct {
	value uint64
	// digits and length are the numbers of digits and of bytes so far.
	digits, length int
	// after is true after the digits, and returned after a carriage return.
	after, returned bool
}

const maxSizeDigits = 16

// scan scans a byte and reports whether the line ended with it.
func (l *sizeLine) scan(b byte) (ended bool, err error) {
	l.length++
	digit, isDigit := hexDigit(b)
	switch {
	case l.returned && b == '\n' && l.digits > 0:
		return true, nil
	case l.returned || b == '\n' || l.length > maxChunkLine:
		return false, ErrMalformed
	case b == '\r':
		l.returned = true
	case l.after:
	case b == ';' || b == ' ' || b == '\t':
		l.after = true
	case !isDigit || l.digits == maxSizeDigits:
		return false, ErrMalformed
	default:
		l.value = l.value<<4 | uint64(digit)
		l.digits++
	}
	return false, nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (value byte, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'a' <= b && b <= 'f':
		return b - 'a' + 10, true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}
