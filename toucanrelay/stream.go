package toucanrelay

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"toucanport/toucanevent"
	"toucanport/toucanupstream"
)

// readBytes is the size in bytes of one read from an endpoint.
const readBytes = 8 << 10

// ErrBehind means that a stream ended before the last event that the caller has.
var ErrBehind = errors.New("stream ended before the caller's last event")

var (
	errGap     = errors.New("events are missing")
	errPartial = errors.New("stream ended inside an event")
	errLong    = errors.New("event is too long")
	errEmpty   = errors.New("stream without length ended before its first event")
)

// Stream is a caller's event stream. Endpoints make parts of it, one after the other.
type Stream struct {
	Writer *Writer
	// Events splits the stream into events and checks their sequence.
	Events *toucanevent.Parser
	Ends   EndChecker
	// Resumable is true if the caller can resume the stream.
	Resumable bool
}

// Generation is what makes a part of a stream.
type Generation interface {
	// Passing is called before whole events are passed on.
	Passing()
	// StopRequested reports whether an endpoint was asked to stop the generation. The end of its connection is then not the stream's.
	StopRequested() bool
}

// Pass passes on the part of a stream that comes from the endpoint at address. It returns nil if the stream is complete.
func (s Stream) Pass(ctx context.Context, resp *toucanupstream.Response, address string, g Generation) error {
	buf := make([]byte, readBytes)
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			if err := s.passEvents(buf[:n], g); err != nil {
				return err
			}
		}
		if readErr == nil {
			continue
		}
		if ctx.Err() != nil && (!resp.Framed || !errors.Is(readErr, io.EOF)) { // A framed end is the stream's, also when late.
			return ctx.Err()
		}
		if !errors.Is(readErr, io.EOF) || !resp.Framed && g.StopRequested() {
			return readErr
		}
		if err := s.checkEvents(resp.Framed); err != nil {
			return err
		}
		return CheckEnd(ctx, s.Ends, resp, address)
	}
}

// passEvents passes on the events that are whole with the next bytes of a stream.
func (s Stream) passEvents(b []byte, g Generation) error {
	whole, gap := s.Events.Parse(b)
	if len(whole) > 0 {
		g.Passing()
		if err := s.Writer.WriteEvents(whole); err != nil {
			return err
		}
	}
	switch {
	case gap:
		return errGap
	case s.Events.TooLong():
		return errLong
	}
	return nil
}

// checkEvents returns an error if the events show that a stream that was read to its end is not whole.
func (s Stream) checkEvents(framed bool) error {
	switch {
	case s.Events.HasPartial():
		return errPartial
	case s.Events.IsBehind():
		return ErrBehind
	case !framed && (s.Events.Count() == 0 || s.Resumable && s.Events.IsSilent()):
		// The end of the endpoint looks like this.
		return errEmpty
	}
	return nil
}
