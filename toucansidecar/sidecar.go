// Package toucansidecar is the process beside each endpoint. It is the authority on its endpoint: it admits
// requests, keeps the tokens of running generations, and carries calls to plain services.
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
	"toucanport/toucancarry"
	"toucanport/toucanengine"
	"toucanport/toucanmetric"
	"toucanport/toucanschedule"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

// Defaults of a sidecar's bounds.
const (
	// DefaultGenerationBytes bounds the buffered text of one generation.
	DefaultGenerationBytes = 1 << 20
	// DefaultBufferBytes bounds the buffered text of all generations.
	DefaultBufferBytes = 24 << 20
	// DefaultResumeWindow is how long a generation runs on with nobody attached, and how long a finished
	// one stays readable.
	DefaultResumeWindow = 30 * time.Second
	// closedIDBound is how many ids are remembered that must not start any more.
	closedIDBound = 100_000
	// maxLinks bounds the links of one sidecar, those included that have not said hello yet.
	maxLinks = 1024
	// maxStreamsPerLink bounds the requests that one entry has open.
	maxStreamsPerLink = 4096
)

// Engine is what a sidecar needs of the model engine beside it.
type Engine interface {
	Generate(ctx context.Context, r toucanengine.Request) (toucanengine.Stream, error)
	Resume(ctx context.Context, id string, from int) (toucanengine.Stream, error)
	Cancel(ctx context.Context, id string) error
	Report(ctx context.Context) (toucanengine.Report, error)
}

// Config says what a sidecar is and stands beside.
type Config struct {
	Instance      string
	FailureDomain string
	Endpoint      string
	Service       string
	Kind          toucansettings.Kind
	// Engine is set for generation services.
	Engine Engine
	// ServiceURL and ServiceTransport reach the application instance of plain services.
	ServiceURL       string
	ServiceTransport http.RoundTripper
	// Orders claims orders under a key for plain services; without it such orders are refused.
	Orders toucancarry.Orders
	// Policy decides admission whatever the settings say; without it the service's settings choose.
	Policy toucanadmit.Policy
	Signer *toucanstream.Signer
	// Spread holds the settings that heartbeats carry; a new one when it is left out.
	Spread *toucanspread.Holder
	// Scope records metrics; nil records none.
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
	if c.Spread == nil {
		c.Spread = toucanspread.NewHolder()
	}
	if c.ResumeWindow == 0 {
		c.ResumeWindow = DefaultResumeWindow
	}
	return c
}

// Option changes a sidecar.
type Option func(*Sidecar)

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(s *Sidecar) { s.log = log } }

// WithBootID fixes the boot id, which is random by default.
func WithBootID(id uint64) Option { return func(s *Sidecar) { s.boot = id } }

// Sidecar serves one endpoint.
type Sidecar struct {
	cfg  Config
	log  *slog.Logger
	boot uint64
	pool *toucanstream.Pool

	schedule *toucanschedule.Schedule
	// leaving is true once no new work is taken.
	leaving atomic.Bool
	// working counts generations and calls in progress; Shutdown waits for them.
	working work
	carrier *toucancarry.Carrier
	reports reporter
	engine  *toucanmetric.Engine
	uses    useRelay

	mu sync.Mutex
	// generations holds every generation that can be resumed, by id.
	generations map[string]*generation
	// closedIDs holds ids that must not start any more: finished, cancelled, or asked for before they came.
	closedIDs *lru.Cache[string, struct{}]
	links     map[*toucanwire.Link]struct{}
	// connections counts accepted connections, with and without a link.
	connections atomic.Int64
}

// New returns a sidecar that does nothing until Run.
func New(cfg Config, opts ...Option) *Sidecar {
	cfg = cfg.withDefaults()
	closedIDs, _ := lru.New[string, struct{}](closedIDBound) // fails for a bound of zero only
	s := &Sidecar{
		cfg:         cfg,
		log:         slog.Default(),
		boot:        rand.Uint64(),
		pool:        toucanstream.NewPool(cfg.BufferBytes),
		generations: make(map[string]*generation),
		closedIDs:   closedIDs,
		links:       make(map[*toucanwire.Link]struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.engine = toucanmetric.NewEngine(cfg.Scope)
	s.schedule = toucanschedule.New(startPolicy(cfg), s.startGeneration, s.expireGeneration)
	s.carrier = toucancarry.New(cfg.ServiceURL, cfg.ServiceTransport, cfg.Orders, s.log)
	return s
}

// BootID returns the id of this run of the process.
func (s *Sidecar) BootID() uint64 { return s.boot }

// Run serves links from ln until ctx is done, then closes them. Call Shutdown first to leave without
// cutting work in progress.
func (s *Sidecar) Run(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties := s.duties()
	var wg sync.WaitGroup
	for _, duty := range duties {
		wg.Go(func() { duty(ctx) })
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

func (s *Sidecar) duties() []func(context.Context) {
	if s.cfg.Kind == toucansettings.KindPlain {
		return nil
	}
	duties := []func(context.Context){s.schedule.Run, s.pollEngine, s.reapGenerations}
	if s.cfg.Policy == nil {
		duties = append(duties, s.followSettings)
	}
	return duties
}

// startPolicy is in force until the settings are known.
func startPolicy(cfg Config) toucanadmit.Policy {
	if cfg.Policy != nil {
		return cfg.Policy
	}
	return rule{}.newPolicy()
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

// firstMessageTimeout bounds the wait for a stream's first message.
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
