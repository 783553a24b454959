package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	file       *os.File
	began      time.Time
	violations int
	counts     map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now(), counts: make(map[string]int)}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation writes a line about a broken rule.
func (r *record) violation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	r.lineLocked("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// count counts an occurrence of something.
func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *record) counted(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
