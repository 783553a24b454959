package toucanupstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// endDelay is the time that a process that ends has to close its listener after its connections.
	endDelay = 10 * time.Millisecond
	// defaultEndWait is how long a connection that was accepted is watched for its end.
	defaultEndWait = 40 * time.Millisecond
	// refusalTimeout bounds the wait for a host to accept or refuse a connection.
	refusalTimeout = 300 * time.Millisecond
)

// Refuses reports whether the host at an address answers that nothing listens there. It is false if the host does not
// answer before ctx ends.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.open(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // Nothing was sent.
	return false
}

// HasEnded reports whether the process that listened at an address has ended. It is for a connection that has just been
// closed by its peer: when a process ends, the operating system may close its listener a little later than its
// connections. Until then the address accepts further connections, which are reset with the listener. A process that
// is slow or stopped keeps them open. HasEnded is false if the host does not answer or if ctx ends.
func (p *Pool) HasEnded(ctx context.Context, address string) bool {
	if !pause(ctx, endDelay) {
		return false
	}
	// An endpoint with too many connections resets new ones too, but does not refuse them.
	return p.drops(ctx, address) && p.Refuses(ctx, address)
}

// drops reports whether a new connection to an address is refused or ends within endWait. Nothing is sent on it.
func (p *Pool) drops(ctx context.Context, address string) bool {
	c, err := p.open(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	defer func() { _ = c.Close() }()
	return endsWithin(ctx, c, p.endWait)
}

// open returns a new connection that does not belong to the pool.
func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	return p.dialer.DialContext(ctx, "tcp", address)
}

// pause waits for a time. It returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// endsWithin reports whether the peer closes or resets a connection within a time and before ctx ends.
func endsWithin(ctx context.Context, c net.Conn, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetReadDeadline(time.Now()) // Fails only on a closed connection.
	})
	defer stop()
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
