package toucaninstance

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"

	"github.com/uber-go/tally/v4"

	"toucanport/toucanconfig"
	"toucanport/toucandesired"
	"toucanport/toucanengine"
	"toucanport/toucanfence"
	"toucanport/toucanmetric"
	"toucanport/toucanorder"
	"toucanport/toucanreplicate"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstore"
	"toucanport/toucanstream"
	"toucanport/toucantls"
	"toucanport/toucanupstream"
)

// endpointConnections is the maximum number of idle connections to the endpoint.
const endpointConnections = 512

// Limits of a sidecar's rate of store calls. They are high enough for a sidecar that is the only one and therefore
// commits the claims of all shards.
const (
	storeReadsPerSecond  = 40
	storeWritesPerSecond = 120
)

// Sidecar is a running sidecar.
type Sidecar struct {
	process
	sidecar *toucansidecar.Sidecar
	// orders holds the claims of orders; nil if the endpoint is an engine.
	orders *toucanorder.Claims
}

// StartSidecar starts a sidecar, which runs until ctx is done, Shutdown returns or one of its tasks fails.
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
	reloader, err := s.newReloader(ctx, cfg.TLS)
	if err != nil {
		return err
	}
	ln, err := listen("inner listener", cfg.InnerListen)
	if err != nil {
		return err
	}
	sidecarCfg := sidecarConfig(cfg)
	if sidecarCfg.Scope, err = s.startMetrics(ctx, cfg.MetricsListen); err != nil {
		ln.Close()
		return err
	}
	sidecarCfg.Replica = toucanreplicate.NewHolder()
	if cfg.Application.IsValid() {
		s.orders = newOrders(cfg, sidecarCfg.Scope)
		sidecarCfg.Orders = s.orders
	} else {
		follower := s.newFollower(cfg, sidecarCfg.Replica)
		s.wg.Go(func() { follower.Run(ctx) })
	}
	s.sidecar = toucansidecar.New(sidecarCfg, toucansidecar.WithLogger(s.log))
	s.startTask("links", func() error {
		defer s.cancel()
		return s.sidecar.Run(ctx, wrapTLS(ln, reloader))
	})
	return nil
}

// startMetrics starts serving metric scrapes at address and returns the scope whose metrics are served. It returns nil if
// address is not valid.
func (s *Sidecar) startMetrics(ctx context.Context, address netip.AddrPort) (tally.Scope, error) {
	if !address.IsValid() {
		return nil, nil
	}
	ln, err := listen("metrics listener", address)
	if err != nil {
		return nil, err
	}
	scope, scrape, closer := toucanmetric.New()
	s.startTask("metrics", func() error {
		defer closer.Close()
		return serveMetrics(ctx, ln, scrape, s.log)
	})
	return scope, nil
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
		out.ServiceEnds = toucanupstream.NewPool()
		return out
	}
	out.Kind = toucansettings.KindGeneration
	out.Engine = toucanengine.New("http://"+cfg.Engine.String(), toucanengine.WithTransport(transport(endpointConnections)))
	return out
}

// wrapTLS returns a listener that secures the connections of ln with mutual TLS, or ln when r is nil.
func wrapTLS(ln net.Listener, r *toucantls.Reloader) net.Listener {
	if r == nil {
		return ln
	}
	return toucantls.NewListener(ln, r, toucantls.RoleEntry)
}

// Shutdown refuses new requests and waits until those in progress have ended or ctx is done. It then closes the order
// claims and stops the sidecar.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	defer s.cancel()
	err := s.sidecar.Shutdown(ctx)
	if s.orders == nil {
		return err
	}
	if closeErr := s.orders.Close(ctx); err == nil {
		err = closeErr
	}
	return err
}

// newFollower returns a follower that brings the engine to the state that the settings declare. It acquires the engine's
// lease under a random id, so that each run of the sidecar is a different holder.
func (s *Sidecar) newFollower(cfg toucanconfig.SidecarConfig, settings *toucanreplicate.Holder) *toucandesired.Follower {
	store := newStore(cfg, tally.NoopScope)
	engine := toucanengine.New("http://"+cfg.Engine.String(), toucanengine.WithTransport(transport(endpointConnections)))
	endpoint := cfg.Team + "/" + cfg.Endpoint
	boot := strconv.FormatUint(rand.Uint64(), 16)
	return toucandesired.NewFollower(settings, store, endpoint, func(checksFencing bool) toucandesired.Holder {
		opts := []toucanfence.Option{toucanfence.WithLogger(s.log)}
		if checksFencing {
			opts = append(opts, toucanfence.WithChecksFencing())
		}
		return toucanfence.New(store, engine, endpoint, boot, opts...)
	}, s.log)
}

// newStore returns a client of the platform's store with a limited rate of calls.
func newStore(cfg toucanconfig.SidecarConfig, scope tally.Scope) *toucanstore.Client {
	return toucanstore.NewClient("http://"+cfg.Store.String(), toucanstore.WithScope(scope),
		toucanstore.WithTransport(transport(storeConnections)), toucanstore.WithBudget(storeReadsPerSecond, storeWritesPerSecond))
}

// newOrders returns the order claims that are kept in the platform's store. A nil scope records no metrics.
func newOrders(cfg toucanconfig.SidecarConfig, scope tally.Scope) *toucanorder.Claims {
	if scope == nil {
		scope = tally.NoopScope
	}
	return toucanorder.New(newStore(cfg, scope), toucanorder.WithScope(scope))
}
