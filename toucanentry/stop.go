package toucanentry

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"toucanport/toucanwait"
	"toucanport/toucanwire"
)

// endMargin is how long before the deadline of Shutdown the remaining requests are ended, so that there is time to send
// their answers.
const endMargin = time.Second

// linkMargin is how long before the deadline of Shutdown the links are closed, so that a request whose link has stalled is
// answered too.
const linkMargin = endMargin / 2

const (
	// openTime is how long callers can still send requests on open connections after a stop has begun. Load balancers learn in
	// that time that the entry is not ready.
	openTime = 2500 * time.Millisecond
	// connectionsInterval is the time between two looks at whether connections are open.
	connectionsInterval = 50 * time.Millisecond
)

// errStopping is the cancellation cause of the contexts of requests that a stopping entry cannot finish.
var errStopping = errors.New("the entry is stopping")

func (e *Entry) awaitDrained(ctx context.Context) {
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
}

// Shutdown stops accepting connections, serves those that are open for openTime, waits for the requests in progress, and then
// closes the links. If ctx has a
// deadline, the requests that are still in progress shortly before it are ended with an error, whose `ran` is
// "partly" if tokens were sent. Their generations keep running, so that callers can resume them through another
// entry.
func (e *Entry) Shutdown(ctx context.Context) error {
	if e.stopping.Swap(true) {
		e.awaitDrained(ctx)
		return ctx.Err()
	}
	defer close(e.drained)
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(time.Until(deadline.Add(-endMargin)), func() { e.endRequests(errStopping) })
		defer timer.Stop()
		linkTimer := time.AfterFunc(time.Until(deadline.Add(-linkMargin)), e.links.CloseAll)
		defer linkTimer.Stop()
	}
	e.stopAccepting()
	e.awaitConnectionsClosed(ctx)
	err := e.gate.Shutdown(ctx, e.server)
	e.gate.Drain(ctx)
	e.links.CloseAll()
	return errors.Wrap(err, "requests were still in progress")
}

// awaitConnectionsClosed waits until no connection is open, for at most openTime and at most half of the time that ctx leaves.
func (e *Entry) awaitConnectionsClosed(ctx context.Context) {
	limit := openTime
	if deadline, bounded := ctx.Deadline(); bounded {
		limit = min(limit, time.Until(deadline)/2)
	}
	for end := time.Now().Add(limit); time.Now().Before(end) && e.connections.count() > 0; {
		if !toucanwait.Sleep(ctx, connectionsInterval) {
			return
		}
	}
}

// closeAfterAnswer is a middleware that makes a stopping entry close each connection after the answer.
func (e *Entry) closeAfterAnswer(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if e.stopping.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// endedError returns the error of a request whose context has ended.
func endedError(ctx context.Context, prog *progress) error {
	if endedByStop(ctx) {
		return stoppingFailure(prog)
	}
	return ctx.Err()
}

// endedByStop reports whether ctx ended because the entry is stopping, not because the caller disconnected.
func endedByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// stoppingFailure returns the answer to a request that the entry cannot finish before it stops.
func stoppingFailure(prog *progress) *failure {
	f := newFailure(http.StatusServiceUnavailable, toucanwire.CodeLeaving, "the entry is stopping; repeat the request, or resume its generation, through another entry")
	f.body.Retryable = true
	f.retryAfter = time.Second
	switch {
	case prog.next > 0:
		f.body.Ran = toucanwire.RanPartly
	case prog.mayHaveRun:
		f.body.Ran = toucanwire.RanUnknown
	}
	return f
}
