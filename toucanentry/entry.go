// Package toucanentry is the thin entry instance: callers' HTTP, authentication, limits, the choice of an
// endpoint, and the relay of answers. It holds nothing that another entry cannot do without.
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

	"toucanport/toucanlimit"
	"toucanport/toucanlink"
	"toucanport/toucanmetric"
	"toucanport/toucanretry"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

// Timeouts and bounds towards callers.
const (
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// readBodyTimeout bounds how long a caller may take to send its body.
	readBodyTimeout = 30 * time.Second
	// idleTimeout bounds how long a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 32 << 10
	// DefaultStartWithin is how long a request may wait for its first token or its service's answer when
	// the caller sets no timeout.
	DefaultStartWithin = 30 * time.Second
)

// Settings gives the settings in force.
type Settings interface {
	Tree() *toucansettings.Tree
}

// Config says what an entry is.
type Config struct {
	Instance      string
	FailureDomain string
	// Settings is what requests are served by. When it is left out, Spread is.
	Settings Settings
	// Spread holds the settings that heartbeats carry; a new one when it is left out.
	Spread *toucanspread.Holder
	// Members is what is known of other instances; may be nil.
	Members Members
	Signer  *toucanstream.Signer
	Dial    toucanlink.Dialer
	Router  toucanroute.Router
	Limiter toucanlimit.Limiter
	Budget  *toucanretry.Budget
	// Scope records metrics; nil records none.
	Scope tally.Scope
}

// Option changes an entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(e *Entry) { e.log = log } }

// WithConnections sets the bound on callers' open connections.
func WithConnections(n int) Option { return func(e *Entry) { e.connections = newConnections(n) } }

// Entry serves callers.
type Entry struct {
	cfg     Config
	log     *slog.Logger
	boot    uint64
	serial  atomic.Uint64
	links   *toucanlink.Pool
	callers *toucanmetric.Callers
	server  *http.Server
	// connections and bodies bound what callers make the entry hold.
	connections *connections
	bodies      *bodyPool
	// services holds the services that the router knows; used by maintain only.
	services map[string]bool
	// ready is closed by markReady, which may be called any number of times.
	ready     chan struct{}
	markReady func()
	// stopping is true once a graceful stop has begun.
	stopping atomic.Bool
	// drained is closed when a graceful stop has ended.
	drained chan struct{}
	// divided holds each service's subset, and entries what they were made over; the maintaining goroutine's
	// alone.
	divided map[string]subset
	entries entryList
	// life ends with Run; work that outlives its request, such as a cancel, ends with it.
	life context.Context
	end  context.CancelFunc
	// requests is the parent of all requests' contexts; endRequests ends them for a cause.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// New returns an entry that does nothing until Run.
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
	if cfg.Spread == nil {
		cfg.Spread = toucanspread.NewHolder()
	}
	if cfg.Settings == nil {
		cfg.Settings = cfg.Spread
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
	e.life, e.end = context.WithCancel(context.Background())
	e.requests, e.endRequests = context.WithCancelCause(context.Background())
	e.markReady = sync.OnceFunc(func() { close(e.ready) })
	for _, opt := range opts {
		opt(e)
	}
	e.callers = toucanmetric.NewCallers(cfg.Scope)
	e.links = toucanlink.NewPool(toucanlink.Config{
		Dial:    cfg.Dial,
		Hello:   e.hello(),
		Spread:  cfg.Spread,
		Handler: linkHandler{e},
		Log:     e.log,
	})
	e.divided = make(map[string]subset)
	e.server = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       e.connections.context,
		ConnState:         e.connections.changed,
		BaseContext:       func(net.Listener) context.Context { return e.requests },
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
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
	r.Use(e.identify)
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

// Run serves callers from ln until Shutdown or until ctx is done, which ends everything at once.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	defer e.end()
	defer e.endRequests(nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.maintain(ctx)
	stop := context.AfterFunc(ctx, func() { _ = e.server.Close() })
	defer stop()
	if err := e.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if e.stopping.Load() {
		e.awaitDrained(ctx)
	}
	return nil
}

// maintainInterval is the time between looks at the settings for endpoints to keep links to.
const maintainInterval = 500 * time.Millisecond

// maintain keeps the router's endpoints and the links in step with the settings and the membership.
func (e *Entry) maintain(ctx context.Context) {
	var last *toucansettings.Tree
	var version uint64
	for {
		tree, members := e.cfg.Settings.Tree(), e.membersVersion()
		if tree != last || members != version || e.entriesDue(time.Now(), members) {
			last, version = tree, members
			e.useTree(tree)
		}
		e.useSeeds(tree)
		e.links.Ensure(ctx)
		select {
		case <-time.After(maintainInterval):
		case <-ctx.Done():
			e.links.CloseAll()
			return
		}
	}
}

func (e *Entry) useTree(tree *toucansettings.Tree) {
	wanted := make(map[string]bool)
	services := make(map[string]bool)
	divide := e.subsets(tree)
	e.countEntries()
	for _, team := range tree.Teams() {
		for _, s := range team.Services {
			all := tree.Endpoints(s.Team, s.Name)
			mine := divide(serviceKey(s), all)
			e.cfg.Router.SetEndpoints(time.Now(), serviceKey(s), e.usable(s, mine, all))
			e.setPolicy(s)
			services[serviceKey(s)] = true
			for _, ep := range mine {
				wanted[ep.Address.String()] = true
			}
		}
	}
	for name := range e.services {
		if !services[name] {
			e.cfg.Router.SetEndpoints(time.Now(), name, nil)
			delete(e.divided, name)
		}
	}
	e.services = services
	e.links.Want(wanted)
	if len(services) > 0 {
		e.markReady()
	}
}

// Ready is closed once the entry knows settings and routes by them.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// policySetter is a router that has a policy for each service.
type policySetter interface {
	SetPolicy(service string, p toucansettings.Policy)
}

func (e *Entry) setPolicy(s toucansettings.Service) {
	if r, ok := e.cfg.Router.(policySetter); ok {
		r.SetPolicy(serviceKey(s), s.Policy)
	}
}

// serviceKey names a service uniquely over all teams.
func serviceKey(s toucansettings.Service) string { return s.Team + "/" + s.Name }

// endpointKey names an endpoint uniquely over all teams; sidecars report under the same name.
func endpointKey(team, endpoint string) string { return team + "/" + endpoint }

func (e *Entry) takeReport(l *toucanwire.LoadReport) {
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
