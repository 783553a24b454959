package toucanadmit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// simulatedEngine is a deterministic model of an engine with continuous batching. It runs under one policy.
type simulatedEngine struct {
	policy      Policy
	now         time.Time
	size        engineSize
	running     []*generation
	waiting     []*generation
	byID        map[string]*generation
	preemptions uint64
	step        time.Duration
	slowdown    float64
	reports     []EngineReport
	usedSum     float64
	steps       int
}

// engineSize holds the capacity and speed of a simulated engine.
type engineSize struct {
	blocks, prefillChunk, sequences int
	base, sequence, prefill         time.Duration
	// cached is the number of tokens of each prompt that are in the engine's prefix cache.
	cached int
}

// largeEngine returns the size of an engine with the given memory blocks that runs up to 256 sequences.
func largeEngine(blocks int) engineSize {
	return engineSize{blocks, 512, 256, 18 * time.Millisecond, 250 * time.Microsecond, 25 * time.Microsecond, 0}
}

// smallEngine is the size of an engine that decodes about 40 sequences at once.
var smallEngine = engineSize{2048, 2048, 96, 28 * time.Millisecond, 400 * time.Microsecond, 50 * time.Microsecond, 256}

// heavyWorkspace sends a fixed share of the requests. The other workspaces send the rest in equal parts.
const heavyWorkspace = "heavy"

const (
	simulatedBlockTokens    = 16
	simulatedReportInterval = 250 * time.Millisecond
	simulatedReportLag      = 500 * time.Millisecond
)

type generation struct {
	request   Request
	output    int
	priority  int
	arrival   int
	produced  int
	prefill   int
	blocks    int
	last      time.Time
	worstGap  time.Duration
	firstWait time.Duration
	gaps      []time.Duration
	refused   bool
	refusedIn time.Duration
	done      bool
}

func compareRank(a, b *generation) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

func newSimulatedEngine(p Policy, size engineSize) *simulatedEngine {
	return &simulatedEngine{
		policy: p, size: size, slowdown: 1, now: time.Unix(1000, 0), byID: make(map[string]*generation),
	}
}

func (e *simulatedEngine) offer(g *generation) {
	e.byID[g.request.ID] = g
	g.last = e.now
	if err := e.policy.Offer(e.now, g.request); err != nil {
		g.refused = true
		return
	}
	e.schedule()
}

func (e *simulatedEngine) schedule() {
	for _, id := range e.policy.Expired(e.now) {
		g := e.byID[id]
		g.refused = true
		g.refusedIn = e.now.Sub(g.request.Arrived)
	}
	for _, s := range e.policy.Next(e.now) {
		g := e.byID[s.ID]
		g.priority = s.Priority
		g.arrival = e.steps
		e.enqueue(g)
	}
}

func (e *simulatedEngine) enqueue(g *generation) {
	i, _ := slices.BinarySearchFunc(e.waiting, g, compareRank)
	e.waiting = slices.Insert(e.waiting, i, g)
}

func (e *simulatedEngine) used() int {
	sum := 0
	for _, g := range e.running {
		sum += g.blocks
	}
	return sum
}

func blocksFor(tokens int) int { return (tokens + simulatedBlockTokens - 1) / simulatedBlockTokens }

func (e *simulatedEngine) admit() {
	used := e.used()
	for len(e.waiting) > 0 && len(e.running) < e.size.sequences {
		g := e.waiting[0]
		need := blocksFor(g.request.PromptTokens + g.produced + 1)
		if used+need > e.size.blocks {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
		g.blocks = need
		g.prefill = max(1, g.request.PromptTokens+g.produced-e.size.cached)
		used += need
	}
}

// runStep runs one step. It returns false if there is no work.
func (e *simulatedEngine) runStep() bool {
	e.admit()
	if len(e.running) == 0 {
		return false
	}
	left := e.size.prefillChunk
	for _, g := range e.running {
		n := min(left, g.prefill)
		g.prefill -= n
		left -= n
	}
	decoding := e.growBlocks()
	d := e.size.base + time.Duration(len(decoding))*e.size.sequence
	d += time.Duration(e.size.prefillChunk-left) * e.size.prefill
	e.step = time.Duration(float64(d) * e.slowdown)
	e.now = e.now.Add(e.step)
	e.steps++
	e.usedSum += float64(e.used()) / float64(e.size.blocks)
	for _, g := range decoding {
		e.emitToken(g)
	}
	e.schedule()
	return true
}

func (e *simulatedEngine) growBlocks() []*generation {
	ranked := slices.Clone(e.running)
	slices.SortStableFunc(ranked, compareRank)
	used := e.used()
	for i := 0; i < len(ranked); i++ {
		g := ranked[i]
		if g.prefill > 0 {
			continue
		}
		need := blocksFor(g.request.PromptTokens + g.produced + 1)
		for need > g.blocks && used+need-g.blocks > e.size.blocks && i < len(ranked) {
			last := ranked[len(ranked)-1]
			ranked = ranked[:len(ranked)-1]
			used -= last.blocks
			last.blocks = 0
			e.running = slices.Delete(e.running, slices.Index(e.running, last), slices.Index(e.running, last)+1)
			e.enqueue(last)
			e.preemptions++
		}
		if i < len(ranked) {
			used += need - g.blocks
			g.blocks = need
		}
	}
	return slices.DeleteFunc(ranked, func(g *generation) bool { return g.prefill > 0 })
}

func (e *simulatedEngine) emitToken(g *generation) {
	gap := e.now.Sub(g.last)
	g.last = e.now
	if g.produced == 0 {
		g.firstWait = e.now.Sub(g.request.Arrived)
	} else {
		g.gaps = append(g.gaps, gap)
	}
	g.worstGap = max(g.worstGap, gap)
	g.produced++
	e.policy.Progress(e.now, g.request.ID, g.produced)
	if g.produced < g.output {
		return
	}
	g.done = true
	g.blocks = 0
	e.running = slices.Delete(e.running, slices.Index(e.running, g), slices.Index(e.running, g)+1)
	e.policy.Done(e.now, g.request.ID, g.produced, true)
}

func (e *simulatedEngine) report() {
	e.reports = append(e.reports, EngineReport{
		At: e.now, UsedBlocks: e.used(), TotalBlocks: e.size.blocks, BlockTokens: simulatedBlockTokens,
		Running: len(e.running), Waiting: len(e.waiting), StepTime: e.step, Preemptions: e.preemptions,
	})
	for len(e.reports) > 0 && e.now.Sub(e.reports[0].At) >= simulatedReportLag {
		e.policy.Report(e.now, e.reports[0])
		e.reports = e.reports[1:]
	}
}

// run simulates the engine for the given length with arrivals, which are ordered by time.
func (e *simulatedEngine) run(arrivals []*generation, length time.Duration) {
	end := e.now.Add(length)
	nextReport := e.now
	for e.now.Before(end) {
		if !e.now.Before(nextReport) {
			e.report()
			nextReport = e.now.Add(simulatedReportInterval)
		}
		for len(arrivals) > 0 && !arrivals[0].request.Arrived.After(e.now) {
			e.offer(arrivals[0])
			arrivals = arrivals[1:]
		}
		if e.runStep() {
			continue
		}
		e.now = nextReport
		if len(arrivals) > 0 && arrivals[0].request.Arrived.Before(nextReport) {
			e.now = arrivals[0].request.Arrived
		}
		e.schedule()
	}
}

// workload describes the requests that arrive at one engine.
type workload struct {
	rate   float64
	seed   uint64
	length time.Duration
	brief  float64
	heavy  float64
	plan   float64
	drift  float64
	// paretoPlans gives some of the plans Pareto-distributed output lengths.
	paretoPlans bool
}

func (w workload) arrivals(start time.Time) []*generation {
	rnd := rand.New(rand.NewPCG(w.seed, 1))
	gap := distuv.Exponential{Rate: w.rate, Src: rnd}
	briefs := distuv.LogNormal{Mu: math.Log(40), Sigma: 0.8, Src: rnd}
	plans := distuv.LogNormal{Mu: math.Log(w.plan), Sigma: 1.1, Src: rnd}
	tail := distuv.Pareto{Xm: 1.5 * w.plan, Alpha: 2, Src: rnd}
	prompts := distuv.LogNormal{Mu: math.Log(300), Sigma: 0.8, Src: rnd}
	if w.paretoPlans {
		prompts = distuv.LogNormal{Mu: math.Log(350), Sigma: 0.5, Src: rnd}
	}
	var all []*generation
	burst := false
	for at := 0.0; at < w.length.Seconds(); {
		if rnd.Float64() < 0.02 {
			burst = !burst
		}
		wait := gap.Rand()
		if burst {
			wait /= 1.5
		} else {
			wait *= 4.0 / 3
		}
		at += wait
		r := Request{
			ID:           fmt.Sprint(len(all)),
			Workspace:    fmt.Sprint("w", rnd.IntN(10)),
			Class:        ClassBrief,
			PromptTokens: 1 + int(min(prompts.Rand(), 4000)),
			Arrived:      start.Add(time.Duration(at * float64(time.Second))),
		}
		if rnd.Float64() < w.heavy {
			r.Workspace = heavyWorkspace
		}
		n := briefs.Rand()
		if rnd.Float64() > w.brief {
			r.Class = ClassPlan
			n = plans.Rand()
			if w.paretoPlans && rnd.Float64() < 0.4 {
				n = tail.Rand()
			}
			if at > w.length.Seconds()/2 && w.drift > 0 {
				n *= w.drift
			}
		}
		all = append(all, &generation{request: r, output: 1 + int(min(n, 30000))})
	}
	return all
}

// result summarizes one simulation run.
type result struct {
	offered, done, refused, good   int
	preemptions                    uint64
	ttft95, itl95, itl99, stall99  time.Duration
	refusal50                      time.Duration
	memory                         float64
	briefTTFT95, planTTFT95, light time.Duration
	lightOffered, lightRefused     int
}

func (r result) String() string {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("offered=%d done=%d refused=%d good=%d preempt=%d ttft95=%d (brief %d plan %d light %d) "+
		"itl95=%d itl99=%d stall99=%d refusal50=%d memory=%.2f", r.offered, r.done, r.refused, r.good, r.preemptions,
		ms(r.ttft95), ms(r.briefTTFT95), ms(r.planTTFT95), ms(r.light), ms(r.itl95), ms(r.itl99), ms(r.stall99),
		ms(r.refusal50), r.memory)
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

func summarize(e *simulatedEngine, all []*generation) result {
	r := result{offered: len(all), preemptions: e.preemptions, memory: e.usedSum / float64(max(e.steps, 1))}
	var ttft, brief, plan, light, gaps, stalls, refusals []time.Duration
	for _, g := range all {
		if g.request.Workspace != heavyWorkspace {
			r.lightOffered++
			if g.refused {
				r.lightRefused++
			}
		}
		if g.refused {
			r.refused++
			refusals = append(refusals, g.refusedIn)
			continue
		}
		if g.produced == 0 {
			// The request never started, so it has waited since its arrival.
			g.firstWait = e.now.Sub(g.request.Arrived)
		}
		ttft = append(ttft, g.firstWait)
		if g.request.Class == ClassBrief {
			brief = append(brief, g.firstWait)
		} else {
			plan = append(plan, g.firstWait)
		}
		if g.request.Workspace != heavyWorkspace {
			light = append(light, g.firstWait)
		}
		gaps = append(gaps, g.gaps...)
		stalls = append(stalls, max(g.worstGap, g.firstWait))
		if g.done {
			r.done++
		}
		if g.done && g.firstWait <= DefaultFirstToken && quantile(g.gaps, 0.95) <= DefaultInterToken {
			r.good++
		}
	}
	r.ttft95, r.itl95, r.itl99 = quantile(ttft, 0.95), quantile(gaps, 0.95), quantile(gaps, 0.99)
	r.briefTTFT95, r.planTTFT95, r.light = quantile(brief, 0.95), quantile(plan, 0.95), quantile(light, 0.95)
	r.stall99, r.refusal50 = quantile(stalls, 0.99), quantile(refusals, 0.5)
	return r
}

func simulate(p Policy, w workload, size engineSize) result {
	e := newSimulatedEngine(p, size)
	all := w.arrivals(e.now)
	e.run(all, w.length)
	return summarize(e, all)
}
