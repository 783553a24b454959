// Package toucanrig runs real entries and sidecars with stand-in engines, application instances and store over
// links in memory, for measurements and fault cases under a fake clock.
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
	"toucanport/toucanretry"
	"toucanport/toucanrevision"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucansidecar"
	"toucanport/toucanspread"
	"toucanport/toucanstream"
)

// The bounds of a good answer.
const (
	FirstTokenBound = 1200 * time.Millisecond
	InterTokenBound = 68 * time.Millisecond
)

// Classes of request.
const (
	ClassBrief = "brief"
	ClassPlan  = "plan"
)

// Network joins the processes of a rig.
type Network = toucanfakenet.Network

// LinkName names the connections between two addresses.
type LinkName = toucanfakenet.LinkName

// LinkState is how the connections of a link behave.
type LinkState = toucanfakenet.LinkState

// Any stands for every address in a LinkName.
const Any = toucanfakenet.Any

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return toucanfakenet.NewNetwork() }

const (
	callerDelay = 3 * time.Millisecond
	// InnerDelay is the one-way latency of the links to sidecars and to the store.
	InnerDelay = time.Millisecond
	callerName = "caller"
	signerKey  = "key of the rig, which guards nothing"
)

// Config says what a rig runs.
type Config struct {
	Deployment Deployment
	Policy     toucansettings.Policy
	Entries    int
	Seed       uint64
	// ResumeWindow is for how long sidecars keep what nobody reads; zero means their default.
	ResumeWindow time.Duration
	// WrapEngine replaces what the sidecars see of their engines; nil leaves it.
	WrapEngine func(toucansidecar.Engine) toucansidecar.Engine
	// WrapSettings replaces the settings that processes get; nil leaves them.
	WrapSettings func(toucansettings.Team) toucansettings.Team
	// WrapTransport replaces how callers reach entries, and WrapService how sidecars reach application
	// instances; nil leaves them.
	WrapTransport, WrapService func(http.RoundTripper) http.RoundTripper
}

// Rig is real entries and sidecars with stand-in engines, joined in memory. It must be used inside one
// bubble of testing/synctest.
type Rig struct {
	*toucancaller.Caller
	Network *Network
	Ledger  *toucanfake.Ledger
	cfg     Config
	// document is the settings in force, whose revision is revision.
	document toucanrevision.Document
	revision uint64
	log      *slog.Logger
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	callers  *http.Transport
	signer   *toucanstream.Signer
	draining map[string]bool
	// Services records what application instances did.
	Services *ServiceLedger
	// operations is held while a fault changes processes.
	operations sync.Mutex
	// Store stands in for the platform's key-value service.
	Store   *toucanfakestore.Memory
	entries []*entryProcess
	// endpoints are in the order of the deployment.
	endpoints []*Endpoint
	// Attempts counts the requests that entries sent to endpoints.
	Attempts *attempts
}

// wrap returns v, or what f makes of it.
func wrap[T any](v T, f func(T) T) T {
	if f == nil {
		return v
	}
	return f(v)
}

// publish puts the deployment's settings in force as the next revision: entries have read it from the store,
// and sidecars learn it from heartbeats.
func (r *Rig) publish() error {
	r.revision++
	team := wrap(r.cfg.Deployment.team(r.cfg.Policy, r.draining), r.cfg.WrapSettings)
	body, err := toucansettings.EncodeTeam(team)
	if err != nil {
		return err
	}
	r.document, err = toucanrevision.ParseDocument("/teams/"+team.Name, body)
	if err != nil {
		return err
	}
	r.document.Revision = r.revision
	for _, e := range r.entries {
		if err := r.offer(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) offer(e *entryProcess) error {
	_, err := e.settings.Offer(r.document)
	return err
}

// process is one incarnation of a program; its name is the address it dials from.
type process struct {
	name string
	kill context.CancelFunc
}

type entryProcess struct {
	process
	address     string
	incarnation int
	settings    *toucanspread.Holder
	entry       *toucanentry.Entry
}

// Endpoint is an engine or application instance and its sidecar.
type Endpoint struct {
	spec        endpointSpec
	incarnation int
	sidecarRun  process
	sidecar     *toucansidecar.Sidecar
	// engine is nil beside a plain service, and service beside an engine.
	engine    *toucanfake.Engine
	service   *orderService
	transport *http.Transport
}

// New starts a rig. It returns once every entry had time to link to every sidecar.
func New(cfg Config) (*Rig, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Rig{
		Network:  NewNetwork(),
		Ledger:   toucanfake.NewLedger(),
		cfg:      cfg,
		Services: newServiceLedger(),
		signer:   toucanstream.NewSigner([]byte(signerKey)),
		draining: make(map[string]bool),
		log:      slog.New(slog.NewJSONHandler(io.Discard, nil)),
		ctx:      ctx,
		stop:     stop,
		Attempts: &attempts{},
	}
	if err := r.publish(); err != nil {
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
		r.Network.Set(LinkName{From: Any, To: e.address}, LinkState{Delay: callerDelay})
		if err := r.startEntry(e); err != nil {
			return nil, err
		}
	}
	r.callers = r.transport(callerName)
	r.Caller = toucancaller.New(wrap(http.RoundTripper(r.callers), cfg.WrapTransport), addresses, WorkspaceSecret)
	time.Sleep(time.Second)
	return r, nil
}

// remainsTime covers what a sidecar's goroutines go on for after its Run has ended.
const remainsTime = 10 * time.Second

// Stop ends every process.
func (r *Rig) Stop() {
	r.callers.CloseIdleConnections()
	r.stop()
	r.Network.Close()
	r.running.Wait()
	for _, ep := range r.endpoints {
		ep.transport.CloseIdleConnections()
	}
	time.Sleep(remainsTime)
}

func (r *Rig) transport(from string) *http.Transport {
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
		ep.service = newOrderService(ep.spec.name, r.Services)
		service := ep.service
		r.run(func() error { return service.run(r.ctx, ln) })
		return nil
	}
	cfg := r.cfg.Deployment.Engine
	cfg.Name = ep.spec.name
	cfg.Seed = r.cfg.Seed
	ep.engine = toucanfake.NewEngine(cfg, r.Ledger)
	engine := ep.engine
	r.run(func() error { return engine.Run(r.ctx, ln) })
	return nil
}

// run starts one process's goroutine, whose error has no one to go to but the log.
func (r *Rig) run(f func() error) {
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
	ep.transport = r.transport(name)
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
		cfg.Orders = r.claims(ctx, ep.transport)
		cfg.ServiceURL = url
		cfg.ServiceTransport = wrap(http.RoundTripper(ep.transport), r.cfg.WrapService)
	} else {
		client := toucanengine.New(url, toucanengine.WithTransport(ep.transport))
		cfg.Kind = toucansettings.KindGeneration
		cfg.Engine = wrap(toucansidecar.Engine(client), r.cfg.WrapEngine)
		cfg.Policy = r.admission()
	}
	ep.sidecar = toucansidecar.New(cfg, toucansidecar.WithLogger(r.log))
	ep.sidecarRun = process{name, kill}
	sidecar := ep.sidecar
	r.run(func() error { return sidecar.Run(ctx, ln) })
	return nil
}

func (r *Rig) admission() toucanadmit.Policy {
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
	e.settings = toucanspread.NewHolder()
	if err := r.offer(e); err != nil {
		return err
	}
	e.entry = toucanentry.New(toucanentry.Config{
		Instance:      name,
		FailureDomain: domain,
		Spread:        e.settings,
		Signer:        r.signer,
		Dial:          r.Network.Dialer(name),
		Router:        &countingRouter{Router: r.router(name, domain), attempts: r.Attempts},
		Budget:        toucanretry.NewBudget(),
	}, toucanentry.WithLogger(r.log))
	ctx, kill := context.WithCancel(r.ctx)
	e.process = process{name, kill}
	entry := e.entry
	r.run(func() error { return entry.Run(ctx, ln) })
	return nil
}

func (r *Rig) router(name, domain string) toucanroute.Router {
	if r.cfg.Policy == toucansettings.PolicyNaive {
		return toucanroute.NewNaive()
	}
	return toucanroute.NewToucan(toucanroute.Config{
		FailureDomain: domain,
		Rand:          rand.NewPCG(r.cfg.Seed, uint64(toucanfake.IDHash(name))),
		BlockTokens:   r.cfg.Deployment.Engine.BlockTokens,
	})
}

// attempts counts requests that entries sent to endpoints.
type attempts struct {
	mu sync.Mutex
	n  int
}

func (a *attempts) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

// Count returns the attempts so far.
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
