package toucanlog

import (
	"io"
	"log/slog"
)

// ProcessLog is the log of a process, in JSON lines. Until the process begins to stop, the rate of its lines is limited, and
// lines that repeat a message are summarised. It is safe for concurrent use.
type ProcessLog struct {
	ring    *Ring
	repeats *RepeatLimiter
}

// NewProcessLog returns a log that writes to w until Close.
func NewProcessLog(w io.Writer) *ProcessLog {
	ring := NewRing(w)
	return &ProcessLog{ring: ring, repeats: NewRepeatLimiter(slog.NewJSONHandler(ring, nil))}
}

// Logger returns a logger that writes to the log.
func (l *ProcessLog) Logger() *slog.Logger { return slog.New(l.repeats) }

// Dropped returns the number of dropped lines.
func (l *ProcessLog) Dropped() uint64 { return l.ring.Dropped() }

// BeginStop lifts the limits, so that the log names each request that the stop ends. From then on a line is written at once.
func (l *ProcessLog) BeginStop() {
	l.repeats.Close()
	l.ring.Unlimit()
}

// Close writes the lines that are left.
func (l *ProcessLog) Close() {
	l.repeats.Close()
	_ = l.ring.Close() // A failure to write the log can't be logged.
}
