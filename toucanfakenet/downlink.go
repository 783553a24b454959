package toucanfakenet

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// partBytes is the number of bytes that arrive together over a Downlink.
const partBytes = 16 << 10

// Downlink is the receiving side of an instance's network link, whose rate all replies to the instance share. The zero value has no
// bound. It is safe for concurrent use.
type Downlink struct {
	mu             sync.Mutex
	bytesPerSecond int
	// free is when all that was put on the link has arrived.
	free     time.Time
	received int
}

// NewDownlink returns a link with a rate.
func NewDownlink(bytesPerSecond int) *Downlink { return &Downlink{bytesPerSecond: bytesPerSecond} }

// PartTime returns the time between two parts of a reply that has the link for itself.
func (l *Downlink) PartTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duration(partBytes)
}

// SetRate sets the rate; zero for no bound.
func (l *Downlink) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// TakeReceived returns the number of bytes that were received since the last call.
func (l *Downlink) TakeReceived() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.received
	l.received = 0
	return n
}

// Receive waits until n bytes have arrived, or until ctx ends, with its cause as the error.
func (l *Downlink) Receive(ctx context.Context, n int) error {
	for ; n > 0; n -= partBytes {
		arrival := time.NewTimer(l.reserve(min(n, partBytes)))
		select {
		case <-arrival.C:
		case <-ctx.Done():
			arrival.Stop()
			return context.Cause(ctx)
		}
	}
	return nil
}

// Throttle makes the body of a reply arrive over the link.
func (l *Downlink) Throttle(r *http.Request, resp *http.Response) *http.Response {
	resp.Body = &throttledBody{ReadCloser: resp.Body, ctx: r.Context(), link: l}
	return resp
}

// reserve puts n bytes on the link and returns the time until they have arrived.
func (l *Downlink) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received += n
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.duration(n))
	return l.free.Sub(now)
}

// duration returns how long n bytes take. The caller holds l.mu.
func (l *Downlink) duration(n int) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond)
}

// throttledBody is the body of a reply that arrives over a link.
type throttledBody struct {
	io.ReadCloser
	ctx  context.Context
	link *Downlink
}

// Read implements io.Reader.
func (b *throttledBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), partBytes)])
	if n == 0 {
		return 0, err
	}
	if arrived := b.link.Receive(b.ctx, n); arrived != nil {
		return 0, arrived
	}
	return n, err
}
