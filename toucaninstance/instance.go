// Package toucaninstance builds and runs the processes of an instance from their settings: an entry with its control
// side, or a sidecar with the client of its endpoint.
package toucaninstance

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanconfig"
	"toucanport/toucanhead"
	"toucanport/toucantls"
	"toucanport/toucanupstream"
)

// dialTimeout is the maximum time for establishing a TCP connection, and for reading the header of a scrape request.
const dialTimeout = 2 * time.Second

// process is the common part of Entry and Sidecar: a group of tasks that run until the process ends.
type process struct {
	log    *slog.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// err is the first error that ended a task.
	err error
}

// Wait waits until all tasks have ended.
func (p *process) Wait() { p.wg.Wait() }

// Err returns the error of the first task that failed, or nil.
func (p *process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// startTask runs a task in a goroutine. The first task that fails ends the process.
func (p *process) startTask(name string, task func() error) {
	p.wg.Go(func() {
		err := task()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
			return
		}
		p.log.Error("task failed", "duty", name, "error", err.Error())
		p.mu.Lock()
		if p.err == nil {
			p.err = errors.Wrap(err, name)
		}
		p.mu.Unlock()
		p.cancel()
	})
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// connectionBufferBytes is the size of the read buffer and of the write buffer of a connection to the platform or to the
// endpoint. It is small because every running generation has a connection, and large enough for an event of an engine.
const connectionBufferBytes = 1 << 10

// maxResponseHeaderBytes bounds the head of an answer of the platform or of the endpoint.
const maxResponseHeaderBytes = 16 << 10

func listen(what string, address netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", address.String())
	return ln, errors.Wrapf(err, "%s", what)
}

// transport returns a transport for one service of the platform or one endpoint, with at most connections idle
// connections.
func transport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            toucanupstream.ReportResets(func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }),
		MaxIdleConnsPerHost:    connections,
		ReadBufferSize:         connectionBufferBytes,
		WriteBufferSize:        connectionBufferBytes,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// newReloader returns a reloader of the certificate files, which runs until ctx is done. It returns nil when files is
// nil, that is, without TLS.
func (p *process) newReloader(ctx context.Context, files *toucanconfig.TLSFiles) (*toucantls.Reloader, error) {
	if files == nil {
		p.log.Warn("inner links are not protected: the settings say insecure = true")
		return nil, nil
	}
	r, err := toucantls.NewReloader(toucantls.Files{
		Certificate: files.CertificateFile,
		Key:         files.KeyFile,
		Authority:   files.AuthorityFile,
	}, p.log)
	if err != nil {
		return nil, err
	}
	p.wg.Go(func() { r.Run(ctx) })
	return r, nil
}

const (
	// scrapeHeadBytes limits the headers of a scrape, scrapeMemoryBytes the memory of those of all scrapes, and scrapeConnections the
	// number of connections, of which a scrape in service takes two.
	scrapeHeadBytes   = 16 << 10
	scrapeMemoryBytes = 2 << 20
	scrapeConnections = 64
)

// serveMetrics serves metric scrapes from ln until ctx is done.
func serveMetrics(ctx context.Context, ln net.Listener, handler http.Handler, log *slog.Logger) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	gate := toucanhead.New(toucanhead.Limits{
		HeadBytes:   func() int { return scrapeHeadBytes },
		MemoryBytes: scrapeMemoryBytes,
		Connections: scrapeConnections,
	}, toucanhead.NewObserver(tally.NoopScope, log).Observe)
	gate.Attach(server)
	if err := server.Serve(gate.Listen(ln)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
