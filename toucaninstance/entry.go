package toucaninstance

import (
	"context"
	"io"
	"log/slog"
	"net"

	"toucanport/toucanconfig"
	"toucanport/toucancontrol"
	"toucanport/toucanentry"
	"toucanport/toucanlimit"
	"toucanport/toucanlink"
	"toucanport/toucanlisting"
	"toucanport/toucanmetric"
	"toucanport/toucanroute"
	"toucanport/toucanspread"
	"toucanport/toucanstore"
	"toucanport/toucanstream"
	"toucanport/toucantls"
)

// storeConnections bounds idle connections to the platform's store.
const storeConnections = 8

// listConnections bounds idle connections to the platform's list of instances.
const listConnections = 1

// Entry is a running entry process.
type Entry struct {
	process
	entry   *toucanentry.Entry
	metrics io.Closer
}

// StartEntry starts an entry, which runs until ctx is done or Shutdown has ended.
func StartEntry(ctx context.Context, cfg toucanconfig.EntryConfig, log *slog.Logger) (*Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Entry{process: process{log: log, cancel: cancel}}
	if err := e.start(ctx, cfg); err != nil {
		cancel()
		return nil, err
	}
	return e, nil
}

func (e *Entry) start(ctx context.Context, cfg toucanconfig.EntryConfig) error {
	callers, err := listen("callers' listener", cfg.Listen)
	if err != nil {
		return err
	}
	operators, err := listen("operators' listener", cfg.OperatorListen)
	if err != nil {
		callers.Close()
		return err
	}
	return e.serve(ctx, cfg, callers, operators)
}

func (e *Entry) serve(ctx context.Context, cfg toucanconfig.EntryConfig, callers, operators net.Listener) error {
	reloader, err := e.reloader(ctx, cfg.TLS)
	if err != nil {
		return err
	}
	scope, scrape, closer := toucanmetric.New()
	e.metrics = closer
	holder := toucanspread.NewHolder()
	store := toucanstore.NewClient("http://"+cfg.Store.String(),
		toucanstore.WithTransport(transport(storeConnections)), toucanstore.WithScope(scope))
	members := toucanlisting.NewView(toucanlisting.New("http://"+cfg.InstanceList.String(),
		toucanlisting.WithTransport(transport(listConnections))))
	e.entry = toucanentry.New(toucanentry.Config{
		Instance:      cfg.Instance,
		FailureDomain: cfg.FailureDomain,
		Spread:        holder,
		Members:       members,
		Signer:        toucanstream.NewSigner([]byte(cfg.GenerationSecret)),
		Dial:          entryDial(reloader),
		Router:        toucanroute.NewPerService(toucanroute.Config{FailureDomain: cfg.FailureDomain}),
		Limiter:       toucanlimit.NewShared(1),
		Scope:         scope,
	}, toucanentry.WithLogger(e.log))
	control := toucancontrol.New(toucancontrol.Config{
		Store:         store,
		Holder:        holder,
		Instance:      cfg.Instance,
		Members:       members,
		Local:         e.entry,
		BootstrapHash: cfg.BootstrapCredentialHash,
		Metrics:       scrape,
		Log:           e.log,
	})
	e.run("callers", func() error {
		defer e.cancel()
		return e.entry.Run(ctx, callers)
	})
	e.run("instance list", func() error {
		members.Run(ctx)
		return nil
	})
	e.run("control", func() error { return control.Run(ctx, operators) })
	return nil
}

func entryDial(r *toucantls.Reloader) toucanlink.Dialer {
	if r == nil {
		return dial
	}
	return toucanlink.Dialer(toucantls.WrapDial(dial, r, toucantls.RoleSidecar))
}

// Shutdown takes no new requests and waits until those in progress have ended or ctx is done.
func (e *Entry) Shutdown(ctx context.Context) error {
	defer e.cancel()
	return e.entry.Shutdown(ctx)
}

// Wait returns when the process has ended.
func (e *Entry) Wait() {
	e.process.Wait()
	_ = e.metrics.Close()
}
