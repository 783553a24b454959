// Package toucanrelay passes endpoints' answers on to the caller: a short one whole, a long one as it is read, and an event stream
// by whole events. It decides when an answer is whole. What follows one that breaks, its callers decide.
package toucanrelay

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"toucanport/toucanheader"
)

// Answer is an endpoint's answer without its body.
type Answer struct {
	Status int
	Header http.Header
}

// IsEventStream reports whether the content type is that of server-sent events.
func (a Answer) IsEventStream() bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// IsEncoded reports whether the answer has a Content-Encoding. Its body is not the endpoint's, since no encoding is asked for.
func (a Answer) IsEncoded() bool { return len(a.Header.Values("Content-Encoding")) > 0 }

// Writer writes one answer to a caller. It is not safe for concurrent use.
type Writer struct {
	w http.ResponseWriter
	// head is the head of a stream that was not passed on yet, if holds is true.
	head    Answer
	holds   bool
	written int64
}

// NewWriter returns a writer to w.
func NewWriter(w http.ResponseWriter) Writer { return Writer{w: w} }

// Written returns the number of bytes of a stream or of a long body that were passed on.
func (w *Writer) Written() int64 { return w.written }

// HoldHead holds back the head of a stream until WriteHead. Until then, the caller can get another answer.
func (w *Writer) HoldHead(a Answer) { w.head, w.holds = a, true }

// HoldsHead reports whether the head of a stream is held back.
func (w *Writer) HoldsHead() bool { return w.holds }

// WriteHead passes on the head that is held back. It has no effect if there is none.
func (w *Writer) WriteHead() {
	if !w.holds {
		return
	}
	w.holds = false
	toucanheader.Copy(w.w.Header(), w.head.Header)
	w.w.Header().Del("Content-Length")
	w.w.WriteHeader(w.head.Status)
}

// WriteEvents passes on whole events at once, after the head.
func (w *Writer) WriteEvents(events []byte) error {
	w.WriteHead()
	n, err := w.w.Write(events)
	w.written += int64(n)
	if err == nil {
		err = http.NewResponseController(w.w).Flush()
	}
	return errors.Wrap(err, "write to the caller")
}

// WriteWhole passes on an answer whose whole body was buffered.
func (w *Writer) WriteWhole(a Answer, body []byte) error {
	toucanheader.Copy(w.w.Header(), a.Header)
	w.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.w.WriteHeader(a.Status)
	_, err := w.w.Write(body)
	return err
}

// WriteLong passes on an answer of whose body the first part was buffered, and the rest as it is read. If it returns an error, the
// caller has a part of the answer, and its connection is to be aborted.
func (w *Writer) WriteLong(a Answer, first []byte, rest io.Reader) error {
	toucanheader.Copy(w.w.Header(), a.Header)
	if n := a.Header.Get("Content-Length"); n != "" {
		w.w.Header().Set("Content-Length", n)
	}
	w.w.WriteHeader(a.Status)
	n, err := w.w.Write(first)
	w.written += int64(n)
	if err != nil {
		return err
	}
	copied, err := io.Copy(w.w, rest)
	w.written += copied
	return err
}

// Abort ends the caller's connection in the middle of an answer to in, so that the answer does not look complete. It does not return: it
// panics with http.ErrAbortHandler.
func (w *Writer) Abort(in *http.Request) {
	if !in.ProtoAtLeast(1, 1) {
		w.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the caller's connection. An answer in HTTP/1.0 without a length ends where its connection is closed, and a cut one would look
// whole.
func (w *Writer) reset() {
	conn, _, err := http.NewResponseController(w.w).Hijack()
	if err != nil {
		return // The server closes the connection.
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // The connection may have ended.
	}
	_ = conn.Close() // As above.
}
