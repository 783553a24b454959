// Package toucandev runs a whole deployment on loopback in one process, with stand-ins for the platform and
// the endpoints, and the real entries and sidecars between them.
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

	"toucanport/toucanadmit"
	"toucanport/toucandeploy"
	"toucanport/toucanengine"
	"toucanport/toucanentry"
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
)

// loopback is where everything listens but the callers' listener, on ports that the system chooses.
const loopback = "127.0.0.1:0"

// Config says what to run.
type Config struct {
	Deployment toucandeploy.Deployment
	// Listen is the callers' listener of the first entry; the others are on ports that the system chooses.
	Listen  string
	Entries int
	Policy  toucansettings.Policy
	Seed    uint64
	// Fault is the fault that the first engine starts with; empty for none.
	Fault toucanfake.Fault
	// Engine returns the stand-in of an endpoint; nil means toucanfake.DefaultConfig.
	Engine func(name string) toucanfake.Config
	Log    *slog.Logger
}

// System is a running deployment.
type System struct {
	cfg    Config
	signer *toucanstream.Signer
	ledger *toucanfake.Ledger
	// authority signs the keys of the inner links.
	authority *toucantls.Authority
	wg        sync.WaitGroup

	entries  []*toucanentry.Entry
	sidecars []*toucansidecar.Sidecar
	// listeners are the sidecars' inner listeners in the order of the team's endpoints.
	listeners map[string][]net.Listener
	tree      *toucansettings.Tree
	addresses []string
	// store stands in for the platform's key-value service; documents are what it starts with.
	store     *toucanfakestore.Memory
	documents []toucanrevision.Document
	operators []string
	// list stands in for the platform's list of instances, which is served at listURL.
	list    *toucanfakemember.List
	listURL string
}

// Start begins a deployment, which runs until ctx is done.
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
		signer:    toucanstream.NewSigner([]byte(toucandeploy.Key(cfg.Seed, "generationSecret", ""))),
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
	team := cfg.Deployment.Settings(cfg.Policy, cfg.Seed, s.place)
	s.tree = toucansettings.NewTree([]toucansettings.Team{team})
	if err := s.writeSettings(ctx, team); err != nil {
		return nil, err
	}
	operatorLns, err := s.listenOperators()
	if err != nil {
		return nil, err
	}
	if err := s.startList(ctx, team); err != nil {
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
			return nil, errors.Wrap(err, "callers' listener")
		}
		lns = append(lns, ln)
		s.addresses = append(s.addresses, ln.Addr().String())
	}
	return lns, nil
}

func (s *System) listenSidecars() error {
	for _, service := range s.cfg.Deployment.Services {
		for range service.Endpoints {
			ln, err := net.Listen("tcp", loopback)
			if err != nil {
				return errors.Wrap(err, "sidecar's listener")
			}
			s.listeners[service.Name] = append(s.listeners[service.Name], ln)
		}
	}
	return nil
}

func (s *System) place(service toucandeploy.Service, index int) netip.AddrPort {
	return netip.MustParseAddrPort(s.listeners[service.Name][index].Addr().String())
}

func (s *System) startSidecars(ctx context.Context, team toucansettings.Team) error {
	used := make(map[string]int)
	for i, ep := range team.Endpoints {
		index := used[ep.Service]
		used[ep.Service]++
		service, _ := s.tree.Service(team.Name, ep.Service)
		cfg := toucansidecar.Config{
			Instance:      ep.Name,
			FailureDomain: ep.FailureDomain,
			Endpoint:      team.Name + "/" + ep.Name,
			Service:       team.Name + "/" + ep.Service,
			Kind:          service.Kind,
			Signer:        s.signer,
		}
		if err := s.standIn(ctx, &cfg, service, i); err != nil {
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
	s.wg.Go(func() { s.report("sidecar", sidecar.Run(ctx, ln)) })
}

// standIn starts what stands beside a sidecar and points cfg at it.
func (s *System) standIn(ctx context.Context, cfg *toucansidecar.Config, service toucansettings.Service, index int) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "stand-in's listener")
	}
	url := "http://" + ln.Addr().String()
	if service.Kind == toucansettings.KindPlain {
		cfg.ServiceURL = url
		cfg.ServiceTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
		s.startService(ctx, ln)
		s.startOrders(ctx, cfg)
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
	s.wg.Go(func() { s.report("engine", engine.Run(ctx, ln)) })
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	cfg.Engine = toucanengine.New(url, toucanengine.WithTransport(transport))
	cfg.Policy = newPolicy(service)
	return nil
}

// maxIdleConnections bounds idle connections to one stand-in.
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
	members := toucanlisting.NewView(toucanlisting.New(s.listURL))
	settings, err := s.newHolder()
	if err != nil {
		return err
	}
	scope, scrape, metrics := toucanmetric.New()
	entry := toucanentry.New(toucanentry.Config{
		Instance:      instance,
		FailureDomain: domain,
		Spread:        settings,
		Members:       members,
		Signer:        s.signer,
		Dial:          toucanlink.Dialer(protected),
		Router:        toucanroute.NewPerService(toucanroute.Config{FailureDomain: domain}),
		Limiter:       toucanlimit.NewShared(s.cfg.Entries),
		Scope:         scope,
	}, toucanentry.WithLogger(s.cfg.Log.With("entry", index+1)))
	s.entries = append(s.entries, entry)
	s.startControl(ctx, index, entry, settings, members, operatorLn, scrape)
	s.wg.Go(func() {
		defer metrics.Close()
		s.report("entry", entry.Run(ctx, ln))
	})
	return nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (s *System) report(what string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, context.Canceled) {
		s.cfg.Log.Error("stopped", "what", what, "error", err.Error())
	}
}

// Shutdown takes no new requests and waits until those in progress have ended or ctx is done.
func (s *System) Shutdown(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make([]error, len(s.entries))
	for i, e := range s.entries {
		wg.Go(func() { errs[i] = e.Shutdown(ctx) })
	}
	wg.Wait()
	for _, sidecar := range s.sidecars {
		errs = append(errs, sidecar.Shutdown(ctx))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Wait returns when everything has ended.
func (s *System) Wait() { s.wg.Wait() }

// Err implements toucanprocess.Stopper: a stand-in that fails is logged and ends nothing else.
func (s *System) Err() error { return nil }

// Entries returns the callers' addresses.
func (s *System) Entries() []string { return s.addresses }

// WorkspaceKey is a workspace with its key.
type WorkspaceKey struct{ Workspace, Key string }

// WorkspaceKeys returns the keys of all workspaces.
func (s *System) WorkspaceKeys() []WorkspaceKey {
	var keys []WorkspaceKey
	for _, w := range s.cfg.Deployment.Workspaces {
		keys = append(keys, WorkspaceKey{w.Name, toucandeploy.Key(s.cfg.Seed, s.cfg.Deployment.Team, w.Name)})
	}
	return keys
}
