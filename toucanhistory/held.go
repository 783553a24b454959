package toucanhistory

import "toucanport/toucanstore"

// LargeBody is the size in bytes from which a value is large. Reads that find it unchanged should not read it again.
const LargeBody = 16 << 10

const (
	// valueOverhead is the approximate size of a value in a reply without its key and body, in bytes, and encodedBody
	// the ratio of an encoded body to its bytes.
	valueOverhead = 64
	encodedBody   = 4.0 / 3
)

// Held is what a copy has already read from the store and need not read again.
type Held struct {
	// Values holds the large values by key; it must not be modified. It is nil if there is nothing that was read from the store.
	Values Values
	// Era is the era of their revisions.
	Era uint64
}

// HeldOf returns the large values of a copy, which are of an era.
func HeldOf(vs Values, era uint64) Held {
	large := make(Values)
	for key, v := range vs {
		if len(v.Body) >= LargeBody {
			large[key] = v
		}
	}
	return Held{Values: large, Era: era}
}

// Large returns the held value of a key if it is large and of an era.
func (h Held) Large(key string, era uint64) (toucanstore.Value, bool) {
	v, ok := h.Values[key]
	return v, ok && h.Era == era && len(v.Body) >= LargeBody
}

// ReadBytes returns the approximate size of a complete read that has these values while nothing changes. A large value counts only
// if it was read again although it is the one that was held.
func (h Held) ReadBytes(list []toucanstore.Value) int {
	n := 0
	for _, v := range list {
		n += len(v.Key) + valueOverhead
		if len(v.Body) < LargeBody || h.readAgain(v) {
			n += int(encodedBody * float64(len(v.Body)))
		}
	}
	return n
}

// readAgain reports whether a large value is the held one in a body of its own.
func (h Held) readAgain(v toucanstore.Value) bool {
	old, ok := h.Values[v.Key]
	return ok && old.Revision == v.Revision && len(old.Body) == len(v.Body) && &old.Body[0] != &v.Body[0]
}
