// Package toucanlog writes the log of a process without blocking the caller. Lines go into a bounded buffer that one
// goroutine writes out. Lines that do not fit are dropped, and their number is logged once a second.
package toucanlog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// ringLines is the maximum number of buffered lines.
	ringLines = 1024
	// linesPerSecond is the maximum number of lines written per second.
	linesPerSecond = 200
	// dropReportInterval is the minimum time between two lines about dropped lines.
	dropReportInterval = time.Second
	// closeTimeout is the maximum time that Close waits for the reader of the log.
	closeTimeout = time.Second
)

// ErrNotWritten is returned by Close if the reader of the log did not take all lines in time.
var ErrNotWritten = errors.New("log lines not written")

// Ring is an io.Writer for log/slog that expects one line per call. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Uint64
	// unlimited is true once linesPerSecond does not apply any more.
	unlimited atomic.Bool
	stop      chan struct{}
	stopped   chan struct{}
	once      sync.Once
}

// NewRing returns a ring whose lines are written to w until Close.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(r.stopped)
		r.run(w)
	}()
	return r
}

// Write implements io.Writer. It drops the line if the buffer is full; it never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	buffered := append([]byte(nil), line...)
	select {
	case r.lines <- buffered:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Unlimit makes the ring write each further line, at any rate.
func (r *Ring) Unlimit() { r.unlimited.Store(true) }

// Close writes the buffered lines and stops the ring's goroutine. It waits for at most closeTimeout and returns
// ErrNotWritten after that.
func (r *Ring) Close() error {
	r.once.Do(func() { close(r.stop) })
	select {
	case <-r.stopped:
		return nil
	case <-time.After(closeTimeout):
		return ErrNotWritten
	}
}

func (r *Ring) run(w io.Writer) {
	secondStart, written, reported := time.Now(), 0, uint64(0)
	for {
		select {
		case line := <-r.lines:
			now := time.Now()
			if now.Sub(secondStart) >= dropReportInterval {
				reported = r.reportDropped(w, reported)
				secondStart, written = now, 0
			}
			if written >= linesPerSecond && !r.unlimited.Load() {
				r.dropped.Add(1)
				continue
			}
			written++
			_, _ = w.Write(line) // A failure to write the log can't be logged.
		case <-r.stop:
			r.drain(w)
			r.reportDropped(w, reported)
			return
		}
	}
}

func (r *Ring) drain(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// reportDropped writes the number of lines dropped since the last report, if any, and returns the total.
func (r *Ring) reportDropped(w io.Writer, reported uint64) uint64 {
	dropped := r.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(w, `{%q:%q,%q:"WARN",%q:%q,%q:%d}`+"\n", slog.TimeKey, time.Now().Format(time.RFC3339Nano),
			slog.LevelKey, slog.MessageKey, MsgLinesDropped, Lines, dropped-reported)
	}
	return dropped
}
