// Package toucanentry implements the entry: HTTP for callers, authentication, limits, routing to endpoints, and the
// relay of answers. An entry keeps no state that other entries need.
package toucanentry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanapi"
	"toucanport/toucanhead"
	"toucanport/toucanlimit"
	"toucanport/toucanlink"
	"toucanport/toucanmetric"
	"toucanport/toucanreplicate"
	"toucanport/toucanretry"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

// Timeouts and limits for callers.
const (
	// readHeaderTimeout limits how long a caller can take to send the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// readBodyTimeout limits how long a caller can take to send a body.
	readBodyTimeout = 30 * time.Second
	// idleTimeout limits how long a connection can be idle between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's headers, and headMemoryBytes the memory that the headers of all requests take.
	maxHeaderBytes  = 32 << 10
	headMemoryBytes = 32 << 20
	// DefaultStartWithin is how long a request can wait for its first token, or for its service's answer, if the
	// caller sets no timeout.
	DefaultStartWithin = 30 * time.Second
)

// Settings provides the current settings.
type Settings interface {
	Tree() *toucansettings.Tree
}

// Config is the configuration of an entry.
type Config struct {
	Instance      string
	FailureDomain string
	// Settings provides the settings for serving requests; Replica if nil.
	Settings Settings
	// Replica holds the settings that are exchanged in heartbeats; a new holder if nil.
	Replica *toucanreplicate.Holder
	// Members is the membership; if nil, the entry uses all endpoints and works without other entries.
	Members Members
	Signer  *toucanstream.Signer
	Dial    toucanlink.Dialer
	Router  toucanroute.Router
	Limiter toucanlimit.Limiter
	Budget  *toucanretry.Budget
	// Scope receives the metrics; if nil, no metrics are recorded.
	Scope tally.Scope
}

// Option configures an entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(e *Entry) { e.log = log } }

// WithConnections sets the limit on the callers' open connections.
func WithConnections(n int) Option { return func(e *Entry) { e.connections = newConnections(n) } }

// Entry serves callers over HTTP and sends their requests to sidecars.
type Entry struct {
	cfg     Config
	log     *slog.Logger
	boot    uint64
	serial  atomic.Uint64
	links   *toucanlink.Pool
	callers *toucanmetric.Callers
	server  *http.Server
	// gate limits the headers of requests before they are parsed.
	gate *toucanhead.Gate
	// connections and bodies limit the resources that callers can use.
	connections *connections
	bodies      *bodyPool
	// services holds the services that the router has endpoints for; only maintain's goroutine uses it.
	services map[string]bool
	// ready is closed by markReady, which can be called repeatedly.
	ready     chan struct{}
	markReady func()
	// stopping is true once a graceful stop has begun.
	stopping atomic.Bool
	// accepting ends when a graceful stop begins; Run then closes its listener. stopAccepting ends it.
	accepting     context.Context
	stopAccepting context.CancelFunc
	// drained is closed at the end of a graceful stop.
	drained chan struct{}
	// pickedSubsets caches this entry's subset of each service's endpoints. entries is the list of entries from which
	// the subsets are computed. Only maintain's goroutine uses them.
	pickedSubsets map[string]subset
	entries       entryList
	// lifetime ends when Run returns. It is the context of work that can outlive its request, such as a cancellation.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// requests is the parent of the contexts of all requests. endRequests ends it with a cause.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// New returns an entry that is inactive until Run is called.
func New(cfg Config, opts ...Option) *Entry {
	if cfg.Limiter == nil {
		cfg.Limiter = toucanlimit.NewUnlimited()
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Budget == nil {
		cfg.Budget = toucanretry.NewBudget()
	}
	if cfg.Replica == nil {
		cfg.Replica = toucanreplicate.NewHolder()
	}
	if cfg.Settings == nil {
		cfg.Settings = cfg.Replica
	}
	e := &Entry{
		cfg:         cfg,
		log:         slog.Default(),
		boot:        rand.Uint64(),
		drained:     make(chan struct{}),
		ready:       make(chan struct{}),
		connections: newConnections(DefaultConnections),
		bodies:      newBodyPool(),
	}
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.accepting, e.stopAccepting = context.WithCancel(context.Background())
	e.requests, e.endRequests = context.WithCancelCause(context.Background())
	e.markReady = sync.OnceFunc(func() { close(e.ready) })
	for _, opt := range opts {
		opt(e)
	}
	e.callers = toucanmetric.NewCallers(cfg.Scope)
	e.links = toucanlink.NewPool(toucanlink.Config{
		Dial:    cfg.Dial,
		Hello:   e.hello(),
		Replica: cfg.Replica,
		Handler: linkHandler{e},
		Log:     e.log,
	})
	e.pickedSubsets = make(map[string]subset)
	e.server = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       e.connections.withConnection,
		ConnState:         e.connections.onStateChange,
		BaseContext:       func(net.Listener) context.Context { return e.requests },
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
	e.gate = toucanhead.New(toucanhead.Limits{
		HeadBytes:   func() int { return maxHeaderBytes },
		MemoryBytes: headMemoryBytes,
		BodyBytes:   func() int64 { return max(toucanapi.MaxBodyBytes, maxCallBodyBytes) },
	}, toucanhead.NewObserver(cfg.Scope, e.log).Observe)
	e.gate.Attach(e.server)
	return e
}

func (e *Entry) hello() *toucanwire.Hello {
	return &toucanwire.Hello{
		Role:          "entry",
		Instance:      e.cfg.Instance,
		BootId:        e.boot,
		FailureDomain: e.cfg.FailureDomain,
	}
}

func (e *Entry) routes() http.Handler {
	r := echo.New()
	r.Logger = e.log
	r.HTTPErrorHandler = e.handleError
	r.Use(e.assignRequestID, e.closeAfterAnswer)
	r.GET("/healthz", e.health)
	r.GET("/v1/models", e.authenticated(e.listModels))
	r.POST("/v1/chat/completions", e.authenticated(e.chat))
	r.POST("/v1/completions", e.authenticated(e.completion))
	r.GET("/v1/generations/:id", e.authenticated(e.resumeGeneration))
	r.DELETE("/v1/generations/:id", e.authenticated(e.cancelGeneration))
	r.Any("/services/:service", e.authenticated(e.callService))
	r.Any("/services/:service/*", e.authenticated(e.callService))
	return r
}

// Run serves callers from ln until Shutdown has finished. If ctx ends first, all requests are ended immediately.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	defer e.endLifetime()
	defer e.endRequests(nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.maintain(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = e.server.Close()
		e.gate.Drain(ctx)
	})
	defer stop()
	stopWatch := context.AfterFunc(e.accepting, func() { _ = ln.Close() }) // Serve reports the end.
	defer stopWatch()
	err := e.server.Serve(e.gate.Listen(ln))
	if e.stopping.Load() {
		e.awaitDrained(ctx)
		return nil
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// maintainInterval is how often the entry checks for changes of the settings and the membership.
const maintainInterval = 500 * time.Millisecond

// maintain updates the router's endpoints and the links when the settings or the membership change.
func (e *Entry) maintain(ctx context.Context) {
	var last *toucansettings.Tree
	var version uint64
	for {
		tree, members := e.cfg.Settings.Tree(), e.membersVersion()
		if tree != last || members != version || e.entriesOutdated(time.Now(), members) {
			last, version = tree, members
			e.applyTree(tree)
		}
		e.linkToSeeds(tree)
		e.links.Reconcile(ctx)
		select {
		case <-time.After(maintainInterval):
		case <-ctx.Done():
			e.links.CloseAll()
			return
		}
	}
}

func (e *Entry) applyTree(tree *toucansettings.Tree) {
	wanted := make(map[string]bool)
	services := make(map[string]bool)
	pickSubset := e.newSubsetPicker(tree)
	e.updateEntryCount()
	for _, team := range tree.Teams() {
		for _, s := range team.Services {
			all := tree.Endpoints(s.Team, s.Name)
			own := pickSubset(ServiceKey(s), all)
			e.cfg.Router.SetEndpoints(time.Now(), ServiceKey(s), e.assignable(s, own, all))
			e.setPolicy(s)
			services[ServiceKey(s)] = true
			for _, ep := range own {
				wanted[ep.Address.String()] = true
			}
		}
	}
	for name := range e.services {
		if !services[name] {
			e.cfg.Router.SetEndpoints(time.Now(), name, nil)
			delete(e.pickedSubsets, name)
		}
	}
	e.services = services
	e.links.SetWanted(wanted)
	if len(services) > 0 {
		e.markReady()
	}
}

// Ready returns a channel that is closed once the entry has settings with at least one service and has applied them to
// its router.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// policySetter is implemented by routers with a policy for each service.
type policySetter interface {
	SetPolicy(service string, p toucansettings.Policy)
}

func (e *Entry) setPolicy(s toucansettings.Service) {
	if r, ok := e.cfg.Router.(policySetter); ok {
		r.SetPolicy(ServiceKey(s), s.Policy)
	}
}

// ServiceKey returns a name of the service that is unique across teams.
func ServiceKey(s toucansettings.Service) string { return s.Team + "/" + s.Name }

// endpointKey returns a name of the endpoint that is unique across teams. Sidecars use the same name in their
// reports.
func endpointKey(team, endpoint string) string { return team + "/" + endpoint }

func (e *Entry) applyReport(l *toucanwire.LoadReport) {
	if l == nil {
		return
	}
	e.cfg.Router.Report(time.Now(), toucanroute.Load{
		BootID:         l.BootId,
		Sequence:       l.Sequence,
		Endpoint:       l.Endpoint,
		Running:        int(l.Running),
		Queued:         int(l.Queued),
		QueuedTokens:   int(l.QueuedTokens),
		UsedBlocks:     int(l.MemoryUsedBlocks),
		TotalBlocks:    int(l.MemoryTotalBlocks),
		ForecastBlocks: int(l.MemoryForecastBlocks),
		StepTime:       time.Duration(l.StepMicros) * time.Microsecond,
		Wait:           time.Duration(l.WaitMillis) * time.Millisecond,
		Leaving:        l.Leaving,
		Healthy:        l.Healthy,
		CachedPrefixes: l.CachedPrefixes,
	})
}

func (e *Entry) health(c *echo.Context) error {
	if e.stopping.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	select {
	case <-e.ready:
	default:
		return c.String(http.StatusServiceUnavailable, "no settings yet\n")
	}
	return c.String(http.StatusOK, "ok\n")
}
