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
	// Example is the id of one of them.
	Example string `json:"example"`
}

// Summary counts the failed requests in logs.
type Summary struct {
	// Failed requests got no answer of an endpoint's own below 500, or not all of it. Late counts the streams that came to
	// their end and paused for too long on the way; they have not failed.
	Failed int `json:"failed"`
	Late   int `json:"late"`
	// Unexplained is the part of Failed whose end no line tells of.
	Unexplained int `json:"unexplained"`
	// Causes is in the order of their frequency.
	Causes []Cause `json:"causes"`
	// Broken counts lines that could not be read, and Dropped those that processes say they dropped or summed up.
	Broken  int `json:"broken"`
	Dropped int `json:"dropped"`
}

const (
	causeUnknown    = "no end in the logs"
	causeEntryEnded = "entry ended at once: killed, crashed or without power"
)

// Counter counts failures from any number of logs.
type Counter struct {
	requests map[string]*progress
	// starts and stops hold when processes started and stopped, by instance.
	starts, stops map[string][]time.Time
	broken        int
	dropped       int
}

// progress is how far one request has come in the logs.
type progress struct {
	last  Line
	ended bool
	// cause is empty for a request that has not failed.
	cause string
	late  bool
}

// NewCounter returns a counter that has read nothing.
func NewCounter() *Counter {
	return &Counter{
		requests: make(map[string]*progress),
		starts:   make(map[string][]time.Time),
		stops:    make(map[string][]time.Time),
	}
}

// Read takes in one log. Lines that can't be read are counted and passed over.
func (c *Counter) Read(log io.Reader) error { return readLines(log, c.line) }

func (c *Counter) line(text []byte) {
	l, err := parse(text)
	if err != nil {
		c.broken++
		return
	}
	c.dropped += l.missing()
	switch {
	case l.request != "":
		c.request(l)
	case l.Message == toucanlog.MsgStarted:
		c.starts[l.Instance] = append(c.starts[l.Instance], l.Time)
	case l.Message == toucanlog.MsgStopped:
		c.stops[l.Instance] = append(c.stops[l.Instance], l.Time)
	}
}

func (c *Counter) request(l Line) {
	p, ok := c.requests[l.request]
	if !ok {
		p = &progress{}
		c.requests[l.request] = p
	}
	if !l.Time.Before(p.last.Time) {
		p.last = l
	}
	if cause, ends := failureOf(l); ends {
		p.ended, p.cause = true, cause
		p.late = p.late || l.text(toucanlog.Late) == "true"
	}
}

// failureOf reports whether a line tells of a request's end, and the cause if the request failed.
func failureOf(l Line) (cause string, ends bool) {
	switch l.Message {
	case toucanlog.MsgRequestAnswered:
		return "", true
	case toucanlog.MsgRequestRefused:
		return "refused: " + l.text(toucanlog.Reason), true
	case toucanlog.MsgRequestFailed:
		return "endpoint answered with status " + l.text(toucanlog.Status), true
	case toucanlog.MsgCallerLeft:
		return "caller left its stream", true
	case toucanlog.MsgStreamCut:
		return "stream cut: " + lastPart(l.text(toucanlog.Cause)) + ", " + lastPart(l.text(toucanlog.NotResumed)), true
	}
	return "", false
}

// lastPart leaves out what differs between requests in a cause: addresses come before its last colon.
func lastPart(cause string) string {
	if cause == "" {
		return "no word on going on"
	}
	return strings.TrimSpace(cause[strings.LastIndexByte(cause, ':')+1:])
}

// Summary returns the counts of what was read.
func (c *Counter) Summary() Summary {
	s := Summary{Broken: c.broken, Dropped: c.dropped}
	byCause := make(map[string]*Cause)
	for id, p := range c.requests {
		cause := c.cause(p)
		if p.late {
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

// add counts a request. The example is the first by name, so that the same logs give the same one.
func (c *Cause) add(id string) {
	c.Requests++
	c.Example = min(c.Example, id)
}

// cause says why a request failed; empty for one that has not.
func (c *Counter) cause(p *progress) string {
	if p.ended {
		return p.cause
	}
	started := slices.ContainsFunc(c.starts[p.last.Instance], p.last.Time.Before)
	if !started {
		return causeUnknown
	}
	if slices.ContainsFunc(c.stops[p.last.Instance], p.last.Time.Before) {
		return causeUnknown
	}
	return causeEntryEnded
}
