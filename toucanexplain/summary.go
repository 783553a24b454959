package toucanexplain

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"toucanport/toucanlog"
)

// Cause is one reason for which requests failed.
type Cause struct {
	Name     string `json:"cause"`
	Requests int    `json:"requests"`
	// Example is the ID of one of these requests.
	Example string `json:"example"`
}

// Summary counts the failed requests in logs.
type Summary struct {
	// Failed requests received no complete endpoint answer with a status below 500. Late counts completed streams that
	// paused for too long on the way; they are not failures.
	Failed int `json:"failed"`
	Late   int `json:"late"`
	// Unexplained is the number of failed requests whose end is not in the logs.
	Unexplained int `json:"unexplained"`
	// Causes is sorted by the number of requests, highest first, then by name.
	Causes []Cause `json:"causes"`
	// Broken is the number of lines that could not be parsed, Dropped the number of lines that processes dropped or
	// summarised.
	Broken  int `json:"broken"`
	Dropped int `json:"dropped"`
}

const (
	causeUnknown    = "end of request not in the logs"
	causeEntryEnded = "entry process ended abruptly: killed, crashed or lost power"
)

// Counter counts failures in any number of logs.
type Counter struct {
	requests map[string]*requestState
	// starts and stops hold the times at which processes started and stopped, by instance.
	starts, stops map[string][]time.Time
	broken        int
	dropped       int
}

// requestState is what the lines read so far contain about one request.
type requestState struct {
	last  Line
	ended bool
	// cause is empty for a request that did not fail.
	cause string
	late  bool
}

// NewCounter returns a counter without requests.
func NewCounter() *Counter {
	return &Counter{
		requests: make(map[string]*requestState),
		starts:   make(map[string][]time.Time),
		stops:    make(map[string][]time.Time),
	}
}

// Read reads one log. Lines that can't be parsed are counted and skipped.
func (c *Counter) Read(log io.Reader) error { return readLines(log, c.addLine) }

func (c *Counter) addLine(text []byte) {
	l, err := parse(text)
	if err != nil {
		c.broken++
		return
	}
	c.dropped += l.omittedLines()
	switch {
	case l.request != "":
		c.addRequest(l)
	case l.Message == toucanlog.MsgStarted:
		c.starts[l.Instance] = append(c.starts[l.Instance], l.Time)
	case l.Message == toucanlog.MsgStopped:
		c.stops[l.Instance] = append(c.stops[l.Instance], l.Time)
	}
}

func (c *Counter) addRequest(l Line) {
	state, ok := c.requests[l.request]
	if !ok {
		state = &requestState{}
		c.requests[l.request] = state
	}
	if !l.Time.Before(state.last.Time) {
		state.last = l
	}
	if cause, ends := failureOf(l); ends {
		state.ended, state.cause = true, cause
		state.late = state.late || l.textField(toucanlog.Late) == "true"
	}
}

// failureOf reports whether a line marks the end of a request, with the cause if the request failed.
func failureOf(l Line) (cause string, ends bool) {
	switch l.Message {
	case toucanlog.MsgRequestAnswered:
		return "", true
	case toucanlog.MsgRequestRefused:
		return "refused: " + l.textField(toucanlog.Reason), true
	case toucanlog.MsgRequestFailed:
		return "endpoint answered with status " + l.textField(toucanlog.Status), true
	case toucanlog.MsgCallerLeft:
		return "caller disconnected during its stream", true
	case toucanlog.MsgStreamCut:
		return "stream cut: " + causeSuffix(l.textField(toucanlog.Cause)) + ", " + causeSuffix(l.textField(toucanlog.NotResumed)), true
	}
	return "", false
}

// causeSuffix returns the part of a cause after its last colon. The part before contains addresses, which differ
// between requests.
func causeSuffix(cause string) string {
	if cause == "" {
		return "no reason logged"
	}
	return strings.TrimSpace(cause[strings.LastIndexByte(cause, ':')+1:])
}

// Summary returns the counts over all logs read so far.
func (c *Counter) Summary() Summary {
	s := Summary{Broken: c.broken, Dropped: c.dropped}
	byCause := make(map[string]*Cause)
	for id, state := range c.requests {
		cause := c.failureCause(state)
		if state.late {
			s.Late++
		}
		if cause == "" {
			continue
		}
		s.Failed++
		if cause == causeUnknown {
			s.Unexplained++
		}
		if byCause[cause] == nil {
			byCause[cause] = &Cause{Name: cause, Example: id}
		}
		byCause[cause].add(id)
	}
	s.Causes = make([]Cause, 0, len(byCause))
	for _, cause := range byCause {
		s.Causes = append(s.Causes, *cause)
	}
	slices.SortFunc(s.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return s
}

// add counts a request. Example is the smallest ID, so that the same logs always give the same example.
func (c *Cause) add(id string) {
	c.Requests++
	c.Example = min(c.Example, id)
}

// failureCause returns why a request failed; empty if it did not. A request without an end failed with its entry if the
// entry started again later without having stopped regularly.
func (c *Counter) failureCause(state *requestState) string {
	if state.ended {
		return state.cause
	}
	started := slices.ContainsFunc(c.starts[state.last.Instance], state.last.Time.Before)
	if !started {
		return causeUnknown
	}
	if slices.ContainsFunc(c.stops[state.last.Instance], state.last.Time.Before) {
		return causeUnknown
	}
	return causeEntryEnded
}
