// Package toucanlog writes a process's log of decisions without ever blocking: lines go into a bounded ring that
// one goroutine empties, and what does not fit is counted and told once a second.
package toucanlog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringLines is how many lines wait at most.
	ringLines = 1024
	// linesPerSecond bounds what is written.
	linesPerSecond = 200
	// tellInterval is the time between two lines about dropped ones.
	tellInterval = time.Second
)

// Ring is an io.Writer for log/slog, one line a call. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	stopped sync.WaitGroup
	once    sync.Once
}

// NewRing returns a ring that is emptied into w until Close.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), stop: make(chan struct{})}
	r.stopped.Go(func() { r.run(w) })
	return r
}

// Write implements io.Writer. It never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case r.lines <- kept:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Close writes what waits and ends the ring's goroutine.
func (r *Ring) Close() error {
	r.once.Do(func() { close(r.stop) })
	r.stopped.Wait()
	return nil
}

func (r *Ring) run(w io.Writer) {
	second, written, told := time.Now(), 0, uint64(0)
	for {
		select {
		case line := <-r.lines:
			now := time.Now()
			if now.Sub(second) >= tellInterval {
				told = r.tell(w, told)
				second, written = now, 0
			}
			if written >= linesPerSecond {
				r.dropped.Add(1)
				continue
			}
			written++
			_, _ = w.Write(line) // Nothing can be told of a log that can't be written.
		case <-r.stop:
			r.drain(w)
			r.tell(w, told)
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

// tell writes how many lines were dropped since the last time and returns the count so far.
func (r *Ring) tell(w io.Writer, told uint64) uint64 {
	dropped := r.dropped.Load()
	if dropped > told {
		_, _ = fmt.Fprintf(w, `{%q:%q,%q:"WARN",%q:%q,%q:%d}`+"\n", slog.TimeKey, time.Now().Format(time.RFC3339Nano),
			slog.LevelKey, slog.MessageKey, MsgLinesDropped, Lines, dropped-told)
	}
	return dropped
}
