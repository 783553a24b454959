package toucanwait

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrNoProgress is the cause of a context that ended because its transfer made no progress.
var ErrNoProgress = errors.New("no progress in time")

// TransferLimits bound a transfer by its progress. How long a whole transfer takes depends on its size and on the link, so that
// no single duration distinguishes a peer that is silent from a link that is slow.
type TransferLimits struct {
	// Begin is the longest time to the first progress.
	Begin time.Duration
	// Stall is the longest time from one progress to the next.
	Stall time.Duration
	// Total is the longest time of the whole transfer, so that a peer that sends byte after byte does not hold it for ever.
	Total time.Duration
}

// WithProgress returns a context for one transfer, which ends with ErrNoProgress as its cause when the limits are exceeded.
// progress must be called when a part has been transferred, and cancel when the transfer has ended.
func WithProgress(ctx context.Context, l TransferLimits) (_ context.Context, progress func(), cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	began := time.Now()
	timer := time.AfterFunc(l.Begin, func() { end(ErrNoProgress) })
	progress = func() { timer.Reset(min(l.Stall, l.Total-time.Since(began))) }
	cancel = func() {
		timer.Stop()
		end(nil)
	}
	return ctx, progress, cancel
}

// maxReadBytes bounds one read of a Reader. Some readers return only when they have filled the buffer.
const maxReadBytes = 16 << 10

// Reader reads from another reader, counts the bytes and reports progress at each part. It must be used by one goroutine at a
// time.
type Reader struct {
	r        io.Reader
	progress func()
	n        int
}

// NewReader returns a reader of r that calls progress at each part.
func NewReader(r io.Reader, progress func()) *Reader { return &Reader{r: r, progress: progress} }

// Read implements io.Reader.
func (p *Reader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b[:min(len(b), maxReadBytes)])
	if n > 0 {
		p.n += n
		p.progress()
	}
	return n, err
}

// Bytes returns the number of bytes that were read.
func (p *Reader) Bytes() int { return p.n }
