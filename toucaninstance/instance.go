// Package toucaninstance assembles the processes of an instance from their settings: an entry with its control
// side, or a sidecar with what it stands beside.
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

	"toucanport/toucanconfig"
	"toucanport/toucantls"
)

// dialTimeout bounds one connection to the platform or to the endpoint.
const dialTimeout = 2 * time.Second

// process is what entries and sidecars have in common: duties that run until the process ends.
type process struct {
	log    *slog.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu  sync.Mutex
	err error
}

// Wait returns when every duty has ended.
func (p *process) Wait() { p.wg.Wait() }

// Err returns the first error that ended a duty.
func (p *process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// run starts a duty; the process ends with the first duty that fails.
func (p *process) run(name string, duty func() error) {
	p.wg.Go(func() {
		err := duty()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
			return
		}
		p.log.Error("duty failed", "duty", name, "error", err.Error())
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

// connectionBufferBytes is the size of each buffer of a connection to the platform or to the endpoint. An event of
// the engine is smaller, and there is a connection for each running generation.
const connectionBufferBytes = 1 << 10

func listen(what string, address netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", address.String())
	return ln, errors.Wrapf(err, "%s", what)
}

// transport reaches one service of the platform or one endpoint.
func transport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: connections,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
		IdleConnTimeout:     time.Minute,
	}
}

// reloader follows the certificate files, or is nil without TLS.
func (p *process) reloader(ctx context.Context, files *toucanconfig.TLSFiles) (*toucantls.Reloader, error) {
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

// serveMetrics serves the scrape endpoint from ln until ctx is done.
func serveMetrics(ctx context.Context, ln net.Listener, handler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
