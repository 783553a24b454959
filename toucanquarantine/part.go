package toucanquarantine

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrQuarantined means that a request, or a part of its prompt, ends engines.
var ErrQuarantined = errors.New("engines end when they answer the request or on a part of its prompt")

// FormatParts formats the ids of prompt parts for the log, as callers send them.
func FormatParts(parts []Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(uint64(p), 16)
	}
	return strings.Join(ids, ",")
}
