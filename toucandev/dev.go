// Package toucandev runs a complete deployment on loopback in one process: real entries and sidecars with a fake
// platform and fake endpoints.
package toucandev

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"toucanport/toucanadmit"
	"toucanport/toucandeploy"
	"toucanport/toucanengine"
	"toucanport/toucanentry"
	"toucanport/toucanentrypreview"
	"toucanport/toucanfake"
	"toucanport/toucanfakemember"
	"toucanport/toucanfakestore"
	"toucanport/toucanlimit"
	"toucanport/toucanlink"
	"toucanport/toucanlisting"
	"toucanport/toucanmetric"
	"toucanport/toucanrevision"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstream"
	"toucanport/toucantls"
	"toucanport/toucanupstream"
)

// loopback is the listen address of all listeners except the first entry's callers' listener. The operating system
// chooses the port.
const loopback = "127.0.0.1:0"

// Config configures a System.
type Config struct {
	Deployment toucandeploy.Deployment
	// Listen is the address of the first entry's callers' listener. The other entries listen on loopback, on ports
	// that the operating system chooses.
	Listen  string
	Entries int
	Policy  toucansettings.Policy
	Seed    uint64
	// Fault is injected at start into the engine of the first endpoint, unless that endpoint serves a plain service;
	// empty for none.
	Fault toucanfake.Fault
	// Engine returns the configuration of the fake engine of an endpoint; nil means toucanfake.DefaultConfig.
	Engine func(name string) toucanfake.Config
	Log    *slog.Logger
}

// System is a running deployment.
type System struct {
	cfg    Config
	signer *toucanstream.Signer
	ledger *toucanfake.Ledger
	// authority issues the TLS certificates of entries and sidecars.
	authority *toucantls.Authority
	wg        sync.WaitGroup

	entries  []*toucanentry.Entry
	sidecars []*toucansidecar.Sidecar
	// listeners contains the sidecars' listeners by service name, in the order of the service's endpoints.
	listeners      map[string][]net.Listener
	tree           *toucansettings.Tree
	entryAddresses []string
	// store is the fake key-value service of the platform. documents are the settings documents written at start.
	store             *toucanfakestore.Memory
	documents         []toucanrevision.Document
	operatorAddresses []string
	// instanceList is the platform's fake list of instances, served at instanceListURL.
	instanceList    *toucanfakemember.List
	instanceListURL string
}

// Start starts a deployment, which runs until ctx is done, and waits until all entries are ready.
func Start(ctx context.Context, cfg Config) (*System, error) {
	if cfg.Engine == nil {
		cfg.Engine = toucanfake.DefaultConfig
	}
	authority, err := toucantls.NewAuthority(time.Now(), keyLifetime)
	if err != nil {
		return nil, err
	}
	s := &System{
		cfg:       cfg,
		authority: authority,
		signer:    toucanstream.NewSigner([]byte(toucandeploy.DeriveKey(cfg.Seed, "generationSecret", ""))),
		ledger:    toucanfake.NewLedger(),
		listeners: make(map[string][]net.Listener),
		store:     toucanfakestore.New(toucanfakestore.WithSeed(cfg.Seed)),
	}
	entryLns, err := s.listenEntries()
	if err != nil {
		return nil, err
	}
	if err := s.listenSidecars(); err != nil {
		return nil, err
	}
	team := cfg.Deployment.Settings(cfg.Policy, cfg.Seed, s.sidecarAddress)
	s.tree = toucansettings.NewTree([]toucansettings.Team{team})
	if err := s.writeSettings(ctx, team); err != nil {
		return nil, err
	}
	operatorLns, err := s.listenOperators()
	if err != nil {
		return nil, err
	}
	if err := s.startInstanceList(ctx, team); err != nil {
		return nil, err
	}
	if err := s.startSidecars(ctx, team); err != nil {
		return nil, err
	}
	for i, ln := range entryLns {
		if err := s.startEntry(ctx, i, ln, operatorLns[i]); err != nil {
			return nil, err
		}
	}
	for _, e := range s.entries {
		<-e.Ready()
	}
	return s, nil
}

func (s *System) listenEntries() ([]net.Listener, error) {
	var lns []net.Listener
	for i := range s.cfg.Entries {
		address := loopback
		if i == 0 {
			address = s.cfg.Listen
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "listening for callers")
		}
		lns = append(lns, ln)
		s.entryAddresses = append(s.entryAddresses, ln.Addr().String())
	}
	return lns, nil
}

func (s *System) listenSidecars() error {
	for _, service := range s.cfg.Deployment.Services {
		for range service.Endpoints {
			ln, err := net.Listen("tcp", loopback)
			if err != nil {
				return errors.Wrap(err, "listening for a sidecar")
			}
			s.listeners[service.Name] = append(s.listeners[service.Name], ln)
		}
	}
	return nil
}

func (s *System) sidecarAddress(service toucandeploy.Service, index int) netip.AddrPort {
	return netip.MustParseAddrPort(s.listeners[service.Name][index].Addr().String())
}

func (s *System) startSidecars(ctx context.Context, team toucansettings.Team) error {
	nextIndex := make(map[string]int)
	for i, ep := range team.Endpoints {
		index := nextIndex[ep.Service]
		nextIndex[ep.Service]++
		service, _ := s.tree.Service(team.Name, ep.Service)
		cfg := toucansidecar.Config{
			Instance:      ep.Name,
			FailureDomain: ep.FailureDomain,
			Endpoint:      team.Name + "/" + ep.Name,
			Service:       team.Name + "/" + ep.Service,
			Kind:          service.Kind,
			Signer:        s.signer,
		}
		if err := s.startFake(ctx, &cfg, service, i); err != nil {
			return err
		}
		ln, err := s.protectListener(ep.Name, s.listeners[ep.Service][index])
		if err != nil {
			return err
		}
		s.startSidecar(ctx, cfg, ln)
	}
	return nil
}

func (s *System) startSidecar(ctx context.Context, cfg toucansidecar.Config, ln net.Listener) {
	sidecar := toucansidecar.New(cfg, toucansidecar.WithLogger(s.cfg.Log.With("endpoint", cfg.Endpoint)))
	s.sidecars = append(s.sidecars, sidecar)
	s.wg.Go(func() { s.logError("sidecar", sidecar.Run(ctx, ln)) })
}

// startFake starts the fake engine or plain service of an endpoint and configures its sidecar to use it.
func (s *System) startFake(ctx context.Context, cfg *toucansidecar.Config, service toucansettings.Service, index int) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listening for a fake endpoint")
	}
	url := "http://" + ln.Addr().String()
	if service.Kind == toucansettings.KindPlain {
		cfg.ServiceURL = url
		cfg.ServiceTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
		cfg.ServiceEnds = toucanupstream.NewPool()
		s.startService(ctx, ln)
		s.startClaims(ctx, cfg)
		return nil
	}
	engineCfg := s.cfg.Engine(cfg.Endpoint)
	engineCfg.Seed = s.cfg.Seed
	engine := toucanfake.NewEngine(engineCfg, s.ledger)
	if index == 0 && s.cfg.Fault != "" {
		if err := engine.Inject(s.cfg.Fault); err != nil {
			return err
		}
	}
	s.wg.Go(func() { s.logError("engine", engine.Run(ctx, ln)) })
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	cfg.Engine = toucanengine.New(url, toucanengine.WithTransport(transport))
	cfg.Policy = newPolicy(service)
	return nil
}

// maxIdleConnections limits the idle connections from a sidecar to its fake endpoint.
const maxIdleConnections = 256

func newPolicy(service toucansettings.Service) toucanadmit.Policy {
	return toucanadmit.NewNaive(toucanadmit.Config{
		Weigh:      service.Weigh,
		FirstToken: service.FirstToken,
		InterToken: service.InterToken,
	})
}

func (s *System) startEntry(ctx context.Context, index int, ln, operatorLn net.Listener) error {
	domains := s.cfg.Deployment.FailureDomains
	domain := domains[index%len(domains)]
	instance := entryName(index)
	protected, err := s.protectedDial(instance)
	if err != nil {
		return err
	}
	members := toucanlisting.NewView(toucanlisting.New(s.instanceListURL))
	settings, err := s.newHolder()
	if err != nil {
		return err
	}
	scope, scrape, metrics := toucanmetric.New()
	router := toucanroute.NewPerService(toucanroute.Config{FailureDomain: domain})
	limiter := toucanlimit.NewShared(s.cfg.Entries)
	entry := toucanentry.New(toucanentry.Config{
		Instance:      instance,
		FailureDomain: domain,
		Replica:       settings,
		Members:       members,
		Signer:        s.signer,
		Dial:          toucanlink.Dialer(protected),
		Router:        router,
		Limiter:       limiter,
		Scope:         scope,
	}, toucanentry.WithLogger(s.cfg.Log.With("entry", index+1)))
	s.entries = append(s.entries, entry)
	s.startOperatorInterface(ctx, index, entry, settings, members, operatorLn, scrape, toucanentrypreview.New(settings, router, limiter))
	s.wg.Go(func() {
		defer metrics.Close()
		s.logError("entry", entry.Run(ctx, ln))
	})
	return nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (s *System) logError(what string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, context.Canceled) {
		s.cfg.Log.Error("stopped", "what", what, "error", err.Error())
	}
}

// Shutdown stops accepting new requests and waits until requests in progress have ended or ctx is done.
func (s *System) Shutdown(ctx context.Context) error {
	err := shutdownAll(ctx, s.entries)
	if sidecarErr := shutdownAll(ctx, s.sidecars); err == nil {
		err = sidecarErr
	}
	return err
}

// shutdowner is a program that can be stopped gracefully.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// shutdownAll shuts programs down at the same time and returns the first error.
func shutdownAll[S shutdowner](ctx context.Context, programs []S) error {
	var all errgroup.Group
	for _, p := range programs {
		all.Go(func() error { return p.Shutdown(ctx) })
	}
	return all.Wait()
}

// Wait blocks until all entries, sidecars and fakes have stopped.
func (s *System) Wait() { s.wg.Wait() }

// Err implements toucanprocess.Stopper. It returns nil, since a component that fails is only logged and does not
// stop the others.
func (s *System) Err() error { return nil }

// Entries returns the addresses of the entries' callers' listeners.
func (s *System) Entries() []string { return s.entryAddresses }

// WorkspaceKey is the name of a workspace and the key that its callers authenticate with.
type WorkspaceKey struct{ Workspace, Key string }

// WorkspaceKeys returns the keys of all workspaces, in the order of the deployment.
func (s *System) WorkspaceKeys() []WorkspaceKey {
	var keys []WorkspaceKey
	for _, w := range s.cfg.Deployment.Workspaces {
		keys = append(keys, WorkspaceKey{w.Name, toucandeploy.DeriveKey(s.cfg.Seed, s.cfg.Deployment.Team, w.Name)})
	}
	return keys
}
