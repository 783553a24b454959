package toucanstop

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStopping means that the server stops before a request can end.
var ErrStopping = errors.New("the entry stops before the request can end")

// HasEnded reports whether a request was ended because the server stops.
func HasEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Handle ends one request. It must not be copied while it is in a Requests.
type Handle struct {
	cancel context.CancelCauseFunc
	w      http.ResponseWriter
	// reading is true while the body is read. It is guarded by Requests.mu.
	reading bool
}

// NewHandle returns the handle of a request that cancel ends, and whose caller gets its answer through w.
func NewHandle(cancel context.CancelCauseFunc, w http.ResponseWriter) Handle {
	return Handle{cancel: cancel, w: w}
}

// End ends the request with a cause.
func (h *Handle) End(cause error) { h.cancel(cause) }

// stop ends the request with ErrStopping. The caller holds Requests.mu.
func (h *Handle) stop() {
	h.End(ErrStopping)
	if h.reading {
		_ = http.NewResponseController(h.w).SetReadDeadline(time.Now()) // Otherwise the caller gets no answer.
	}
}

// Requests holds the requests that callers wait for, and the times of the stop once the server stops. The zero value is a server without
// requests. It is safe for concurrent use.
type Requests struct {
	mu    sync.Mutex
	all   map[*Handle]struct{}
	times Times
	// ended is true once EndAll was called.
	ended bool
}

// Add adds a request. It ends one that comes after EndAll.
func (r *Requests) Add(h *Handle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = make(map[*Handle]struct{})
	}
	r.all[h] = struct{}{}
	if r.ended {
		h.stop()
	}
}

// Remove removes a request.
func (r *Requests) Remove(h *Handle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, h)
}

// Len returns the number of requests.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// SetReading records whether the body of a request is being read.
func (r *Requests) SetReading(h *Handle, reading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.reading = reading
	if reading && r.ended {
		h.stop()
	}
}

// Begin records that the server stops.
func (r *Requests) Begin(t Times) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = t
}

// Times returns the times of the server's stop.
func (r *Requests) Times() Times {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times
}

// EndAll ends the requests with ErrStopping: each gets the answer that is true for it, and streams are cut.
func (r *Requests) EndAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for h := range r.all {
		h.stop()
	}
}
