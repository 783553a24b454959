package toucanbody

// Reservation is the part of a Memory that one growing buffer holds. It is not safe for concurrent use. A nil Reservation covers
// every size.
type Reservation struct {
	memory *Memory
	// free is the size in bytes that needs no memory.
	free int
	// held is the number of reserved bytes.
	held int
}

// Reservation returns an empty reservation for a buffer whose first free bytes need none.
func (m *Memory) Reservation(free int) *Reservation { return &Reservation{memory: m, free: free} }

// Cover reserves what a buffer of size bytes needs beyond what is reserved already. It returns false and reserves nothing if less is
// left. It never shrinks the reservation.
func (r *Reservation) Cover(size int) bool {
	if r == nil {
		return true
	}
	need := size - r.free - r.held
	if need <= 0 {
		return true
	}
	if !r.memory.take(need) {
		return false
	}
	r.held += need
	return true
}

// Release returns the reserved bytes.
func (r *Reservation) Release() {
	if r == nil || r.held == 0 {
		return
	}
	r.memory.free(r.held)
	r.held = 0
}
