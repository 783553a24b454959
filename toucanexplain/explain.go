// Package toucanexplain tells one request's story from the logs of the entries: what was decided for it, and what its
// entry and its endpoints went through meanwhile.
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
	// before and after are how much of what happened around a request belongs to its story.
	before = 3 * time.Second
	after  = time.Second
	// maxEvents bounds the lines that are kept while the request's own are still to come.
	maxEvents = 200000
	// maxLine bounds one line; a longer one counts as broken.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Details are the line's other fields as name=value, in the order of their names.
	Details []string `json:"details"`

	request  string
	endpoint string
	fields   map[string]any
}

// Story is what the logs tell of one request.
type Story struct {
	RequestID string `json:"requestId"`
	// Lines are the request's own and those around it, in order of time.
	Lines []Line `json:"lines"`
	// Broken counts lines that could not be read, and Dropped those that processes say they dropped or summed up.
	Broken  int `json:"broken"`
	Dropped int `json:"dropped"`
	// Ending says in a sentence how the request ended, as far as the logs tell.
	Ending string `json:"ending"`
}

// Reader collects the lines of one request from any number of logs.
type Reader struct {
	id      string
	own     []Line
	events  []Line
	broken  int
	dropped int
}

// NewReader returns a reader for the request id.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read takes in one log. Lines that can't be read are counted and passed over.
func (r *Reader) Read(log io.Reader) error { return readLines(log, r.line) }

// readLines hands each line of a log that is not blank to take.
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

func (r *Reader) line(text []byte) {
	l, err := parse(text)
	if err != nil {
		r.broken++
		return
	}
	r.dropped += l.missing()
	switch {
	case l.request == r.id:
		r.own = append(r.own, l)
	case l.Message == toucanlog.MsgLinesDropped:
	case l.request == "" && len(r.events) < maxEvents:
		r.events = append(r.events, l)
	}
}

// missing returns how many lines are not in the log for which this one stands.
func (l Line) missing() int {
	if l.Message == toucanlog.MsgLinesDropped {
		return l.number(toucanlog.Lines)
	}
	if n := l.number(toucanlog.LinesSummarised); n > 0 {
		return n - 1
	}
	return 0
}

// text returns a field as text; empty when it is not there.
func (l Line) text(name string) string {
	value, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// number returns a field that is a number; zero when it is not there.
func (l Line) number(name string) int {
	n, _ := l.fields[name].(float64)
	return int(n)
}

// parse reads a line. What a collector put before the JSON is passed over.
func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || len(text) > maxLine {
		return Line{}, errors.New("no log line")
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "log line")
	}
	l := Line{Instance: str(fields[toucanlog.Instance]), Message: str(fields[slog.MessageKey]), request: str(fields[toucanlog.RequestID]), endpoint: str(fields[toucanlog.Endpoint]), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, str(fields[slog.TimeKey]))
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

// str returns a field that is a text, and nothing for one of another kind.
func str(value any) string {
	s, _ := value.(string)
	return s
}

// Story returns what was read.
func (r *Reader) Story() Story {
	s := Story{RequestID: r.id, Broken: r.broken, Dropped: r.dropped}
	s.Lines = append(s.Lines, r.own...)
	sortLines(s.Lines)
	s.Ending = r.ending(s.Lines)
	if len(s.Lines) > 0 {
		s.Lines = append(s.Lines, r.around(s.Lines)...)
		sortLines(s.Lines)
	}
	return s
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// around returns the events of the request's endpoints and entries while it was under way.
func (r *Reader) around(own []Line) []Line {
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, l := range own {
		instances[l.Instance] = true
		if l.endpoint != "" {
			endpoints[l.endpoint] = true
		}
	}
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
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

// endings say what a request's last line means, by how the line's message begins.
var endings = []struct{ message, sentence string }{
	{toucanlog.MsgRequestAnswered, "The caller got the endpoint's answer"},
	{toucanlog.MsgRequestFailed, "The caller got the endpoint's own failure"},
	{toucanlog.MsgRequestRefused, "The caller got an answer of the entry's own"},
	{toucanlog.MsgStreamCut, "The caller's connection was closed before the stream's end"},
	{toucanlog.MsgCallerLeft, "The caller left before the end"},
}

func (r *Reader) ending(own []Line) string {
	if len(own) == 0 {
		return "No line speaks of this request. Successes are sampled: it may have been answered, or the logs are of other entries or times." + r.gaps()
	}
	last := own[len(own)-1]
	for _, e := range endings {
		if strings.HasPrefix(last.Message, e.message) {
			return e.sentence + ": " + strings.Join(last.Details, " ") + "."
		}
	}
	return "No last line: the request was answered and not sampled, or its entry ended; look for its next start." + r.gaps()
}

func (r *Reader) gaps() string {
	if r.dropped == 0 && r.broken == 0 {
		return ""
	}
	return fmt.Sprintf(" %d lines were dropped and %d could not be read.", r.dropped, r.broken)
}
