// Package toucanexplain reconstructs from the logs of entries what happened to a request, and counts failed requests by
// cause.
package toucanexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
)

const (
	// eventsBefore and eventsAfter are how long before a request's first line and after its last one other events are
	// included.
	eventsBefore = 3 * time.Second
	eventsAfter  = time.Second
	// maxEvents is the maximum number of lines without a request ID that are kept in memory.
	maxEvents = 200000
	// maxLine is the maximum size of a line in bytes; longer lines count as broken.
	maxLine = 1 << 20
)

// Line is one parsed line of a log.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Details are the line's other fields as name=value, sorted by name.
	Details []string `json:"details"`

	request  string
	endpoint string
	fields   map[string]any
}

// RequestHistory is what the logs contain about one request.
type RequestHistory struct {
	RequestID string `json:"requestId"`
	// Lines are the lines of the request and of related events, sorted by time.
	Lines []Line `json:"lines"`
	// Broken is the number of lines that could not be parsed, Dropped the number of lines that processes dropped or
	// summarised.
	Broken  int `json:"broken"`
	Dropped int `json:"dropped"`
	// Ending is a sentence that says how the request ended, or that the logs do not contain its end.
	Ending string `json:"ending"`
}

// Reader collects the lines of one request from any number of logs.
type Reader struct {
	id           string
	requestLines []Line
	events       []Line
	broken       int
	dropped      int
}

// NewReader returns a reader for the request with this ID.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read reads one log. Lines that can't be parsed are counted and skipped.
func (r *Reader) Read(log io.Reader) error { return readLines(log, r.addLine) }

// readLines calls take with each line of a log that is not blank.
func readLines(log io.Reader, take func([]byte)) error {
	lines := bufio.NewReaderSize(log, 64<<10)
	for {
		text, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			take(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log")
		}
	}
}

func (r *Reader) addLine(text []byte) {
	l, err := parse(text)
	if err != nil {
		r.broken++
		return
	}
	r.dropped += l.omittedLines()
	switch {
	case l.request == r.id:
		r.requestLines = append(r.requestLines, l)
	case l.Message == toucanlog.MsgLinesDropped:
	case l.request == "" && len(r.events) < maxEvents:
		r.events = append(r.events, l)
	}
}

// omittedLines returns how many other lines are missing from the log because of this one: the lines that it reports as
// dropped, or those that it summarises.
func (l Line) omittedLines() int {
	if l.Message == toucanlog.MsgLinesDropped {
		return l.intField(toucanlog.Lines)
	}
	if n := l.intField(toucanlog.LinesSummarised); n > 0 {
		return n - 1
	}
	return 0
}

// textField returns a field formatted as text; empty if the field does not exist.
func (l Line) textField(name string) string {
	value, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// intField returns a numeric field as an integer; zero if the field does not exist or is not a number.
func (l Line) intField(name string) int {
	n, _ := l.fields[name].(float64)
	return int(n)
}

// parse parses a line. It skips a prefix that a log collector added before the JSON object.
func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || len(text) > maxLine {
		return Line{}, errors.New("not a log line")
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "log line")
	}
	l := Line{Instance: asString(fields[toucanlog.Instance]), Message: asString(fields[slog.MessageKey]), request: asString(fields[toucanlog.RequestID]), endpoint: asString(fields[toucanlog.Endpoint]), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, asString(fields[slog.TimeKey]))
	if err != nil {
		return Line{}, errors.Wrap(err, "time of a log line")
	}
	l.Time = at
	for name, value := range fields {
		switch name {
		case slog.TimeKey, slog.LevelKey, slog.MessageKey, toucanlog.Instance, toucanlog.RequestID:
		default:
			l.Details = append(l.Details, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(l.Details)
	return l, nil
}

// asString returns value if it is a string, and an empty string otherwise.
func asString(value any) string {
	s, _ := value.(string)
	return s
}

// History returns the request's lines and related events from the logs read so far.
func (r *Reader) History() RequestHistory {
	s := RequestHistory{RequestID: r.id, Broken: r.broken, Dropped: r.dropped}
	s.Lines = append(s.Lines, r.requestLines...)
	sortLines(s.Lines)
	s.Ending = r.describeEnding(s.Lines)
	if len(s.Lines) > 0 {
		s.Lines = append(s.Lines, r.relatedEvents(s.Lines)...)
		sortLines(s.Lines)
	}
	return s
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// relatedEvents returns the events of the request's entries and endpoints around the time of the request.
func (r *Reader) relatedEvents(requestLines []Line) []Line {
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, l := range requestLines {
		instances[l.Instance] = true
		if l.endpoint != "" {
			endpoints[l.endpoint] = true
		}
	}
	from, to := requestLines[0].Time.Add(-eventsBefore), requestLines[len(requestLines)-1].Time.Add(eventsAfter)
	var lines []Line
	for _, e := range r.events {
		if e.Time.Before(from) || e.Time.After(to) || !instances[e.Instance] {
			continue
		}
		if e.endpoint == "" || endpoints[e.endpoint] {
			lines = append(lines, e)
		}
	}
	return lines
}

// endings describe the end of a request by the beginning of its last message.
var endings = []struct{ message, sentence string }{
	{toucanlog.MsgRequestAnswered, "The caller received the endpoint's answer"},
	{toucanlog.MsgRequestFailed, "The caller received an error answer from the endpoint"},
	{toucanlog.MsgRequestRefused, "The caller received an error answer from the entry itself"},
	{toucanlog.MsgStreamCut, "The caller's connection was closed before the end of the stream"},
	{toucanlog.MsgCallerLeft, "The caller disconnected before the end of the stream"},
}

func (r *Reader) describeEnding(requestLines []Line) string {
	if len(requestLines) == 0 {
		return "The logs contain no lines of this request. Either it succeeded and was not sampled, or the logs are from other entries or times." + r.describeGaps()
	}
	last := requestLines[len(requestLines)-1]
	for _, e := range endings {
		if strings.HasPrefix(last.Message, e.message) {
			return e.sentence + ": " + strings.Join(last.Details, " ") + "."
		}
	}
	return "The logs do not contain the end of this request. Either it succeeded and was not sampled, or its entry process ended first; look for the entry's next start." + r.describeGaps()
}

func (r *Reader) describeGaps() string {
	if r.dropped == 0 && r.broken == 0 {
		return ""
	}
	return fmt.Sprintf(" %d lines were dropped or summarised and %d could not be parsed.", r.dropped, r.broken)
}
