package toucanfakestore

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipe serves m over in-memory connections and returns a transport that connects to it. stop closes the server and
// the transport's idle connections.
func (m *Memory) Pipe() (client *http.Transport, stop func()) {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: m.Handler()}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		_ = server.Serve(l)
	}()
	client = &http.Transport{DialContext: l.dial}
	stop = func() {
		client.CloseIdleConnections()
		_ = server.Close()
		<-finished
	}
	return client, stop
}

// pipeListener is a listener whose connections are made with net.Pipe.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
