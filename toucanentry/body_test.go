package toucanentry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v5"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// slowDeadlines is a response whose read deadlines in the past are set only once released is closed.
type slowDeadlines struct {
	http.ResponseWriter
	released chan struct{}
}

func (w *slowDeadlines) SetReadDeadline(t time.Time) error {
	if !t.After(time.Now()) {
		<-w.released
	}
	return nil
}

// TestReleasedBodyDoesNotTouchTheNextRequest guards against a request that is ended by the late end of the one before it, whose response echo has
// given to it.
func TestReleasedBodyDoesNotTouchTheNextRequest(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &slowDeadlines{ResponseWriter: httptest.NewRecorder(), released: make(chan struct{})}
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", io.MultiReader(strings.NewReader("x"), strings.NewReader("y")))
		c := echo.New().NewContext(r, w)
		e := &Entry{bodies: newBodyPool()}
		release := e.poolBody(c, "w")
		_, err := c.Request().Body.Read(make([]byte, 1))
		assert.NilError(t, err)
		cancel()
		synctest.Wait()
		done := false
		go func() {
			release()
			done = true
		}()
		synctest.Wait()
		assert.Assert(t, !done, "the body was released while it still used its response")
		close(w.released)
		synctest.Wait()
		assert.Assert(t, done)
	})
}
