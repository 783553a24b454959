package toucanentry

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
)

const (
	// bodyPoolBytes limits the total size of the bodies of all requests in progress; workspaceBodyBytes limits it for
	// each workspace.
	bodyPoolBytes      = 32 << 20
	workspaceBodyBytes = bodyPoolBytes / 2
	// bodyRetryAfter is the Retry-After value of requests that are refused because the body pool is full.
	bodyRetryAfter = time.Second

	codeBodyTimeout    = "bodyTimeout"
	codeBodyIncomplete = "bodyIncomplete"
	codeBodiesFull     = "overloaded"
)

// bodyPool counts the bytes of request bodies in memory. It is safe for concurrent use.
type bodyPool struct {
	mu       sync.Mutex
	reserved int
	// byWorkspace holds the reserved bytes of each workspace that has any.
	byWorkspace map[string]int
}

func newBodyPool() *bodyPool { return &bodyPool{byWorkspace: make(map[string]int)} }

func (p *bodyPool) reserve(workspace string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved+n > bodyPoolBytes || p.byWorkspace[workspace]+n > workspaceBodyBytes {
		return false
	}
	p.reserved += n
	p.byWorkspace[workspace] += n
	return true
}

func (p *bodyPool) release(workspace string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= n
	p.byWorkspace[workspace] -= n
	if p.byWorkspace[workspace] == 0 {
		delete(p.byWorkspace, workspace)
	}
}

// pooledBody is a request body whose bytes are reserved in a bodyPool as they are read.
type pooledBody struct {
	io.ReadCloser
	pool      *bodyPool
	workspace string
	control   *http.ResponseController
	reserved  int
	started   bool
	// ctx is the request's context. stopWatch ends the watch for its end, which begins with the first Read. It returns false if the
	// watch has seen the end; watched is then closed when it no longer uses control.
	ctx       context.Context
	stopWatch func() bool
	watched   chan struct{}
}

// poolBody replaces the request's body with a pooledBody. The returned function releases the body's bytes, and the response,
// which echo gives to another request afterwards.
func (e *Entry) poolBody(c *echo.Context, workspace string) (release func()) {
	r := c.Request()
	b := &pooledBody{ReadCloser: r.Body, pool: e.bodies, workspace: workspace, control: http.NewResponseController(c.Response())}
	b.ctx, b.stopWatch = r.Context(), func() bool { return true }
	r.Body = b
	return func() {
		b.endWatch()
		b.pool.release(workspace, b.reserved)
	}
}

// endWatch ends the watch for the end of the request's context. Afterwards nothing uses control.
func (b *pooledBody) endWatch() {
	if !b.stopWatch() {
		<-b.watched
	}
}

// Read implements io.Reader. The whole body must arrive within readBodyTimeout after the first Read, and before the request's
// context ends.
func (b *pooledBody) Read(buf []byte) (int, error) {
	if !b.started {
		b.started = true
		b.limitTime(readBodyTimeout)
		b.watch()
	}
	n, err := b.ReadCloser.Read(buf)
	if !b.pool.reserve(b.workspace, n) {
		f := newFailure(http.StatusServiceUnavailable, codeBodiesFull, "the entry holds too many request bodies at the moment")
		f.body.Retryable, f.retryAfter = true, bodyRetryAfter
		return 0, f
	}
	b.reserved += n
	if err != nil {
		b.endWatch()
	}
	return n, bodyError(b.ctx, err)
}

// watch ends a blocked Read when the request's context ends.
func (b *pooledBody) watch() {
	b.watched = make(chan struct{})
	stop := context.AfterFunc(b.ctx, func() {
		defer close(b.watched)
		b.limitTime(0)
	})
	b.stopWatch = sync.OnceValue(stop)
}

// limitTime sets the time that is left for the body. The HTTP server clears the read deadline at the end of the body.
func (b *pooledBody) limitTime(left time.Duration) {
	_ = b.control.SetReadDeadline(time.Now().Add(left)) // not every writer has deadlines
}

func bodyError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && endedByStop(ctx):
		return stoppingFailure(&progress{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newFailure(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return newFailure(http.StatusBadRequest, codeBodyIncomplete, "the body ended before it was whole")
	}
	return err
}

// writeTimeout is how long a write to the caller can block before the caller's connection is closed.
const writeTimeout = time.Minute

// setWriteDeadline sets the deadline for writes to the caller to writeTimeout from now.
func setWriteDeadline(c *echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout)) // not every writer has deadlines
}

// clearWriteDeadline removes the write deadline, so that it does not apply to the connection's next request.
func clearWriteDeadline(c *echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{}) // not every writer has deadlines
}
