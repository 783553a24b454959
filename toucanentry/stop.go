package toucanentry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanwire"
)

// endMargin is how long before the end of a bounded stop the requests still in progress are ended with a
// truthful answer.
const endMargin = time.Second

// errStopping is the cause of the end of requests that a stopping entry cannot finish.
var errStopping = errors.New("the entry is stopping")

func (e *Entry) awaitDrained(ctx context.Context) {
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
}

// Shutdown takes no new connections, lets requests in progress end, and then closes the links. When ctx has a
// deadline, what cannot finish before it is ended shortly before: its caller is told how far it came, and a
// generation goes on so that it can be resumed through another entry.
func (e *Entry) Shutdown(ctx context.Context) error {
	if e.stopping.Swap(true) {
		e.awaitDrained(ctx)
		return ctx.Err()
	}
	defer close(e.drained)
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(time.Until(deadline.Add(-endMargin)), func() { e.endRequests(errStopping) })
		defer timer.Stop()
	}
	err := e.server.Shutdown(ctx)
	e.links.CloseAll()
	return errors.Wrap(err, "requests were still in progress")
}

// gone is the error of a request whose ctx has ended.
func gone(ctx context.Context, prog *progress) error {
	if stopped(ctx) {
		return stoppingFailure(prog)
	}
	return ctx.Err()
}

// stopped reports whether ctx ended because the entry stops, not because the caller went away.
func stopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// stoppingFailure is the last answer of a request that the entry cannot finish.
func stoppingFailure(prog *progress) *failure {
	f := fail(http.StatusServiceUnavailable, toucanwire.CodeLeaving, "the entry is stopping; resume the generation through another entry")
	f.body.Ran = toucanwire.RanUnknown
	f.body.Retryable = true
	f.retryAfter = time.Second
	if prog.next > 0 {
		f.body.Ran = toucanwire.RanPartly
	}
	return f
}
