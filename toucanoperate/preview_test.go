package toucanoperate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v5"
	"gotest.tools/v3/assert"

	"toucanport/toucansettings"
)

// TestPreviewsAreForTheWorkspacesOwner checks who may ask where a workspace's requests would go.
func TestPreviewsAreForTheWorkspacesOwner(t *testing.T) {
	s := &Server{cfg: Config{Preview: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}}
	for _, test := range []struct {
		sender principal
		may    bool
	}{
		{principal{Identity: toucansettings.Identity{Operator: true, Name: "ann"}}, true},
		{principal{Identity: toucansettings.Identity{Name: "blue"}}, true},
		{principal{Identity: toucansettings.Identity{Name: "red"}}, false},
		{principal{Identity: toucansettings.Identity{Operator: true, Name: "bootstrap"}, bootstrap: true}, false},
	} {
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/preview?workspace=blue/w", http.NoBody), httptest.NewRecorder())
		err := s.getPreview(c, test.sender)
		if test.may {
			assert.NilError(t, err)
		} else {
			assert.ErrorIs(t, err, errForbidden)
		}
	}
}
