package toucanentry

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
)

const (
	// bodyPoolBytes bounds the bodies of all requests in progress, and workspaceBodyBytes those of one workspace.
	bodyPoolBytes      = 32 << 20
	workspaceBodyBytes = bodyPoolBytes / 2
	// bodyRetryAfter is when a caller whose body found no room should come back.
	bodyRetryAfter = time.Second

	codeBodyTimeout    = "bodyTimeout"
	codeBodyIncomplete = "bodyIncomplete"
	codeBodiesFull     = "overloaded"
)

// bodyPool counts the bytes of the bodies that the entry holds.
type bodyPool struct {
	mu   sync.Mutex
	held int
	// byWorkspace has an entry for each workspace that holds any.
	byWorkspace map[string]int
}

func newBodyPool() *bodyPool { return &bodyPool{byWorkspace: make(map[string]int)} }

func (p *bodyPool) take(workspace string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held+n > bodyPoolBytes || p.byWorkspace[workspace]+n > workspaceBodyBytes {
		return false
	}
	p.held += n
	p.byWorkspace[workspace] += n
	return true
}

func (p *bodyPool) release(workspace string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held -= n
	p.byWorkspace[workspace] -= n
	if p.byWorkspace[workspace] == 0 {
		delete(p.byWorkspace, workspace)
	}
}

// pooledBody is a request's body whose bytes count as they arrive, until release.
type pooledBody struct {
	io.ReadCloser
	pool      *bodyPool
	workspace string
	control   *http.ResponseController
	taken     int
	started   bool
}

// poolBody replaces the request's body. The returned function gives its bytes back.
func (e *Entry) poolBody(c *echo.Context, workspace string) (release func()) {
	r := c.Request()
	b := &pooledBody{ReadCloser: r.Body, pool: e.bodies, workspace: workspace, control: http.NewResponseController(c.Response())}
	r.Body = b
	return func() { b.pool.release(workspace, b.taken) }
}

// Read implements io.Reader. The whole body must arrive within readBodyTimeout.
func (b *pooledBody) Read(buf []byte) (int, error) {
	if !b.started {
		b.started = true
		// The HTTP server clears the deadline when the body has ended. Not every writer has deadlines.
		_ = b.control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	}
	n, err := b.ReadCloser.Read(buf)
	if !b.pool.take(b.workspace, n) {
		f := fail(http.StatusServiceUnavailable, codeBodiesFull, "the entry holds too many request bodies at the moment")
		f.body.Retryable, f.retryAfter = true, bodyRetryAfter
		return 0, f
	}
	b.taken += n
	return n, bodyError(err)
}

func bodyError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fail(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return fail(http.StatusBadRequest, codeBodyIncomplete, "the body ended before it was whole")
	}
	return err
}

// writeTimeout is how long a caller may take nothing of its answer before its connection is closed.
const writeTimeout = time.Minute

// limitWrite bounds the writes that follow.
func limitWrite(c *echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout)) // not every writer has deadlines
}

// unlimitWrite keeps the deadline from the connection's next request.
func unlimitWrite(c *echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{}) // not every writer has deadlines
}
