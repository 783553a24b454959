package toucanheader

import (
	"net/http"
	"net/http/httptest"
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

// TestAnswerGetsNoContentTypeOfItsOwn guards against an answer that says what its endpoint did not: net/http guesses a missing content type.
func TestAnswerGetsNoContentTypeOfItsOwn(t *testing.T) {
	for _, from := range []http.Header{{}, {"Content-Type": {"text/x-made"}}} {
		w := httptest.NewRecorder()
		Copy(w.Header(), from)
		_, err := w.WriteString("<html>")
		assert.NilError(t, err)
		assert.DeepEqual(t, w.Result().Header.Values("Content-Type"), from.Values("Content-Type"))
	}
}
