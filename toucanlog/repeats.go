package toucanlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// repeatsPerSecond is how many lines with one message are written in a second; what comes beyond that is summarised.
	repeatsPerSecond = 50
)

// Repeats is a slog.Handler that keeps one kind of line from crowding out the others: the first lines with a message in
// a second are written as they come; of those that follow, the last one is written with their number when the second is
// over. It is safe for concurrent use.
type Repeats struct {
	next  slog.Handler
	kinds *kinds
}

// kinds counts lines by message. The messages of a program are constants, so that their number is bounded.
type kinds struct {
	mu sync.Mutex
	// byMessage is nil once the handler is closed.
	byMessage map[string]*kind
}

// kind is the lines with one message in the present second.
type kind struct {
	since   time.Time
	written int
	// held is the number of lines that were not written, and last the last of them.
	held  int
	last  slog.Record
	next  slog.Handler
	timer *time.Timer
}

// NewRepeats returns a handler in front of next.
func NewRepeats(next slog.Handler) *Repeats {
	return &Repeats{next: next, kinds: &kinds{byMessage: make(map[string]*kind)}}
}

// Enabled implements slog.Handler.
func (h *Repeats) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler. The handlers made from one share their counts.
func (h *Repeats) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Repeats{next: h.next.WithAttrs(attrs), kinds: h.kinds}
}

// WithGroup implements slog.Handler.
func (h *Repeats) WithGroup(name string) slog.Handler {
	return &Repeats{next: h.next.WithGroup(name), kinds: h.kinds}
}

// Handle implements slog.Handler.
func (h *Repeats) Handle(ctx context.Context, r slog.Record) error {
	if h.kinds.hold(h.next, r) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// Close writes the summaries that are due. Lines that come later are written as they come.
func (h *Repeats) Close() {
	for _, k := range h.kinds.close() {
		k.summarise()
	}
}

// hold counts a line and reports whether it waits for a summary.
func (ks *kinds) hold(next slog.Handler, r slog.Record) bool {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if ks.byMessage == nil {
		return false
	}
	k, ok := ks.byMessage[r.Message]
	if !ok {
		k = &kind{}
		ks.byMessage[r.Message] = k
	}
	if now := time.Now(); k.held == 0 && now.Sub(k.since) >= time.Second {
		k.since, k.written = now, 0
	}
	if k.written < repeatsPerSecond {
		k.written++
		return false
	}
	k.held++
	k.last, k.next = r.Clone(), next
	if k.held == 1 {
		k.timer = time.AfterFunc(time.Until(k.since.Add(time.Second)), func() { ks.endSecond(k) })
	}
	return true
}

// endSecond writes a kind's summary and lets its lines through again.
func (ks *kinds) endSecond(k *kind) {
	ks.mu.Lock()
	due := *k
	k.held, k.since, k.written = 0, time.Now(), 0
	ks.mu.Unlock()
	due.summarise()
}

func (ks *kinds) close() []kind {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	var due []kind
	for _, k := range ks.byMessage {
		if k.held > 0 && k.timer.Stop() {
			due = append(due, *k)
		}
	}
	ks.byMessage = nil
	return due
}

// summarise writes the last line that was held, with the number of those that it stands for.
func (k kind) summarise() {
	if k.held == 0 {
		return
	}
	k.last.AddAttrs(slog.Int(LinesSummarised, k.held))
	_ = k.next.Handle(context.Background(), k.last) // Nothing can be told of a log that can't be written.
}
