package toucanheader

import (
	"net/http"
	"sort"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionHeadersAreDropped checks that hop-by-hop headers are not forwarded, including those that Connection
// lists.
func TestConnectionHeadersAreDropped(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-End": {"2"}}
	out := EndToEnd(h)
	names := make([]string, 0, len(out))
	for name := range out {
		names = append(names, name)
	}
	sort.Strings(names)
	assert.DeepEqual(t, names, []string{"X-End"})
}
