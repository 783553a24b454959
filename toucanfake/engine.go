// Package toucanfake is a stand-in model engine: it batches continuously, runs out of memory in the middle
// of decoding, caches prompt prefixes, and can be made slow, frozen, dead or silent while it runs.
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

// Config is the size and the manner of an engine.
type Config struct {
	Name string
	// Blocks is the memory for running generations, in blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// MaxSequences bounds the generations that run at once.
	MaxSequences int
	// A step takes StepBase, plus StepPerSequence for each decoding sequence, plus StepPerPrefillToken for
	// each of at most PrefillChunk prompt tokens.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	PrefillChunk        int
	// PrefixBlocks is the memory for cached prompt prefixes.
	PrefixBlocks int
	// ReportLag is the least age of a load report that the engine hands out.
	ReportLag time.Duration
	// CacheEventLag delays cache events; the share CacheEventLoss of them is never published.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Weights is where orders load from; nil loads at once.
	Weights *WeightStore
	// Seed fixes output lengths and lost cache events.
	Seed uint64
}

// DefaultConfig returns an engine that decodes about a hundred sequences in steps of 40 to 55 ms.
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

// Engine is one stand-in engine. It starts to work with Run.
type Engine struct {
	cfg    Config
	ledger *Ledger
	bootID uint64
	ctx    context.Context
	kill   context.CancelFunc
	// steps holds the decoding loop, answers every write to a client.
	steps, answers gate
	// wake has room for one signal that there is work.
	wake chan struct{}

	mu       sync.Mutex
	slowdown float64
	leaving  bool
	// byID holds running, waiting and lately ended generations.
	byID map[string]*sequence
	// waiting is ordered by falling priority, then by arrival.
	waiting []*sequence
	running []*sequence
	// usedBlocks is the sum of blocks over running; never above cfg.Blocks.
	usedBlocks  int
	arrivals    uint64
	preemptions uint64
	lastStep    time.Duration
	lastSweep   time.Time
	reports     reportLag
	prefixes    *simplelru.LRU[uint64, uint64]
	events      cacheEvents
	// highestFence is the highest fencing number of an applied order.
	highestFence uint64
}

// NewEngine returns an engine that records what it does in ledger.
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
	prefixes, err := simplelru.NewLRU(max(cfg.PrefixBlocks, 1), e.evicted)
	if err != nil {
		panic(err) // the size is positive
	}
	e.prefixes = prefixes
	return e
}

// Run serves the engine's clients on ln until ctx ends or the engine is killed. It closes ln.
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

// Report returns the engine's present state without the lag of the published reports.
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
		Leaving:     e.leaving,
	}
}

// reportLag holds back load reports until they have the configured age.
type reportLag struct {
	ready, next toucanengine.Report
}

// take returns the newest report that is at least lag old; now is the present one.
func (r *reportLag) take(now toucanengine.Report, lag time.Duration) toucanengine.Report {
	if r.next.At.IsZero() {
		r.ready, r.next = now, now
	}
	if now.At.Sub(r.next.At) >= lag {
		r.ready, r.next = r.next, now
	}
	return r.ready
}
