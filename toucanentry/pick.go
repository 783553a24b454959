package toucanentry

import (
	"context"
	"time"

	"toucanport/toucanroute"
	"toucanport/toucanwait"
)

const (
	// repickWindow is how long a request that failed at an endpoint waits if no other one can take it. Endpoints whose links stalled together
	// are ejected together; the window covers their first ejection and the probes after it.
	repickWindow = 500 * time.Millisecond
	// repickInterval is the time between two looks for an endpoint.
	repickInterval = 25 * time.Millisecond
)

// pick chooses the endpoint for the next attempt of a request. The first attempt is refused at once if there is none, so that callers of a
// service that is down learn it without delay. A later one waits up to repickWindow, and then may go to an endpoint that it has tried.
func (e *Entry) pick(ctx context.Context, q toucanroute.Query, deadline time.Time) (toucanroute.Endpoint, error) {
	ep, err := e.cfg.Router.Pick(time.Now(), q)
	if err == nil || len(q.Exclude) == 0 {
		return ep, err
	}
	end := time.Now().Add(repickWindow)
	if deadline.Before(end) {
		end = deadline
	}
	unrestricted := q
	unrestricted.Exclude = nil
	for err != nil && time.Now().Add(repickInterval).Before(end) && toucanwait.Sleep(ctx, repickInterval) {
		if ep, err = e.cfg.Router.Pick(time.Now(), q); err != nil {
			ep, err = e.cfg.Router.Pick(time.Now(), unrestricted)
		}
	}
	return ep, err
}
