package toucanrelay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"toucanport/toucanupstream"
)

// TestCutAnswerIsNotWholeIfItsCheckIsEnded guards against a cut answer without a length that passes as whole, because its request ended while the
// entry asked whether the endpoint has (ORDER, MIXED).
func TestCutAnswerIsNotWholeIfItsCheckIsEnded(t *testing.T) {
	endpoint := httptest.NewServer(nil)
	address := strings.TrimPrefix(endpoint.URL, "http://")
	endpoint.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("the entry stops"))
	err := CheckEnd(ctx, toucanupstream.NewPool(), &toucanupstream.Response{}, address)
	assert.ErrorIs(t, err, context.Canceled)
}
