package toucanforward

import (
	"bytes"
	"strconv"

	"toucanport/toucanbody"
)

// eventParser splits a byte stream into server-sent events and checks that their numeric ids are consecutive. It
// keeps its state when a stream is resumed at another endpoint.
type eventParser struct {
	// memory covers the bytes that are kept; nil for any number.
	memory *toucanbody.Reservation
	// uncovered is true once there was no memory for the bytes that are kept.
	uncovered bool
	// pending holds the bytes of an event that is not complete yet.
	pending []byte
	// last is the id of the last complete event; empty before the first.
	last string
	// count is the number of complete events with an id, without repeated ones.
	count int
	// sinceProgress is the number of bytes of comments, events without an id and repeated events that were complete since
	// the last new event with an id.
	sinceProgress int
}

// maxEventBytes bounds one event of a stream, together with all that precedes it since the last new event with an id. It
// leaves room for the keep-alive comments of a slow stream.
const maxEventBytes = 1 << 20

var (
	blankLine = []byte("\n\n")
	idField   = []byte("id:")
)

// parse returns the events that p completes, without those that were returned before. gap is true if the id of the next
// event skips numbers, so that events are missing; that event and those after it are not returned. Once tooLong reports
// true, parse keeps and returns nothing more.
func (e *eventParser) parse(p []byte) (whole []byte, gap bool) {
	if e.tooLong() {
		return nil, false
	}
	e.pending = append(e.pending, p...)
	for {
		end := bytes.Index(e.pending, blankLine)
		if end < 0 {
			e.uncovered = !e.memory.Cover(cap(e.pending) + cap(whole))
			return whole, false
		}
		event := e.pending[:end+len(blankLine)]
		e.sinceProgress += len(event)
		isNew, gap := e.checkSequence(eventID(event))
		if gap {
			return whole, true
		}
		if isNew {
			whole = append(whole, event...)
		}
		e.pending = e.pending[len(event):]
	}
}

// tooLong reports whether more than maxEventBytes have followed the last new event with an id, or more than there is memory for.
func (e *eventParser) tooLong() bool {
	return e.uncovered || e.sinceProgress+len(e.pending) > maxEventBytes
}

// checkSequence compares the id of the next event with the last one. isNew is false if the event was returned before;
// gap is true if ids between the two are missing. Events without an id are always new.
func (e *eventParser) checkSequence(id string) (isNew, gap bool) {
	if id == "" {
		return true, false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	previous, previousErr := strconv.ParseUint(e.last, 10, 64)
	if err == nil && previousErr == nil {
		if n <= previous {
			return false, false
		}
		if n > previous+1 {
			return false, true
		}
	}
	e.last, e.sinceProgress = id, 0
	e.count++
	return true, false
}

// discardPartial drops an incomplete event before the stream resumes at another endpoint, which sends it again.
func (e *eventParser) discardPartial() {
	e.pending, e.sinceProgress, e.uncovered = nil, 0, false
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
