package toucaninstance

import (
	"context"
	"io"
	"log/slog"
	"net"

	"toucanport/toucanconfig"
	"toucanport/toucancontrol"
	"toucanport/toucanentry"
	"toucanport/toucanentrypreview"
	"toucanport/toucanlimit"
	"toucanport/toucanlink"
	"toucanport/toucanlisting"
	"toucanport/toucanmetric"
	"toucanport/toucanreplicate"
	"toucanport/toucanroute"
	"toucanport/toucanstore"
	"toucanport/toucanstream"
	"toucanport/toucantls"
)

// storeConnections is the maximum number of idle connections to the platform's store.
const storeConnections = 8

// listConnections is the maximum number of idle connections to the platform's list of instances.
const listConnections = 1

// Entry is a running entry with its control side.
type Entry struct {
	process
	entry   *toucanentry.Entry
	metrics io.Closer
}

// StartEntry starts an entry, which runs until ctx is done, Shutdown returns or one of its tasks fails.
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
	reloader, err := e.newReloader(ctx, cfg.TLS)
	if err != nil {
		return err
	}
	scope, scrape, closer := toucanmetric.New()
	e.metrics = closer
	holder := toucanreplicate.NewHolder()
	store := toucanstore.NewClient("http://"+cfg.Store.String(),
		toucanstore.WithTransport(transport(storeConnections)), toucanstore.WithScope(scope))
	members := toucanlisting.NewView(toucanlisting.New("http://"+cfg.InstanceList.String(),
		toucanlisting.WithTransport(transport(listConnections))))
	router := toucanroute.NewPerService(toucanroute.Config{FailureDomain: cfg.FailureDomain})
	limiter := toucanlimit.NewShared(1)
	e.entry = toucanentry.New(toucanentry.Config{
		Instance:      cfg.Instance,
		FailureDomain: cfg.FailureDomain,
		Replica:       holder,
		Members:       members,
		Signer:        toucanstream.NewSigner([]byte(cfg.GenerationSecret)),
		Dial:          entryDial(reloader),
		Router:        router,
		Limiter:       limiter,
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
		Preview:       toucanentrypreview.New(holder, router, limiter),
		Log:           e.log,
	})
	e.startTask("callers", func() error {
		defer e.cancel()
		return e.entry.Run(ctx, callers)
	})
	e.startTask("instance list", func() error {
		members.Run(ctx)
		return nil
	})
	e.startTask("control", func() error { return control.Run(ctx, operators) })
	return nil
}

// entryDial returns the dial function for links to sidecars, with mutual TLS unless r is nil.
func entryDial(r *toucantls.Reloader) toucanlink.Dialer {
	if r == nil {
		return dial
	}
	return toucanlink.Dialer(toucantls.WrapDial(dial, r, toucantls.RoleSidecar))
}

// Shutdown refuses new requests and waits until those in progress have ended or ctx is done. It then stops the entry.
func (e *Entry) Shutdown(ctx context.Context) error {
	defer e.cancel()
	return e.entry.Shutdown(ctx)
}

// Wait waits until all tasks have ended.
func (e *Entry) Wait() {
	e.process.Wait()
	_ = e.metrics.Close()
}
