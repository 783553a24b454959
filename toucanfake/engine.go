// Package toucanfake implements a fake model engine for tests. It batches continuously, runs out of memory in
// the middle of decoding, caches prompt prefixes, and can be made slow, frozen, dead or silent while it runs.
package toucanfake

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"toucanport/toucanengine"
)

// Config sets the capacity, the step times and the reporting delays of an engine.
type Config struct {
	Name string
	// Blocks is the memory for running generations, counted in blocks of BlockTokens tokens each.
	Blocks      int
	BlockTokens int
	// MaxSequences bounds the generations in one batch.
	MaxSequences int
	// A step takes StepBase, plus StepPerSequence for each decoding sequence, plus StepPerPrefillToken for
	// each of at most PrefillChunk prompt tokens.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	PrefillChunk        int
	// PrefixBlocks is the capacity of the prefix cache, in blocks.
	PrefixBlocks int
	// ReportLag is the minimum age of the load reports that the engine serves.
	ReportLag time.Duration
	// CacheEventLag delays the publication of cache events. CacheEventLoss is the share of events, from 0 to 1,
	// that is never published.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// ChecksFencing makes the engine refuse orders with a fencing number below the highest applied one.
	ChecksFencing bool
	// Weights is the store from which orders load model weights. Without one, loading takes no time.
	Weights *WeightStore
	// Seed determines the output lengths and which cache events are lost.
	Seed uint64
}

// DefaultConfig returns the configuration of an engine that decodes about a hundred sequences in steps of 40 to
// 55 ms.
func DefaultConfig(name string) Config {
	return Config{
		Name:                name,
		Blocks:              8192,
		BlockTokens:         16,
		MaxSequences:        256,
		StepBase:            18 * time.Millisecond,
		StepPerSequence:     250 * time.Microsecond,
		StepPerPrefillToken: 25 * time.Microsecond,
		PrefillChunk:        512,
		PrefixBlocks:        2048,
		ReportLag:           500 * time.Millisecond,
		CacheEventLag:       2 * time.Second,
		CacheEventLoss:      0.05,
	}
}

// Engine is a fake model engine. It processes requests while Run runs. Its methods are safe for concurrent use.
type Engine struct {
	cfg    Config
	ledger *Ledger
	bootID uint64
	ctx    context.Context
	kill   context.CancelFunc
	// steps blocks the decoding loop while it is closed; answers blocks handling of requests and writes to clients.
	steps, answers gate
	// wake signals the decoding loop that there is work. Its buffer of one keeps a signal until the loop reads it.
	wake chan struct{}

	mu       sync.Mutex
	slowdown float64
	draining bool
	// byID holds running and waiting generations, and ended and cancelled ones for endedRetention.
	byID map[string]*sequence
	// waiting is the queue of sequences outside the batch, sorted by compareRank: by descending priority, then by
	// arrival.
	waiting []*sequence
	running []*sequence
	// usedBlocks is the sum of the running sequences' blocks. It never exceeds cfg.Blocks.
	usedBlocks  int
	arrivals    uint64
	preemptions uint64
	lastStep    time.Duration
	lastSweep   time.Time
	reports     delayedReports
	prefixes    *simplelru.LRU[uint64, uint64]
	events      cacheEvents
	// highestFence is the highest fencing number of any applied order.
	highestFence uint64
}

// NewEngine returns an engine that records its generations, orders and preemptions in ledger.
func NewEngine(cfg Config, ledger *Ledger) *Engine {
	ctx, kill := context.WithCancel(context.Background())
	e := &Engine{
		cfg:      cfg,
		ledger:   ledger,
		bootID:   rand.Uint64(),
		ctx:      ctx,
		kill:     kill,
		wake:     make(chan struct{}, 1),
		slowdown: 1,
		byID:     make(map[string]*sequence),
	}
	e.events.rng = rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	prefixes, err := simplelru.NewLRU(max(cfg.PrefixBlocks, 1), e.onEvict)
	if err != nil {
		panic(err) // the size is positive
	}
	e.prefixes = prefixes
	return e
}

// Run serves requests on ln and runs decoding steps until ctx is done or the engine is killed. It closes ln.
func (e *Engine) Run(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, e.kill)
	defer stop()
	defer e.kill()
	srv := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	srv.BaseContext = func(net.Listener) context.Context { return e.ctx }
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	closeServer := context.AfterFunc(e.ctx, func() { _ = srv.Close() })
	defer closeServer()
	e.loop()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve engine %s", e.cfg.Name)
	}
	return nil
}

// Report returns the engine's current load, without the lag of the reports served over HTTP.
func (e *Engine) Report() toucanengine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report()
}

func (e *Engine) report() toucanengine.Report {
	return toucanengine.Report{
		At:          time.Now(),
		BootID:      e.bootID,
		UsedBlocks:  e.usedBlocks,
		TotalBlocks: e.cfg.Blocks,
		BlockTokens: e.cfg.BlockTokens,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		StepTime:    e.lastStep,
		Preemptions: e.preemptions,
		Leaving:     e.draining,
	}
}

// delayedReports delays load reports until they reach the configured age.
type delayedReports struct {
	// published is the report that is served; pending replaces it once it is old enough.
	published, pending toucanengine.Report
}

// update returns the report to serve, given the current one. The first report is served immediately, a later one
// once it is at least lag old.
func (r *delayedReports) update(now toucanengine.Report, lag time.Duration) toucanengine.Report {
	if r.pending.At.IsZero() {
		r.published, r.pending = now, now
	}
	if now.At.Sub(r.pending.At) >= lag {
		r.published, r.pending = r.pending, now
	}
	return r.published
}
