package toucandocument

import (
	"fmt"
	"strconv"
	"strings"
)

// Units of size in bytes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
	GiB int64 = 1 << 30
)

type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits are ordered by size, with the suffix "B" last because the others end in it too.
var sizeUnits = []sizeUnit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// ParseSize parses a whole number with a unit, B, KiB, MiB or GiB, and returns the size in bytes.
func ParseSize(s string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			return 0, fmt.Errorf("size %q is not a whole number with a unit", s)
		}
		return n * u.bytes, nil
	}
	return 0, fmt.Errorf("size %q has no unit of B, KiB, MiB or GiB", s)
}

// FormatSize formats a size of n bytes in the largest unit that divides it. ParseSize parses the result.
func FormatSize(n int64) string {
	for _, u := range sizeUnits {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}
