package toucanlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// repeatsPerSecond is how many lines with the same message are written per second. Further lines are summarised.
	repeatsPerSecond = 50
)

// RepeatLimiter is a slog.Handler that limits the rate of lines with the same message, so that they do not crowd out
// others. Lines beyond repeatsPerSecond are suppressed; at the end of the second the last of them is written with the
// number of suppressed lines. It is safe for concurrent use.
type RepeatLimiter struct {
	next     slog.Handler
	counters *messageCounters
}

// messageCounters counts lines by message. The messages of a program are constants, so their number is bounded.
type messageCounters struct {
	mu sync.Mutex
	// byMessage is nil once the handler is closed.
	byMessage map[string]*messageCounter
}

// messageCounter counts the lines with one message in the current second.
type messageCounter struct {
	secondStart time.Time
	written     int
	// suppressed is the number of suppressed lines, last the last of them, and next the handler that writes it.
	suppressed int
	last       slog.Record
	next       slog.Handler
	timer      *time.Timer
}

// NewRepeatLimiter returns a handler that passes lines on to next.
func NewRepeatLimiter(next slog.Handler) *RepeatLimiter {
	return &RepeatLimiter{next: next, counters: &messageCounters{byMessage: make(map[string]*messageCounter)}}
}

// Enabled implements slog.Handler.
func (h *RepeatLimiter) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler. Derived handlers share their counters.
func (h *RepeatLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RepeatLimiter{next: h.next.WithAttrs(attrs), counters: h.counters}
}

// WithGroup implements slog.Handler.
func (h *RepeatLimiter) WithGroup(name string) slog.Handler {
	return &RepeatLimiter{next: h.next.WithGroup(name), counters: h.counters}
}

// Handle implements slog.Handler.
func (h *RepeatLimiter) Handle(ctx context.Context, r slog.Record) error {
	if h.counters.suppress(h.next, r) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// Close writes the pending summaries. Later lines are written without a limit.
func (h *RepeatLimiter) Close() {
	for _, c := range h.counters.close() {
		c.writeSummary()
	}
}

// suppress counts a line and reports whether it is suppressed.
func (cs *messageCounters) suppress(next slog.Handler, r slog.Record) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.byMessage == nil {
		return false
	}
	c, ok := cs.byMessage[r.Message]
	if !ok {
		c = &messageCounter{}
		cs.byMessage[r.Message] = c
	}
	if now := time.Now(); c.suppressed == 0 && now.Sub(c.secondStart) >= time.Second {
		c.secondStart, c.written = now, 0
	}
	if c.written < repeatsPerSecond {
		c.written++
		return false
	}
	c.suppressed++
	c.last, c.next = r.Clone(), next
	if c.suppressed == 1 {
		c.timer = time.AfterFunc(time.Until(c.secondStart.Add(time.Second)), func() { cs.flush(c) })
	}
	return true
}

// flush writes the summary of a message and starts a new second for it.
func (cs *messageCounters) flush(c *messageCounter) {
	cs.mu.Lock()
	due := *c
	c.suppressed, c.secondStart, c.written = 0, time.Now(), 0
	cs.mu.Unlock()
	due.writeSummary()
}

func (cs *messageCounters) close() []messageCounter {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var due []messageCounter
	for _, c := range cs.byMessage {
		if c.suppressed > 0 && c.timer.Stop() {
			due = append(due, *c)
		}
	}
	cs.byMessage = nil
	return due
}

// writeSummary writes the last suppressed line with the number of suppressed lines.
func (c messageCounter) writeSummary() {
	if c.suppressed == 0 {
		return
	}
	c.last.AddAttrs(slog.Int(LinesSummarised, c.suppressed))
	_ = c.next.Handle(context.Background(), c.last) // A failure to write the log can't be logged.
}
