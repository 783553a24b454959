// Package toucanlogtest captures log output in tests.
package toucanlogtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout limits how long Next waits for lines before it fails the test.
const waitTimeout = 10 * time.Second

// Log captures the lines of a log and returns them in order. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	buf      bytes.Buffer
	returned int
}

// Logger returns a logger that writes to l in JSON.
func (l *Log) Logger() *slog.Logger { return slog.New(slog.NewJSONHandler(l, nil)) }

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// All returns everything that was logged, in JSON.
func (l *Log) All() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Next waits for at least n lines beyond those already returned, and returns all new lines: level, message and fields,
// without the time and without the values of durations. In a synctest bubble it waits in the bubble's time.
func (l *Log) Next(t *testing.T, n int) string {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		fresh, ok := l.takeLines(n)
		if !ok {
			continue
		}
		var b strings.Builder
		for _, line := range fresh {
			_, _ = fmt.Fprintln(&b, formatLine(t, line))
		}
		return b.String()
	}
	t.Fatalf("%d lines were not logged; the log is\n%s", n, l.All())
	return ""
}

// Messages adds the messages of all lines to seen.
func (l *Log) Messages(t *testing.T, seen map[string]bool) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(l.All()), "\n") {
		var fields struct{ Msg string }
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		seen[fields.Msg] = true
	}
}

// takeLines returns the lines beyond those already returned, or false if there are fewer than n.
func (l *Log) takeLines(n int) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() == 0 {
		return nil, n == 0
	}
	lines := strings.Split(strings.TrimSpace(l.buf.String()), "\n")
	if len(lines)-l.returned < n {
		return nil, false
	}
	fresh := lines[l.returned:]
	l.returned = len(lines)
	return fresh, true
}

// formatLine formats a JSON line as level, message and fields sorted by name. Fields whose names end in Ms are shown
// without their values.
func formatLine(t *testing.T, line string) string {
	t.Helper()
	var fields map[string]any
	assert.NilError(t, json.Unmarshal([]byte(line), &fields))
	var rest []string
	for name, value := range fields {
		switch {
		case name == slog.TimeKey || name == slog.LevelKey || name == slog.MessageKey:
		case strings.HasSuffix(name, "Ms"):
			rest = append(rest, name)
		default:
			rest = append(rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(rest)
	head := fmt.Sprintf("%v %v:", fields[slog.LevelKey], fields[slog.MessageKey])
	return strings.Join(append([]string{head}, rest...), " ")
}
