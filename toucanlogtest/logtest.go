// Package toucanlogtest is for tests that check what is logged.
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

// longWait bounds what a test waits for; one that needs it has failed.
const longWait = 10 * time.Second

// Log keeps the lines of a log, so that a test may show what was logged since it last did. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	shown int
}

// Logger returns a logger that writes here.
func (l *Log) Logger() *slog.Logger { return slog.New(slog.NewJSONHandler(l, nil)) }

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// All returns everything that was logged.
func (l *Log) All() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Next returns the lines since the last call, once there are n: level, message and fields, without the time and without
// the values of durations. Times in wait pass as the test's clock does.
func (l *Log) Next(t *testing.T, n int) string {
	t.Helper()
	for deadline := time.Now().Add(longWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		fresh, ok := l.take(n)
		if !ok {
			continue
		}
		var b strings.Builder
		for _, line := range fresh {
			_, _ = fmt.Fprintln(&b, plain(t, line))
		}
		return b.String()
	}
	t.Fatalf("%d lines were not logged; the log is\n%s", n, l.All())
	return ""
}

// Messages adds the messages that were logged to seen.
func (l *Log) Messages(t *testing.T, seen map[string]bool) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(l.All()), "\n") {
		var fields struct{ Msg string }
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		seen[fields.Msg] = true
	}
}

// take returns the lines since the last call, once there are n.
func (l *Log) take(n int) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() == 0 {
		return nil, n == 0
	}
	lines := strings.Split(strings.TrimSpace(l.buf.String()), "\n")
	if len(lines)-l.shown < n {
		return nil, false
	}
	fresh := lines[l.shown:]
	l.shown = len(lines)
	return fresh, true
}

func plain(t *testing.T, line string) string {
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
