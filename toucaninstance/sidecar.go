package toucaninstance

import (
	"context"
	"log/slog"
	"net"

	"toucanport/toucanconfig"
	"toucanport/toucanengine"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstream"
	"toucanport/toucantls"
)

// endpointConnections bounds idle connections to the endpoint.
const endpointConnections = 512

// Sidecar is a running sidecar process.
type Sidecar struct {
	process
	sidecar *toucansidecar.Sidecar
}

// StartSidecar starts a sidecar, which runs until ctx is done or Shutdown has ended.
func StartSidecar(ctx context.Context, cfg toucanconfig.SidecarConfig, log *slog.Logger) (*Sidecar, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Sidecar{process: process{log: log, cancel: cancel}}
	if err := s.start(ctx, cfg); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

func (s *Sidecar) start(ctx context.Context, cfg toucanconfig.SidecarConfig) error {
	reloader, err := s.reloader(ctx, cfg.TLS)
	if err != nil {
		return err
	}
	ln, err := listen("inner listener", cfg.InnerListen)
	if err != nil {
		return err
	}
	s.sidecar = toucansidecar.New(sidecarConfig(cfg), toucansidecar.WithLogger(s.log))
	s.run("links", func() error {
		defer s.cancel()
		return s.sidecar.Run(ctx, protect(ln, reloader))
	})
	return nil
}

func sidecarConfig(cfg toucanconfig.SidecarConfig) toucansidecar.Config {
	out := toucansidecar.Config{
		Instance:        cfg.Instance,
		FailureDomain:   cfg.FailureDomain,
		Endpoint:        cfg.Team + "/" + cfg.Endpoint,
		Service:         cfg.Team + "/" + cfg.Service,
		Signer:          toucanstream.NewSigner([]byte(cfg.GenerationSecret)),
		GenerationBytes: int(cfg.Bounds.BufferPerGeneration),
		BufferBytes:     int(cfg.Bounds.BufferTotal),
	}
	if cfg.Application.IsValid() {
		out.Kind = toucansettings.KindPlain
		out.ServiceURL = "http://" + cfg.Application.String()
		out.ServiceTransport = transport(endpointConnections)
		return out
	}
	out.Kind = toucansettings.KindGeneration
	out.Engine = toucanengine.New("http://"+cfg.Engine.String(), toucanengine.WithTransport(transport(endpointConnections)))
	return out
}

func protect(ln net.Listener, r *toucantls.Reloader) net.Listener {
	if r == nil {
		return ln
	}
	return toucantls.NewListener(ln, r, toucantls.RoleEntry)
}

// Shutdown takes no new requests, waits until those in progress have ended or ctx is done, and ends the links.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	defer s.cancel()
	return s.sidecar.Shutdown(ctx)
}
