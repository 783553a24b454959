// Package toucanevent splits the byte streams of endpoints into server-sent events and checks their sequence, so that a caller gets each
// event once and in order, also when several endpoints take turns at one stream.
package toucanevent

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"

	"toucanport/toucanbody"
)

// Parser splits a byte stream into events and checks that their numeric ids are consecutive. It keeps its state when a stream is resumed
// at another endpoint. The zero value is a parser before the first event. It is not safe for concurrent use.
type Parser struct {
	// memory covers the bytes that are kept; nil for any number.
	memory *toucanbody.Reservation
	// uncovered is true once there was no memory for the bytes that are kept.
	uncovered bool
	// pending holds the bytes of an event that is not complete yet.
	pending []byte
	// last is the id of the last event that the caller has; empty before the first.
	last string
	// count is the number of events with an id that Parse returned.
	count int
	// arrived is true once the present endpoint has sent an event with an id, reached once it has sent the last one or a later one.
	arrived, reached bool
	// sinceProgress is the number of bytes of comments, events without an id and repeated events that were complete since
	// the last new event with an id.
	sinceProgress int
}

// Option configures a Parser.
type Option func(*Parser)

// WithMemory sets the reservation that covers the bytes that the parser keeps.
func WithMemory(r *toucanbody.Reservation) Option { return func(p *Parser) { p.memory = r } }

// WithLast sets the id of the last event that the caller has from an earlier stream, as ParseID returns it; empty for none. What comes
// up to it is left out, and what follows it must not skip a number.
func WithLast(id string) Option { return func(p *Parser) { p.last = id } }

// New returns a parser before the first event.
func New(opts ...Option) *Parser {
	p := &Parser{}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// MaxBytes bounds one event of a stream, together with all that precedes it since the last new event with an id. It
// leaves room for the keep-alive comments of a slow stream.
const MaxBytes = 1 << 20

var (
	blankLine = []byte("\n\n")
	idField   = []byte("id:")
)

// Last returns the id of the last event that the caller has; empty before the first.
func (p *Parser) Last() string { return p.last }

// Count returns the number of events with an id that Parse returned.
func (p *Parser) Count() int { return p.count }

// HasPartial reports whether bytes of an event have arrived that is not complete.
func (p *Parser) HasPartial() bool { return len(p.pending) > 0 }

// IsSilent reports whether the present endpoint has sent no complete event with an id.
func (p *Parser) IsSilent() bool { return !p.arrived }

// IsBehind reports whether the present endpoint has sent events, but none as late as the last one that the caller has. If its stream
// ends so, that is not the end of what the caller has seen.
func (p *Parser) IsBehind() bool { return p.arrived && !p.reached }

// Parse returns the events that b completes, without those that were returned before. gap is true if the id of the next
// event skips numbers, so that events are missing; that event and those after it are not returned. Once TooLong reports
// true, Parse keeps and returns nothing more.
func (p *Parser) Parse(b []byte) (whole []byte, gap bool) {
	if p.TooLong() {
		return nil, false
	}
	p.pending = append(p.pending, b...)
	for {
		end := bytes.Index(p.pending, blankLine)
		if end < 0 {
			p.uncovered = !p.memory.Cover(cap(p.pending) + cap(whole))
			return whole, false
		}
		event := p.pending[:end+len(blankLine)]
		p.sinceProgress += len(event)
		isNew, gap := p.checkSequence(eventID(event))
		if gap {
			return whole, true
		}
		if isNew {
			whole = append(whole, event...)
		}
		p.pending = p.pending[len(event):]
	}
}

// TooLong reports whether more than MaxBytes have followed the last new event with an id, or more than there is memory for.
func (p *Parser) TooLong() bool {
	return p.uncovered || p.sinceProgress+len(p.pending) > MaxBytes
}

// checkSequence compares the id of the next event with the last one. isNew is false if the caller has the event;
// gap is true if ids between the two are missing. Events without an id are always new.
func (p *Parser) checkSequence(id string) (isNew, gap bool) {
	if id == "" {
		return true, false
	}
	p.arrived = true
	n, err := strconv.ParseUint(id, 10, 64)
	previous, previousErr := strconv.ParseUint(p.last, 10, 64)
	if err == nil && previousErr == nil {
		if n <= previous {
			p.reached = p.reached || n == previous
			return false, false
		}
		if n > previous+1 {
			return false, true
		}
	}
	p.last, p.sinceProgress, p.reached = id, 0, true
	p.count++
	return true, false
}

// NextEndpoint prepares for the stream of the next endpoint. An incomplete event is dropped, as that endpoint sends it again.
func (p *Parser) NextEndpoint() {
	p.pending, p.sinceProgress, p.uncovered = nil, 0, false
	p.arrived, p.reached = false, false
}

// ErrID is returned for the text of an event's id that is no number.
var ErrID = errors.New("id of an event is not a number")

// ParseID returns the id of an event in the form that endpoints send, without leading zeros. It returns ErrID if text is not a
// non-negative number of 64 bits.
func ParseID(text string) (string, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return "", ErrID
	}
	return strconv.FormatUint(n, 10), nil
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
