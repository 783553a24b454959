package toucanforward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lineLog keeps the lines of a log, so that a script may show what was logged since it last did.
type lineLog struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	shown int
}

// Write implements io.Writer.
func (l *lineLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lineLog) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// take returns the lines since the last call, once there are n.
func (l *lineLog) take(n int) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(l.buf.String()), "\n")
	if l.buf.Len() == 0 || len(lines)-l.shown < n {
		return nil, false
	}
	fresh := lines[l.shown:]
	l.shown = len(lines)
	return fresh, true
}

// next returns the lines since the last call, once there are n, as message and fields.
func (l *lineLog) next(t *testing.T, n int, rename *strings.Replacer) string {
	t.Helper()
	for deadline := time.Now().Add(longWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		fresh, ok := l.take(n)
		if !ok {
			continue
		}
		var b strings.Builder
		for _, line := range fresh {
			_, _ = fmt.Fprintln(&b, rename.Replace(plainLine(t, line)))
		}
		return b.String()
	}
	t.Fatalf("%d lines were not logged", n)
	return ""
}

// port is what differs from run to run in a cause.
var port = regexp.MustCompile(`127\.0\.0\.1:\d+->|readfrom tcp \S+ `)

// plainLine shows a line without its time, and its durations without their values.
func plainLine(t *testing.T, line string) string {
	t.Helper()
	var fields map[string]any
	assert.NilError(t, json.Unmarshal([]byte(line), &fields))
	shown := []string{fmt.Sprintf("%v %v:", fields["level"], fields["msg"])}
	var rest []string
	for name, value := range fields {
		switch {
		case name == "time" || name == "level" || name == "msg":
		case strings.HasSuffix(name, "Ms"):
			rest = append(rest, name)
		default:
			rest = append(rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(rest)
	return port.ReplaceAllString(strings.Join(append(shown, rest...), " "), "")
}

// rename returns a replacer of the endpoints' addresses by their names.
func (sc *scene) rename() *strings.Replacer {
	var pairs []string
	for _, e := range sc.endpoints {
		pairs = append(pairs, e.address(), "address of "+e.name)
	}
	return strings.NewReplacer(pairs...)
}

// messages adds the messages that were logged to seen.
func (l *lineLog) messages(t *testing.T, seen map[string]bool) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(l.all()), "\n") {
		var fields struct{ Msg string }
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		seen[fields.Msg] = true
	}
}
