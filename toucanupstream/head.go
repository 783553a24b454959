package toucanupstream

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of an answer, up to the size of the read buffer.
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds the lines of the head, since each takes far more memory than its bytes once it is parsed.
	maxHeadLines = 256
	// noHeadLimit is the limit while a body is read.
	noHeadLimit = -1
)

// errHeadTooLong means that an answer's head has more than maxHeadBytes or maxHeadLines.
var errHeadTooLong = errors.New("head of the answer is too long")

// headLimit reads from r. Between begin and end it bounds the bytes and the lines up to the first empty line, which ends the head.
type headLimit struct {
	r io.Reader
	// left is the number of bytes that may still be read, or noHeadLimit.
	left int
	// lines is the number of lines of the head so far.
	lines int
	// blank is true if the current line of the head has no bytes yet.
	blank bool
	// ended is true once the empty line was read.
	ended bool
}

// begin starts the head of an answer.
func (l *headLimit) begin() {
	*l = headLimit{r: l.r, left: maxHeadBytes}
}

// end lifts the bounds.
func (l *headLimit) end() { l.left = noHeadLimit }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left == noHeadLimit {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.count(p[:n])
	if l.lines > maxHeadLines {
		return 0, errHeadTooLong
	}
	return n, err
}

// count counts the lines of the head in p.
func (l *headLimit) count(p []byte) {
	for _, b := range p {
		switch {
		case l.ended:
			return
		case b == '\n':
			l.lines++
			l.ended = l.blank
			l.blank = true
		case b != '\r':
			l.blank = false
		}
	}
}
