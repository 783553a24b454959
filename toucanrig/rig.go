// Package toucanrig is a test rig: it runs real entries and sidecars with fake engines, application instances and store
// over an in-memory network, for measurements and fault cases under a fake clock.
package toucanrig

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanadmit"
	"toucanport/toucancaller"
	"toucanport/toucanengine"
	"toucanport/toucanentry"
	"toucanport/toucanfake"
	"toucanport/toucanfakenet"
	"toucanport/toucanfakestore"
	"toucanport/toucanreplicate"
	"toucanport/toucanretry"
	"toucanport/toucanrevision"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanstream"
)

// An answer counts as good if its latencies are within these bounds.
const (
	FirstTokenBound = 1200 * time.Millisecond
	InterTokenBound = 68 * time.Millisecond
)

// The classes of requests.
const (
	ClassBrief = "brief"
	ClassPlan  = "plan"
)

// Network is the in-memory network that connects the processes of a rig.
type Network = toucanfakenet.Network

// LinkName identifies the connections from one address to another.
type LinkName = toucanfakenet.LinkName

// LinkState sets the delay and the faults of the connections of a link.
type LinkState = toucanfakenet.LinkState

// Any matches every address in a LinkName.
const Any = toucanfakenet.Any

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return toucanfakenet.NewNetwork() }

const (
	// callerLinkDelay is the one-way latency of links from callers to entries.
	callerLinkDelay = 3 * time.Millisecond
	// InnerDelay is the one-way latency of links to sidecars and to the store.
	InnerDelay = time.Millisecond
	callerName = "caller"
	signerKey  = "key of the rig, which guards nothing"
)

// Config describes what a rig runs.
type Config struct {
	Deployment Deployment
	Policy     toucansettings.Policy
	Entries    int
	Seed       uint64
	// ResumeWindow is how long sidecars keep a generation that no caller reads; zero means their default.
	ResumeWindow time.Duration
	// WrapEngine wraps the sidecars' engine clients; nil leaves them unchanged.
	WrapEngine func(toucansidecar.Engine) toucansidecar.Engine
	// WrapSettings modifies the settings before they are published; nil leaves them unchanged.
	WrapSettings func(toucansettings.Team) toucansettings.Team
	// WrapTransport wraps the HTTP transport from callers to entries, and WrapService the one from sidecars to application
	// instances; nil leaves it unchanged.
	WrapTransport, WrapService func(http.RoundTripper) http.RoundTripper
}

// Rig runs entries and sidecars of a deployment with fake engines over an in-memory network. It must be used inside a
// single bubble of testing/synctest.
type Rig struct {
	*toucancaller.Caller
	Network *Network
	Ledger  *toucanfake.Ledger
	cfg     Config
	// settings is the published settings document, at revision.
	settings        toucanrevision.Document
	revision        uint64
	log             *slog.Logger
	ctx             context.Context
	stop            context.CancelFunc
	running         sync.WaitGroup
	callerTransport *http.Transport
	signer          *toucanstream.Signer
	draining        map[string]bool
	// OrderLedger records the orders that application instances carried out.
	OrderLedger *OrderLedger
	// processesMu is held while a fault starts or ends processes.
	processesMu sync.Mutex
	// Store is the fake of the platform's key-value service.
	Store   *toucanfakestore.Memory
	entries []*entryProcess
	// endpoints are in the order of the deployment.
	endpoints []*Endpoint
	// Attempts counts the requests that entries sent to endpoints.
	Attempts *attempts
}

// wrap returns f(v), or v if f is nil.
func wrap[T any](v T, f func(T) T) T {
	if f == nil {
		return v
	}
	return f(v)
}

// publishSettings gives every entry the deployment's settings at the next revision, as if it had read them from the store.
// Sidecars receive them in heartbeats.
func (r *Rig) publishSettings() error {
	r.revision++
	team := wrap(r.cfg.Deployment.teamSettings(r.cfg.Policy, r.draining), r.cfg.WrapSettings)
	body, err := toucansettings.EncodeTeam(team)
	if err != nil {
		return err
	}
	r.settings, err = toucanrevision.ParseDocument("/teams/"+team.Name, body)
	if err != nil {
		return err
	}
	r.settings.Revision = r.revision
	for _, e := range r.entries {
		if err := r.offerSettings(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) offerSettings(e *entryProcess) error {
	_, err := e.settings.Offer(r.settings)
	return err
}

// process is one incarnation of an entry or sidecar. Its name is the address that it dials from.
type process struct {
	name string
	kill context.CancelFunc
}

type entryProcess struct {
	process
	address     string
	incarnation int
	settings    *toucanreplicate.Holder
	entry       *toucanentry.Entry
}

// Endpoint runs an engine or application instance and its sidecar.
type Endpoint struct {
	spec           endpointSpec
	incarnation    int
	sidecarProcess process
	sidecar        *toucansidecar.Sidecar
	// Exactly one of engine and service is set: service for a plain service, otherwise engine.
	engine    *toucanfake.Engine
	service   *orderService
	transport *http.Transport
}

// New starts a rig. It returns after a second, so that every entry has time to link to every sidecar.
func New(cfg Config) (*Rig, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Rig{
		Network:     NewNetwork(),
		Ledger:      toucanfake.NewLedger(),
		cfg:         cfg,
		OrderLedger: newOrderLedger(),
		signer:      toucanstream.NewSigner([]byte(signerKey)),
		draining:    make(map[string]bool),
		log:         slog.New(slog.NewJSONHandler(io.Discard, nil)),
		ctx:         ctx,
		stop:        stop,
		Attempts:    &attempts{},
	}
	if err := r.publishSettings(); err != nil {
		return nil, err
	}
	if err := r.startStore(); err != nil {
		return nil, err
	}
	for _, spec := range cfg.Deployment.endpoints() {
		ep := &Endpoint{spec: spec}
		r.endpoints = append(r.endpoints, ep)
		r.Network.Set(LinkName{From: Any, To: spec.sidecar.String()}, LinkState{Delay: InnerDelay})
		if err := r.startEngine(ep); err != nil {
			return nil, err
		}
		if err := r.startSidecar(ep); err != nil {
			return nil, err
		}
	}
	var addresses []string
	for i := range cfg.Entries {
		e := &entryProcess{address: fmt.Sprintf("10.0.0.%d:8080", i+1)}
		r.entries = append(r.entries, e)
		addresses = append(addresses, e.address)
		r.Network.Set(LinkName{From: Any, To: e.address}, LinkState{Delay: callerLinkDelay})
		if err := r.startEntry(e); err != nil {
			return nil, err
		}
	}
	r.callerTransport = r.newTransport(callerName)
	r.Caller = toucancaller.New(wrap(http.RoundTripper(r.callerTransport), cfg.WrapTransport), addresses, WorkspaceSecret)
	time.Sleep(time.Second)
	return r, nil
}

// shutdownWait exceeds the time that the goroutines of a sidecar continue to run after its Run has returned.
const shutdownWait = 10 * time.Second

// Stop ends every process and waits until their goroutines have ended.
func (r *Rig) Stop() {
	r.callerTransport.CloseIdleConnections()
	r.stop()
	r.Network.Close()
	r.running.Wait()
	for _, ep := range r.endpoints {
		ep.transport.CloseIdleConnections()
	}
	time.Sleep(shutdownWait)
}

func (r *Rig) newTransport(from string) *http.Transport {
	dial := r.Network.Dialer(from)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 512,
	}
}

func (r *Rig) startEngine(ep *Endpoint) error {
	ln, err := r.Network.Listen(ep.spec.engine.String())
	if err != nil {
		return err
	}
	if ep.spec.plain {
		ep.service = newOrderService(ep.spec.name, r.OrderLedger)
		service := ep.service
		r.startProcess(func() error { return service.run(r.ctx, ln) })
		return nil
	}
	cfg := r.cfg.Deployment.Engine
	cfg.Name = ep.spec.name
	cfg.Seed = r.cfg.Seed
	ep.engine = toucanfake.NewEngine(cfg, r.Ledger)
	engine := ep.engine
	r.startProcess(func() error { return engine.Run(r.ctx, ln) })
	return nil
}

// startProcess runs f, the main function of a process, in a goroutine that Stop waits for. An error of f is logged.
func (r *Rig) startProcess(f func() error) {
	r.running.Go(func() {
		if err := f(); err != nil && !errors.Is(err, net.ErrClosed) {
			r.log.Error("process ended", "error", err.Error())
		}
	})
}

func (r *Rig) startSidecar(ep *Endpoint) error {
	ln, err := r.Network.Listen(ep.spec.sidecar.String())
	if err != nil {
		return err
	}
	ep.incarnation++
	name := fmt.Sprintf("sidecar-%s.%d", ep.spec.name, ep.incarnation)
	ep.transport = r.newTransport(name)
	url := "http://" + ep.spec.engine.String()
	d := r.cfg.Deployment
	cfg := toucansidecar.Config{
		Instance:      name,
		FailureDomain: ep.spec.failureDomain,
		Endpoint:      d.Name + "/" + ep.spec.name,
		Service:       d.Name + "/" + ep.spec.service,
		Signer:        r.signer,
		ResumeWindow:  r.cfg.ResumeWindow,
	}
	ctx, kill := context.WithCancel(r.ctx)
	if ep.spec.plain {
		cfg.Kind = toucansettings.KindPlain
		cfg.Orders = r.newClaims(ctx, ep.transport)
		cfg.ServiceURL = url
		cfg.ServiceTransport = wrap(http.RoundTripper(ep.transport), r.cfg.WrapService)
	} else {
		client := toucanengine.New(url, toucanengine.WithTransport(ep.transport))
		cfg.Kind = toucansettings.KindGeneration
		cfg.Engine = wrap(toucansidecar.Engine(client), r.cfg.WrapEngine)
		cfg.Policy = r.newAdmissionPolicy()
	}
	ep.sidecar = toucansidecar.New(cfg, toucansidecar.WithLogger(r.log))
	ep.sidecarProcess = process{name, kill}
	sidecar := ep.sidecar
	r.startProcess(func() error { return sidecar.Run(ctx, ln) })
	return nil
}

func (r *Rig) newAdmissionPolicy() toucanadmit.Policy {
	cfg := toucanadmit.Config{
		Weigh:      r.cfg.Deployment.Weigh,
		FirstToken: FirstTokenBound,
		InterToken: InterTokenBound,
	}
	if r.cfg.Policy == toucansettings.PolicyNaive {
		return toucanadmit.NewNaive(cfg)
	}
	return toucanadmit.NewToucan(cfg)
}

func (r *Rig) startEntry(e *entryProcess) error {
	ln, err := r.Network.Listen(e.address)
	if err != nil {
		return err
	}
	e.incarnation++
	name := fmt.Sprintf("entry-%s.%d", e.address, e.incarnation)
	domain := r.cfg.Deployment.FailureDomains[0]
	e.settings = toucanreplicate.NewHolder()
	if err := r.offerSettings(e); err != nil {
		return err
	}
	e.entry = toucanentry.New(toucanentry.Config{
		Instance:      name,
		FailureDomain: domain,
		Replica:       e.settings,
		Signer:        r.signer,
		Dial:          r.Network.Dialer(name),
		Router:        &countingRouter{Router: r.newRouter(name, domain), attempts: r.Attempts},
		Budget:        toucanretry.NewBudget(),
	}, toucanentry.WithLogger(r.log))
	ctx, kill := context.WithCancel(r.ctx)
	e.process = process{name, kill}
	entry := e.entry
	r.startProcess(func() error { return entry.Run(ctx, ln) })
	return nil
}

func (r *Rig) newRouter(name, domain string) toucanroute.Router {
	if r.cfg.Policy == toucansettings.PolicyNaive {
		return toucanroute.NewNaive()
	}
	return toucanroute.NewToucan(toucanroute.Config{
		FailureDomain: domain,
		Rand:          rand.NewPCG(r.cfg.Seed, uint64(toucanfake.IDHash(name))),
		BlockTokens:   r.cfg.Deployment.Engine.BlockTokens,
	})
}

// attempts counts the requests that entries sent to endpoints. It is safe for concurrent use.
type attempts struct {
	mu sync.Mutex
	n  int
}

func (a *attempts) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

// Count returns the number of attempts so far.
func (a *attempts) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.n
}

type countingRouter struct {
	toucanroute.Router
	attempts *attempts
}

func (c *countingRouter) RecordSent(now time.Time, endpoint string, q toucanroute.Query) {
	c.attempts.add()
	c.Router.RecordSent(now, endpoint, q)
}
