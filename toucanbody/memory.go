package toucanbody

import "sync"

// Memory bounds the bytes that all bodies together keep beyond the first freeBytes of each, or that all its reservations hold. It is safe
// for concurrent use.
type Memory struct {
	limit int

	mu sync.Mutex
	// used is at most limit.
	used int
	// declined counts the bodies and buffers for which no memory was left.
	declined int64
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: limit} }

// Usage describes a Memory at one moment.
type Usage struct {
	// Used and Limit are in bytes.
	Used, Limit int
	// Declined is the number of bodies and buffers so far for which no memory was left.
	Declined int64
}

// Usage returns the current usage.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Usage{Used: m.used, Limit: m.limit, Declined: m.declined}
}

// take reserves n bytes. It returns false if fewer are left.
func (m *Memory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.limit {
		m.declined++
		return false
	}
	m.used += n
	return true
}

// free returns n reserved bytes.
func (m *Memory) free(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}
