// Package toucansidecar implements the sidecar, the process beside each endpoint. It admits requests for its endpoint,
// which no other process does, buffers the tokens of generations, and forwards calls to plain services.
package toucansidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanadmit"
	"toucanport/toucandispatch"
	"toucanport/toucanengine"
	"toucanport/toucanmetric"
	"toucanport/toucanreplicate"
	"toucanport/toucanschedule"
	"toucanport/toucansettings"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

// Default limits of a sidecar.
const (
	// DefaultGenerationBytes limits the buffered text of one generation.
	DefaultGenerationBytes = 1 << 20
	// DefaultBufferBytes limits the buffered text of all generations.
	DefaultBufferBytes = 24 << 20
	// DefaultResumeWindow is how long a generation keeps running without a reader, and how long a generation that has
	// ended can still be read.
	DefaultResumeWindow = 30 * time.Second
	// maxClosedIDs is the maximum number of generation ids that are kept to refuse a later start.
	maxClosedIDs = 100_000
	// maxLinks limits the links of one sidecar, including those whose handshake has not finished.
	maxLinks = 1024
	// maxStreamsPerLink limits the open requests of one entry.
	maxStreamsPerLink = 4096
)

// Engine is the interface to the model engine beside the sidecar.
type Engine interface {
	Generate(ctx context.Context, r toucanengine.Request) (toucanengine.Stream, error)
	Resume(ctx context.Context, id string, from int) (toucanengine.Stream, error)
	Cancel(ctx context.Context, id string) error
	Report(ctx context.Context) (toucanengine.Report, error)
}

// Config is the configuration of a sidecar.
type Config struct {
	Instance      string
	FailureDomain string
	Endpoint      string
	Service       string
	Kind          toucansettings.Kind
	// Engine is required for generation services.
	Engine Engine
	// ServiceURL and ServiceTransport reach the application instance of a plain service.
	ServiceURL       string
	ServiceTransport http.RoundTripper
	// ServiceEnds checks answers of a plain service without a length, which end with their connections; nil for no check.
	ServiceEnds toucandispatch.EndChecker
	// Orders claims the orders of plain services in the store; if nil, orders with an idempotency key are refused.
	Orders toucandispatch.Orders
	// Policy overrides the admission policy of the service's settings; if nil, the settings determine the policy.
	Policy toucanadmit.Policy
	Signer *toucanstream.Signer
	// Replica holds the settings that are exchanged in heartbeats; a new holder if nil.
	Replica *toucanreplicate.Holder
	// Scope receives the metrics; if nil, no metrics are recorded.
	Scope           tally.Scope
	GenerationBytes int
	BufferBytes     int
	ResumeWindow    time.Duration
}

func (c Config) withDefaults() Config {
	if c.GenerationBytes == 0 {
		c.GenerationBytes = DefaultGenerationBytes
	}
	if c.BufferBytes == 0 {
		c.BufferBytes = DefaultBufferBytes
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Replica == nil {
		c.Replica = toucanreplicate.NewHolder()
	}
	if c.ResumeWindow == 0 {
		c.ResumeWindow = DefaultResumeWindow
	}
	return c
}

// Option configures a sidecar.
type Option func(*Sidecar)

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(s *Sidecar) { s.log = log } }

// WithBootID sets the boot id, which is random by default.
func WithBootID(id uint64) Option { return func(s *Sidecar) { s.boot = id } }

// Sidecar serves the requests of entries for one endpoint.
type Sidecar struct {
	cfg  Config
	log  *slog.Logger
	boot uint64
	pool *toucanstream.Pool

	schedule *toucanschedule.Schedule
	// drainCalled is true once Drain was called; new work is then refused.
	drainCalled atomic.Bool
	// inProgress counts the generations and calls in progress. Shutdown waits for them.
	inProgress workCounter
	// calls ends when the calls in progress must end before Shutdown does; endCalls ends it.
	calls      context.Context
	endCalls   context.CancelFunc
	dispatcher *toucandispatch.Dispatcher
	reports    reportState
	engine     *toucanmetric.Engine
	uses       useRelay

	mu sync.Mutex
	// generations maps ids to the generations that can be resumed.
	generations map[string]*generation
	// closedIDs holds the ids of generations that must not start: they have ended or were cancelled, or a request to
	// cancel or resume them arrived before the request itself.
	closedIDs *lru.Cache[string, struct{}]
	links     map[*toucanwire.Link]struct{}
	// connections counts the accepted connections, including those whose handshake has not finished.
	connections atomic.Int64
}

// New returns a sidecar that is inactive until Run is called.
func New(cfg Config, opts ...Option) *Sidecar {
	cfg = cfg.withDefaults()
	closedIDs, _ := lru.New[string, struct{}](maxClosedIDs) // fails only if the size is not positive
	s := &Sidecar{
		cfg:         cfg,
		log:         slog.Default(),
		boot:        rand.Uint64(),
		pool:        toucanstream.NewPool(cfg.BufferBytes),
		generations: make(map[string]*generation),
		closedIDs:   closedIDs,
		links:       make(map[*toucanwire.Link]struct{}),
	}
	s.calls, s.endCalls = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	s.engine = toucanmetric.NewEngine(cfg.Scope)
	s.schedule = toucanschedule.New(initialPolicy(cfg), s.startGeneration, s.expireGeneration)
	s.dispatcher = toucandispatch.New(cfg.ServiceURL, cfg.ServiceTransport, cfg.Orders, s.log, toucandispatch.WithEndChecker(cfg.ServiceEnds))
	return s
}

// BootID returns the id of this process.
func (s *Sidecar) BootID() uint64 { return s.boot }

// Run serves links from ln until ctx is done, then closes them. Call Shutdown first to stop without interrupting work
// in progress.
func (s *Sidecar) Run(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := s.backgroundTasks()
	var wg sync.WaitGroup
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
	stop := context.AfterFunc(ctx, func() { s.closeAll(ln) })
	defer stop()
	err := s.acceptLinks(ctx, ln, &wg)
	cancel()
	s.closeAll(ln)
	wg.Wait()
	if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Sidecar) backgroundTasks() []func(context.Context) {
	if s.cfg.Kind == toucansettings.KindPlain {
		return nil
	}
	tasks := []func(context.Context){s.schedule.Run, s.pollEngine, s.reapGenerations}
	if s.cfg.Policy == nil {
		tasks = append(tasks, s.followSettings)
	}
	return tasks
}

// initialPolicy returns the configured policy, or else the default policy, which is used until settings arrive.
func initialPolicy(cfg Config) toucanadmit.Policy {
	if cfg.Policy != nil {
		return cfg.Policy
	}
	return admissionSettings{}.newPolicy()
}

func (s *Sidecar) acceptLinks(ctx context.Context, ln net.Listener, wg *sync.WaitGroup) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		if s.connections.Load() >= maxLinks {
			s.log.Warn("link refused", "remote", conn.RemoteAddr().String(), "error", "too many links")
			conn.Close()
			continue
		}
		s.connections.Add(1)
		wg.Go(func() {
			defer s.connections.Add(-1)
			s.serveConn(ctx, conn)
		})
	}
}

func (s *Sidecar) serveConn(ctx context.Context, conn net.Conn) {
	link, err := toucanwire.Accept(ctx, conn, s.hello())
	if err != nil {
		s.log.Warn("link refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	if !s.addLink(link) {
		return
	}
	defer s.removeLink(link)
	for {
		stream, err := link.AcceptStream()
		if err != nil {
			return
		}
		if link.NumStreams() > maxStreamsPerLink {
			stream.Close()
			continue
		}
		go s.serveStream(ctx, link, stream)
	}
}

func (s *Sidecar) hello() *toucanwire.Hello {
	return &toucanwire.Hello{
		Role:          "sidecar",
		Instance:      s.cfg.Instance,
		BootId:        s.boot,
		FailureDomain: s.cfg.FailureDomain,
	}
}

func (s *Sidecar) addLink(link *toucanwire.Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		link.Close()
		return false
	}
	s.links[link] = struct{}{}
	return true
}

func (s *Sidecar) removeLink(link *toucanwire.Link) {
	link.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, link)
}

// linkCount returns the number of links.
func (s *Sidecar) linkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

func (s *Sidecar) closeAll(ln net.Listener) {
	ln.Close()
	s.mu.Lock()
	links := s.links
	s.links = nil
	s.mu.Unlock()
	for link := range links {
		link.Close()
	}
}

// firstMessageTimeout limits the wait for the first message of a stream.
const firstMessageTimeout = 5 * time.Second

func (s *Sidecar) serveStream(ctx context.Context, link *toucanwire.Link, stream *toucanwire.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	open := &toucanwire.Open{}
	if err := stream.Receive(open); err != nil {
		s.log.Warn("stream without a request", "peer", link.Peer.Instance, "error", err.Error())
		return
	}
	stream.SetReadDeadline(time.Time{})
	switch r := open.Request.(type) {
	case *toucanwire.Open_Generate:
		s.serveGenerate(ctx, stream, r.Generate)
	case *toucanwire.Open_Resume:
		s.serveResume(ctx, stream, r.Resume)
	case *toucanwire.Open_Cancel:
		s.serveCancel(stream, r.Cancel)
	case *toucanwire.Open_Call:
		s.serveCall(ctx, stream, r.Call)
	case *toucanwire.Open_Control:
		s.serveControl(ctx, link, stream)
	default:
		s.log.Warn("request of unknown type", "peer", link.Peer.Instance)
	}
}
