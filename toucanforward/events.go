package toucanforward

import (
	"bytes"
	"strconv"
)

// events cuts a stream of bytes into whole events and follows their ids.
type events struct {
	// pending is the beginning of an event that is not whole yet.
	pending []byte
	// last is the id of the last whole event; empty before the first.
	last string
	// count is the number of whole events with an id that were new.
	count int
}

var (
	blankLine = []byte("\n\n")
	idField   = []byte("id:")
)

// take returns the whole events that p completes, without those that the caller has already. gap is true when the next
// event does not follow the last one, so that something is missing.
func (e *events) take(p []byte) (whole []byte, gap bool) {
	e.pending = append(e.pending, p...)
	for {
		end := bytes.Index(e.pending, blankLine)
		if end < 0 {
			return whole, false
		}
		event := e.pending[:end+len(blankLine)]
		fresh, gap := e.follow(eventID(event))
		if gap {
			return whole, true
		}
		if fresh {
			whole = append(whole, event...)
		}
		e.pending = e.pending[len(event):]
	}
}

// follow takes in the id of the next event. It is fresh unless the caller has it already.
func (e *events) follow(id string) (fresh, gap bool) {
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
	e.last = id
	e.count++
	return true, false
}

// restart forgets a broken event before the stream goes on elsewhere.
func (e *events) restart() { e.pending = nil }

// eventID returns the id of an event; empty when it has none.
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
