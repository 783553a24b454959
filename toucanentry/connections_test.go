package toucanentry_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanentry"
	"toucanport/toucanroute"
	"toucanport/toucanstream"
)

// lateListener accepts connections that deliver what they read while held only once they are closed, as a connection does that is
// closed while it is read.
type lateListener struct {
	net.Listener
	held *atomic.Bool
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &lateConn{Conn: conn, held: l.held, closed: make(chan struct{})}, err
}

type lateConn struct {
	net.Conn
	held     *atomic.Bool
	isClosed atomic.Bool
	closed   chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.held.Load() {
		<-c.closed
	}
	return n, err
}

func (c *lateConn) Close() error {
	err := c.Conn.Close()
	if !c.isClosed.Swap(true) {
		close(c.closed)
	}
	return err
}

func TestRequestReadFromAConnectionThatAStopClosesIsNotSent(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		p := startDeployment(t)
		defer p.stop()
		const address = "10.0.0.2:8080"
		entry := toucanentry.New(toucanentry.Config{
			Instance: "n2", Settings: fixedSettings{testTree()}, Signer: toucanstream.NewSigner([]byte(testSecret)),
			Dial: p.net.Dialer("10.0.0.2"), Router: toucanroute.NewNaive(),
		}, toucanentry.WithLogger(discardLogger()))
		ln, err := p.net.Listen(address)
		assert.NilError(t, err)
		var held atomic.Bool
		ended := make(chan error, 1)
		go func() { ended <- entry.Run(context.Background(), lateListener{ln, &held}) }()
		time.Sleep(time.Second)

		conn := p.connect(t, address)
		served := send(t, conn, rawStream(10))
		checkStream(t, strings.NewReader(served.body), served.generationID, 0, 10)
		running := p.connect(t, address)
		go func() { _, _ = io.Copy(io.Discard, running) }()
		_, err = io.WriteString(running, rawStream(500))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		held.Store(true)
		_, err = io.WriteString(conn, rawStream(20))
		assert.NilError(t, err)
		// The stop waits for the request until its time is over, since its bytes were read.
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.ErrorIs(t, entry.Shutdown(ctx), context.DeadlineExceeded)
		assert.NilError(t, <-ended)
		time.Sleep(time.Minute)
		assert.Equal(t, len(p.ledger.Generations()), 2)
	})
}
