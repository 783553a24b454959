package toucanrelay

import (
	"io"

	"toucanport/toucanbody"
)

const (
	// MaxBuffered is the number of bytes of an answer that are read before the first byte is passed on, if there is memory for
	// them. An answer that is cut within them can still be retried or refused.
	MaxBuffered = 256 << 10
	// FreeBytes is the part of a request's answer, in bytes, that is buffered without a reservation of memory.
	FreeBytes = 32 << 10
	// firstBuffer is the size in bytes with which a buffer begins. It holds most answers.
	firstBuffer = 2 << 10
)

// Buffer reads the body of an answer to its end, up to MaxBuffered, or until memory has no more for it. whole is true at
// the end of the body.
func Buffer(r io.Reader, memory *toucanbody.Reservation) (body []byte, whole bool, err error) {
	body = make([]byte, 0, firstBuffer)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF { //nolint:errorlint // a reader returns io.EOF unwrapped
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := 2 * cap(body)
		if size > MaxBuffered || !memory.Cover(size) {
			return body, false, nil
		}
		body = append(make([]byte, 0, size), body...)
	}
}
